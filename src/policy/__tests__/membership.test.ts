import fc from "fast-check"
import {beforeEach, describe, expect, it} from "vitest"
import {HostRole, HostState} from "../../host/host.js"
import type {HostRecord} from "../../link/platform.js"
import {
	type MembershipAction,
	type MembershipEvent,
	MembershipEventType,
	MembershipState
} from "../membershipTypes.js"
import {Membership} from "../membership.js"

const heartbeatTimeoutMs = 7_000
const listLagMs = 30_000

let membership: Membership
let now: number

function createHost(
	id: string,
	overrides: Partial<HostRecord> = {}
): HostRecord {
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

function receiveList(...hosts: HostRecord[]): string[] {
	return step({type: MembershipEventType.Listed, hosts})
}

function receiveFrom(hostId: string, incarnation = 1): string[] {
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

/** Ticks at most 500 ms apart; a longer gap would count as a pause. */
function tickFor(ms: number, heardIds: string[] = []): string[] {
	const all: string[] = []
	for (const end = now + ms; now < end;) {
		all.push(...tickAfter(Math.min(500, end - now)))
		for (const id of heardIds) all.push(...receiveFrom(id))
	}
	return all
}

function getState(id: string): MembershipState | undefined {
	return membership.hosts().find(tracked => tracked.id === id)?.state
}

beforeEach(() => {
	now = 1_000_000
	membership = new Membership({heartbeatTimeoutMs, listLagMs})
})

describe("Membership", () => {
	it("admits a listed host after its first message", () => {
		expect(receiveList(createHost("1"))).toEqual(["connect 1"])
		expect(getState("1")).toBe(MembershipState.Suspect)
		expect(receiveFrom("1")).toEqual(["admit 1"])
		expect(getState("1")).toBe(MembershipState.Live)
	})

	it("stops new work at once when a host announces that it is leaving", () => {
		receiveList(createHost("1"))
		receiveFrom("1")
		const leaving = createHost("1", {state: HostState.Leaving})
		expect(announce(leaving)).toEqual(["stopNewWork 1"])
		receiveList(createHost("1"))
		receiveFrom("1")
		announce(createHost("1"))
		expect(getState("1")).toBe(MembershipState.Leaving)
	})

	it("does not readmit an incarnation that left but is listed live", () => {
		receiveList(createHost("1"))
		receiveFrom("1")
		announce(createHost("1", {state: HostState.Leaving}))
		const reset = {hostId: "1", incarnation: 1}
		const type = MembershipEventType.StreamReset
		expect(step({type, ...reset})).toEqual(["drop 1"])
		expect(receiveList(createHost("1"))).toEqual([])
		expect(receiveFrom("1")).toEqual([])
		now += listLagMs
		receiveList(createHost("1"))
		receiveFrom("1")
		expect(getState("1")).toBe(MembershipState.Leaving)
	})

	it("keeps an unlisted host while its messages arrive", () => {
		announce(createHost("1"))
		receiveFrom("1")
		receiveList()
		const actions = tickFor(3 * listLagMs, ["1"])
		receiveList()
		expect(actions).toEqual([])
		expect(getState("1")).toBe(MembershipState.Live)
	})

	it("suspects a silent host and readmits it at its next message", () => {
		receiveList(createHost("1"))
		receiveFrom("1")
		expect(tickFor(heartbeatTimeoutMs)).toContain("stopNewWork 1")
		expect(getState("1")).toBe(MembershipState.Suspect)
		expect(receiveFrom("1")).toEqual(["admit 1"])
	})

	it("does not drop a host while the platform is unavailable", () => {
		receiveList(createHost("1"))
		receiveFrom("1")
		const actions = tickFor(10 * listLagMs)
		expect(actions).not.toContain("drop 1")
		expect(getState("1")).toBe(MembershipState.Suspect)
	})

	it("drops a silent host that is unlisted past the list's lag", () => {
		receiveList(createHost("1"))
		receiveFrom("1")
		receiveList()
		expect(tickFor(listLagMs)).not.toContain("drop 1")
		expect(tickFor(listLagMs)).toContain("drop 1")
		expect(membership.hosts()).toEqual([])
		expect(membership.listRecentlyGone().map(({id}) => id)).toEqual(["1"])
	})

	it("drops and reconnects a host that announces a higher incarnation", () => {
		receiveList(createHost("1"))
		receiveFrom("1")
		announce(createHost("1", {state: HostState.Leaving}), 1)
		const restarted = createHost("1", {address: "127.0.0.1:9"})
		expect(announce(restarted, 2)).toEqual(["drop 1", "connect 1"])
		expect(receiveFrom("1", 1)).toEqual([])
		expect(receiveFrom("1", 2)).toEqual(["admit 1"])
		expect(announce(createHost("1", {state: HostState.Leaving}), 1)).toEqual([])
		expect(getState("1")).toBe(MembershipState.Live)
	})

	it("ignores a listed leaving state of the previous incarnation", () => {
		receiveList(createHost("1"))
		receiveFrom("1", 1)
		receiveList(createHost("1", {state: HostState.Leaving}))
		receiveFrom("1", 2)
		expect(getState("1")).toBe(MembershipState.Live)
		receiveList(createHost("1", {state: HostState.Leaving}))
		expect(getState("1")).toBe(MembershipState.Live)
		receiveList(createHost("1"))
		receiveList(createHost("1", {state: HostState.Leaving}))
		expect(getState("1")).toBe(MembershipState.Leaving)
	})

	it("drops a host when another is heard at its address", () => {
		receiveList(createHost("1"))
		receiveFrom("1")
		announce(createHost("2", {address: createHost("1").address}))
		expect(receiveFrom("2")).toEqual(["stopNewWork 1", "drop 1", "admit 2"])
	})

	it("restarts heartbeat timeouts after a pause of the observer", () => {
		receiveList(createHost("1"), createHost("2"))
		receiveFrom("1")
		receiveFrom("2")
		expect(tickAfter(5 * 60_000)).toEqual([])
		expect(getState("1")).toBe(MembershipState.Live)
		expect(tickFor(heartbeatTimeoutMs)).toContain("stopNewWork 2")
	})

	it("backs off exponentially when connections fail", () => {
		receiveList(createHost("1"))
		const type = MembershipEventType.ConnectFailed
		const waitsMs: number[] = []
		for (let i = 0; i < 6; i++) {
			step({type, hostId: "1"})
			waitsMs.push(membership.nextTickAt() - now)
			expect(tickAfter(membership.nextTickAt() - now)).toEqual(["connect 1"])
		}
		expect(waitsMs).toEqual([500, 1_000, 2_000, 4_000, 8_000, 10_000])
	})

	it("admits an announced entry without a link, and drops it when unlisted past the list's lag", () => {
		const entry = createHost("7", {role: HostRole.Entry, pool: ""})
		expect(announce(entry)).toEqual(["admit 7"])
		receiveList()
		expect(getState("7")).toBe(MembershipState.Live)
		expect(tickFor(listLagMs)).toEqual(["stopNewWork 7", "drop 7"])
	})
})

enum EventKind {
	List,
	ListOneHost,
	Receive,
	AnnounceLive,
	AnnounceLeaving,
	Reset,
	ConnectFailure,
	Tick
}

describe("Membership under random events", () => {
	const seed = 20_261_203
	const arbitraryEvent = fc.record({
		kind: fc.constantFrom(
			EventKind.List,
			EventKind.ListOneHost,
			EventKind.Receive,
			EventKind.AnnounceLive,
			EventKind.AnnounceLeaving,
			EventKind.Reset,
			EventKind.ConnectFailure,
			EventKind.Tick
		),
		id: fc.constantFrom("1", "2"),
		incarnation: fc.integer({min: 1, max: 3}),
		waitMs: fc.constantFrom(0, 400, 3_000, 8_000, 40_000)
	})

	function toEvent(
		kind: EventKind,
		id: string,
		incarnation: number
	): MembershipEvent {
		const record = createHost(id)
		switch (kind) {
			case EventKind.List:
				return {
					type: MembershipEventType.Listed,
					hosts: [createHost("1"), createHost("2")]
				}
			case EventKind.ListOneHost:
				return {type: MembershipEventType.Listed, hosts: [record]}
			case EventKind.Receive:
				return {type: MembershipEventType.Heard, hostId: id, incarnation}
			case EventKind.AnnounceLive:
				return {type: MembershipEventType.Announced, host: record, incarnation}
			case EventKind.AnnounceLeaving: {
				const leaving = createHost(id, {state: HostState.Leaving})
				const type = MembershipEventType.Announced
				return {type, host: leaving, incarnation}
			}
			case EventKind.Reset:
				return {type: MembershipEventType.StreamReset, hostId: id, incarnation}
			case EventKind.ConnectFailure:
				return {type: MembershipEventType.ConnectFailed, hostId: id}
			case EventKind.Tick:
				return {type: MembershipEventType.Tick}
		}
	}

	it(`never admits an incarnation that left (seed ${seed})`, () => {
		const events = fc.array(arbitraryEvent, {maxLength: 60})
		const property = fc.property(events, generated => {
			membership = new Membership({heartbeatTimeoutMs, listLagMs})
			now = 1_000_000
			const leftIncarnations = new Map<string, number>()
			for (const {kind, id, incarnation, waitMs} of generated) {
				now += waitMs
				membership.step(toEvent(kind, id, incarnation), now)
				if (kind === EventKind.AnnounceLeaving) {
					leftIncarnations.set(
						id,
						Math.max(leftIncarnations.get(id) ?? 0, incarnation)
					)
				}
				for (const tracked of membership.hosts()) {
					if (tracked.state !== MembershipState.Live) continue
					expect(tracked.incarnation).toBeGreaterThan(
						leftIncarnations.get(tracked.id) ?? 0
					)
					expect(tracked.heartbeatDeadline).toBeGreaterThan(now)
				}
				expect(membership.nextTickAt()).toBeGreaterThan(now)
			}
		})
		fc.assert(property, {seed, numRuns: 3_000})
	})
})
