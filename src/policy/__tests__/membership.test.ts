import fc from "fast-check"
import {beforeEach, describe, expect, it} from "vitest"
import {HostRole, HostState} from "../../host/host.js"
import type {HostRecord} from "../../link/platform.js"
import {
	type MembershipAction,
	type MembershipEvent,
	MembershipEventType,
	MemberState
} from "../memberTypes.js"
import {Membership} from "../membership.js"

const heartbeatTimeoutMs = 7_000
const listLagMs = 30_000

let membership: Membership
let now: number

function host(id: string, overrides: Partial<HostRecord> = {}): HostRecord {
	return {
		id,
		role: HostRole.Endpoint,
		address: `127.0.0.1:${id}`,
		failureDomain: "bc-coast-a",
		pool: "orders-desk",
		state: HostState.Live,
		...overrides
	}
}

function step(event: MembershipEvent): string[] {
	const describeAction = ({type, hostId}: MembershipAction): string =>
		`${type} ${hostId}`
	return membership.step(event, now).map(describeAction)
}

function list(...hosts: HostRecord[]): string[] {
	return step({type: MembershipEventType.Listed, hosts})
}

function hear(hostId: string, incarnation = 1): string[] {
	return step({type: MembershipEventType.Heard, hostId, incarnation})
}

function announce(record: HostRecord, incarnation = 1): string[] {
	const type = MembershipEventType.Announced
	return step({type, host: record, incarnation})
}

function tickAfter(ms: number): string[] {
	now += ms
	return step({type: MembershipEventType.Tick})
}

/** Ticks as a task would, so that the observer does not count as paused. */
function passTime(ms: number, heard: string[] = []): string[] {
	const all: string[] = []
	for (const end = now + ms; now < end;) {
		all.push(...tickAfter(Math.min(500, end - now)))
		for (const id of heard) all.push(...hear(id))
	}
	return all
}

function stateOf(id: string): MemberState | undefined {
	return membership.hosts().find(member => member.id === id)?.state
}

beforeEach(() => {
	now = 1_000_000
	membership = new Membership({heartbeatTimeoutMs, listLagMs})
})

describe("Membership", () => {
	it("admits a listed host once it is heard", () => {
		expect(list(host("1"))).toEqual(["connect 1"])
		expect(stateOf("1")).toBe(MemberState.Suspect)
		expect(hear("1")).toEqual(["admit 1"])
		expect(stateOf("1")).toBe(MemberState.Live)
	})

	it("stops new work at once when a host announces that it leaves", () => {
		list(host("1"))
		hear("1")
		const leaving = host("1", {state: HostState.Leaving})
		expect(announce(leaving)).toEqual(["stopNewWork 1"])
		list(host("1"))
		hear("1")
		announce(host("1"))
		expect(stateOf("1")).toBe(MemberState.Leaving)
	})

	it("does not return a host that left, whatever the list says", () => {
		list(host("1"))
		hear("1")
		announce(host("1", {state: HostState.Leaving}))
		const reset = {hostId: "1", incarnation: 1}
		const type = MembershipEventType.StreamReset
		expect(step({type, ...reset})).toEqual(["drop 1"])
		expect(list(host("1"))).toEqual([])
		expect(hear("1")).toEqual([])
		now += listLagMs
		list(host("1"))
		hear("1")
		expect(stateOf("1")).toBe(MemberState.Leaving)
	})

	it("keeps a host that the list lacks while it is heard", () => {
		announce(host("1"))
		hear("1")
		list()
		const actions = passTime(3 * listLagMs, ["1"])
		list()
		expect(actions).toEqual([])
		expect(stateOf("1")).toBe(MemberState.Live)
	})

	it("suspects a frozen host and admits it when it thaws", () => {
		list(host("1"))
		hear("1")
		expect(passTime(heartbeatTimeoutMs)).toContain("stopNewWork 1")
		expect(stateOf("1")).toBe(MemberState.Suspect)
		expect(hear("1")).toEqual(["admit 1"])
	})

	it("never drops a host because the platform is out", () => {
		list(host("1"))
		hear("1")
		const actions = passTime(10 * listLagMs)
		expect(actions).not.toContain("drop 1")
		expect(stateOf("1")).toBe(MemberState.Suspect)
	})

	it("drops a silent host that the list no longer holds", () => {
		list(host("1"))
		hear("1")
		list()
		expect(passTime(listLagMs)).not.toContain("drop 1")
		expect(passTime(listLagMs)).toContain("drop 1")
		expect(membership.hosts()).toEqual([])
		expect(membership.recentlyGone().map(({id}) => id)).toEqual(["1"])
	})

	it("replaces a host by its higher incarnation", () => {
		list(host("1"))
		hear("1")
		announce(host("1", {state: HostState.Leaving}), 1)
		const restarted = host("1", {address: "127.0.0.1:9"})
		expect(announce(restarted, 2)).toEqual(["drop 1", "connect 1"])
		expect(hear("1", 1)).toEqual([])
		expect(hear("1", 2)).toEqual(["admit 1"])
		expect(announce(host("1", {state: HostState.Leaving}), 1)).toEqual([])
		expect(stateOf("1")).toBe(MemberState.Live)
	})

	it("takes a listed leaving of the predecessor for what it is", () => {
		list(host("1"))
		hear("1", 1)
		list(host("1", {state: HostState.Leaving}))
		hear("1", 2)
		expect(stateOf("1")).toBe(MemberState.Live)
		list(host("1", {state: HostState.Leaving}))
		expect(stateOf("1")).toBe(MemberState.Live)
		list(host("1"))
		list(host("1", {state: HostState.Leaving}))
		expect(stateOf("1")).toBe(MemberState.Leaving)
	})

	it("ends the former holder of an address", () => {
		list(host("1"))
		hear("1")
		announce(host("2", {address: host("1").address}))
		expect(hear("2")).toEqual(["stopNewWork 1", "drop 1", "admit 2"])
	})

	it("suspects nobody right after its own pause", () => {
		list(host("1"), host("2"))
		hear("1")
		hear("2")
		expect(tickAfter(5 * 60_000)).toEqual([])
		expect(stateOf("1")).toBe(MemberState.Live)
		expect(passTime(heartbeatTimeoutMs)).toContain("stopNewWork 2")
	})

	it("backs off from an address that refuses connections", () => {
		list(host("1"))
		const type = MembershipEventType.ConnectFailed
		const connects: number[] = []
		for (let i = 0; i < 6; i++) {
			step({type, hostId: "1"})
			connects.push(membership.nextTickAt() - now)
			expect(tickAfter(membership.nextTickAt() - now)).toEqual(["connect 1"])
		}
		expect(connects).toEqual([500, 1_000, 2_000, 4_000, 8_000, 10_000])
	})

	it("knows entries by list and announcement alone", () => {
		const entry = host("7", {role: HostRole.Entry, pool: ""})
		expect(announce(entry)).toEqual(["admit 7"])
		list()
		expect(stateOf("7")).toBe(MemberState.Live)
		expect(passTime(listLagMs)).toEqual(["stopNewWork 7", "drop 7"])
	})
})

