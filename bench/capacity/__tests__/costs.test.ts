import {describe, expect, it} from "vitest"
import {
	computeEndpointTraffic,
	computeEntryTraffic,
	computeEntryMemory,
	computeTokenForwardingCpu,
	type MessageIntervals,
	computePlatformReads,
	computePlatformWrites,
	sumAmounts
} from "../costs.js"
import {compareWithLimit} from "../plan.js"
import {
	computeRelayedEndpointTraffic,
	computeRelayedEntryTraffic,
	getLinksPerEntry,
	relayParameters
} from "../relay.js"
import {
	getRunningRequestsPerEntry,
	targetSize,
	getActivityChangesPerSecond
} from "../size.js"
import {unitCosts} from "../slopes.js"

const intervals: MessageIntervals = {
	heartbeatMs: 1000,
	announceIntervalMs: 5000,
	hostListIntervalMs: 2000
}

function amountOf(
	costs: readonly {label: string; amount: number}[],
	label: string
): number {
	return costs.find(cost => cost.label === label)?.amount ?? NaN
}

describe("traffic", () => {
	it("of an entry grows with the endpoint processes, not with the entries", () => {
		const more = {...targetSize, endpoints: 2 * targetSize.endpoints}
		const links = (size: typeof targetSize): number =>
			amountOf(
				computeEntryTraffic(size, unitCosts, intervals),
				"report links, idle"
			)
		expect(links(targetSize)).toBe(320 * unitCosts.idleLinkBytesPerSecond)
		expect(links(more)).toBe(2 * links(targetSize))
		expect(links({...targetSize, entries: 80})).toBe(links(targetSize))
	})

	it("of an endpoint process grows with the entries", () => {
		const costs = computeEndpointTraffic(targetSize, unitCosts, intervals)
		const idle = amountOf(costs, "report links, idle")
		expect(idle).toBe(40 * unitCosts.idleLinkBytesPerSecond)
		const announcements = amountOf(costs, "announcements")
		expect(announcements).toBe(8 * unitCosts.announceBytes)
	})

	it("falls with longer heartbeats, and busy links then cost no more than idle ones", () => {
		const slow = {...intervals, heartbeatMs: 10_000}
		const costs = computeEntryTraffic(targetSize, unitCosts, slow)
		const atOneSecond = computeEntryTraffic(targetSize, unitCosts, intervals)
		const label = "report links, idle"
		expect(amountOf(costs, label)).toBe(amountOf(atOneSecond, label) / 10)
		expect(amountOf(costs, "more on report links when busy")).toBe(0)
	})
})

describe("relayed links", () => {
	it("are divided evenly among the entries", () => {
		expect(getLinksPerEntry(targetSize, relayParameters)).toBe(16)
		const single = {...relayParameters, relays: 1}
		expect(getLinksPerEntry(targetSize, single)).toBe(8)
	})

	it("cost an endpoint process one link per relay at the report interval", () => {
		const [cost] = computeRelayedEndpointTraffic(unitCosts, relayParameters)
		expect(cost?.amount).toBe(unitCosts.idleLinkBytesPerSecond)
	})

	it("include the load of every endpoint process in the batches", () => {
		const plan = {...relayParameters, bytesPerEndpoint: 0}
		const empty = sumAmounts(
			computeRelayedEntryTraffic(targetSize, unitCosts, plan)
		)
		const full = sumAmounts(
			computeRelayedEntryTraffic(targetSize, unitCosts, relayParameters)
		)
		const batches = (2 * 39 * 1000) / relayParameters.batchIntervalMs
		expect(full - empty).toBeCloseTo(
			batches * 16 * relayParameters.bytesPerEndpoint
		)
	})
})

describe("estimates at the target size", () => {
	it("derive rates and concurrency from the size", () => {
		expect(getActivityChangesPerSecond(targetSize)).toBeCloseTo(6.33, 2)
		expect(getRunningRequestsPerEntry(targetSize)).toBeCloseTo(288)
		expect(computeTokenForwardingCpu(targetSize, 125)).toBeCloseTo(1)
	})

	it("include the configuration of all adapters in an entry's memory", () => {
		const few = {...targetSize, adapters: 0}
		const added =
			sumAmounts(computeEntryMemory(targetSize, unitCosts)) -
			sumAmounts(computeEntryMemory(few, unitCosts))
		expect(added).toBeCloseTo((190_000 * unitCosts.configBytesPerAdapter) / 1e6)
	})

	it("count claim writes by the share of bookings", () => {
		const none = {...targetSize, bookingShare: 0}
		expect(amountOf(computePlatformWrites(none, unitCosts), "claims")).toBe(0)
		const claims = amountOf(
			computePlatformWrites(targetSize, unitCosts),
			"claims"
		)
		expect(claims).toBeCloseTo(140 * unitCosts.claimWritesPerBooking)
	})

	it("count one host list read per entry and interval", () => {
		const reads = computePlatformReads(targetSize, unitCosts, intervals)
		expect(amountOf(reads, "list of hosts")).toBe(20)
	})
})

describe("compareWithLimit", () => {
	it("reports the ratio to the limit only when the limit is exceeded", () => {
		expect(compareWithLimit(19, 19)).toBe("holds")
		expect(compareWithLimit(38, 19)).toBe("EXCEEDED, 2.00 times the limit")
	})
})
