import {describe, expect, it} from "vitest"
import {
	endpointBytes,
	entryBytes,
	entryMemory,
	entryTokens,
	type Pace,
	platformReads,
	platformWrites,
	sumOf
} from "../costs.js"
import {describeVerdict} from "../plan.js"
import {
	relayedEndpointBytes,
	relayedEntryBytes,
	relayedLinks,
	relayPlan
} from "../relay.js"
import {runningPerEntry, targetSize, wakingsPerSecond} from "../size.js"
import {slopes} from "../slopes.js"

const pace: Pace = {heartbeatMs: 1000, announceMs: 5000, listMs: 2000}

function amountOf(
	costs: readonly {what: string; amount: number}[],
	what: string
): number {
	return costs.find(cost => cost.what === what)?.amount ?? NaN
}

describe("bytes on the wire", () => {
	it("grow at an entry with the endpoint processes alone", () => {
		const more = {...targetSize, endpoints: 2 * targetSize.endpoints}
		const links = (size: typeof targetSize): number =>
			amountOf(entryBytes(size, slopes, pace), "report links, idle")
		expect(links(targetSize)).toBe(320 * slopes.idleLinkBytes)
		expect(links(more)).toBe(2 * links(targetSize))
		expect(links({...targetSize, entries: 80})).toBe(links(targetSize))
	})

	it("grow at an endpoint process with the entries", () => {
		const costs = endpointBytes(targetSize, slopes, pace)
		const idle = amountOf(costs, "report links, idle")
		expect(idle).toBe(40 * slopes.idleLinkBytes)
		const announcements = amountOf(costs, "announcements")
		expect(announcements).toBe(8 * slopes.announceBytes)
	})

	it("fall with the intervals, and busy links with them", () => {
		const slow = {...pace, heartbeatMs: 10_000}
		const costs = entryBytes(targetSize, slopes, slow)
		const today = entryBytes(targetSize, slopes, pace)
		const what = "report links, idle"
		expect(amountOf(costs, what)).toBe(amountOf(today, what) / 10)
		expect(amountOf(costs, "more on report links when busy")).toBe(0)
	})
})

describe("relayed links", () => {
	it("leave each entry the endpoint processes that report to it", () => {
		expect(relayedLinks(targetSize, relayPlan)).toBe(16)
		const single = {...relayPlan, relays: 1}
		expect(relayedLinks(targetSize, single)).toBe(8)
	})

	it("cost an endpoint process the same at any number of entries", () => {
		const [cost] = relayedEndpointBytes(slopes, relayPlan)
		expect(cost?.amount).toBe(slopes.idleLinkBytes)
	})

	it("carry every endpoint process's figures in the batches", () => {
		const plan = {...relayPlan, bytesPerEndpoint: 0}
		const empty = sumOf(relayedEntryBytes(targetSize, slopes, plan))
		const full = sumOf(relayedEntryBytes(targetSize, slopes, relayPlan))
		const batches = (2 * 39 * 1000) / relayPlan.batchMs
		expect(full - empty).toBeCloseTo(batches * 16 * relayPlan.bytesPerEndpoint)
	})
})

describe("sums at the target size", () => {
	it("derive rates from the size", () => {
		expect(wakingsPerSecond(targetSize)).toBeCloseTo(6.33, 2)
		expect(runningPerEntry(targetSize)).toBeCloseTo(288)
		expect(entryTokens(targetSize, 125)).toBeCloseTo(1)
	})

	it("add the configuration of all adapters to an entry's memory", () => {
		const few = {...targetSize, adapters: 0}
		const added =
			sumOf(entryMemory(targetSize, slopes)) - sumOf(entryMemory(few, slopes))
		expect(added).toBeCloseTo((190_000 * slopes.adapterBytes) / 1e6)
	})

	it("count claims by the share of bookings", () => {
		const none = {...targetSize, bookingShare: 0}
		expect(amountOf(platformWrites(none, slopes), "claims")).toBe(0)
		const claims = amountOf(platformWrites(targetSize, slopes), "claims")
		expect(claims).toBeCloseTo(140 * slopes.writesPerBooking)
	})

	it("count one list read for each entry and interval", () => {
		const reads = platformReads(targetSize, slopes, pace)
		expect(amountOf(reads, "list of hosts")).toBe(20)
	})
})

describe("describeVerdict", () => {
	it("names a miss and its size, and nothing else", () => {
		expect(describeVerdict(19, 19)).toBe("holds")
		expect(describeVerdict(38, 19)).toBe("MISSED 2.00 times over")
	})
})