enum Kind {
	List,
	ListWithout,
	Hear,
	AnnounceLive,
	AnnounceLeaving,
	Reset,
	Refuse,
	Tick
}

describe("Membership under random evidence", () => {
	const seed = 20_261_203
	const arbitraryEvent = fc.record({
		kind: fc.constantFrom(
			Kind.List,
			Kind.ListWithout,
			Kind.Hear,
			Kind.AnnounceLive,
			Kind.AnnounceLeaving,
			Kind.Reset,
			Kind.Refuse,
			Kind.Tick
		),
		id: fc.constantFrom("1", "2"),
		incarnation: fc.integer({min: 1, max: 3}),
		waitMs: fc.constantFrom(0, 400, 3_000, 8_000, 40_000)
	})

	function toEvent(
		kind: Kind,
		id: string,
		incarnation: number
	): MembershipEvent {
		const record = host(id)
		switch (kind) {
			case Kind.List:
				return {
					type: MembershipEventType.Listed,
					hosts: [host("1"), host("2")]
				}
			case Kind.ListWithout:
				return {type: MembershipEventType.Listed, hosts: [record]}
			case Kind.Hear:
				return {type: MembershipEventType.Heard, hostId: id, incarnation}
			case Kind.AnnounceLive:
				return {type: MembershipEventType.Announced, host: record, incarnation}
			case Kind.AnnounceLeaving: {
				const leaving = host(id, {state: HostState.Leaving})
				const type = MembershipEventType.Announced
				return {type, host: leaving, incarnation}
			}
			case Kind.Reset:
				return {type: MembershipEventType.StreamReset, hostId: id, incarnation}
			case Kind.Refuse:
				return {type: MembershipEventType.ConnectFailed, hostId: id}
			case Kind.Tick:
				return {type: MembershipEventType.Tick}
		}
	}

	it(`never admits an incarnation that left (seed ${seed})`, () => {
		const events = fc.array(arbitraryEvent, {maxLength: 60})
		const property = fc.property(events, drawn => {
			membership = new Membership({heartbeatTimeoutMs, listLagMs})
			now = 1_000_000
			const left = new Map<string, number>()
			for (const {kind, id, incarnation, waitMs} of drawn) {
				now += waitMs
				membership.step(toEvent(kind, id, incarnation), now)
				if (kind === Kind.AnnounceLeaving) {
					left.set(id, Math.max(left.get(id) ?? 0, incarnation))
				}
				for (const member of membership.hosts()) {
					if (member.state !== MemberState.Live) continue
					expect(member.incarnation).toBeGreaterThan(left.get(member.id) ?? 0)
					expect(member.heartbeatDeadline).toBeGreaterThan(now)
				}
				expect(membership.nextTickAt()).toBeGreaterThan(now)
			}
		})
		fc.assert(property, {seed, numRuns: 3_000})
	})
})
