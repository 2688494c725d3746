import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {WriteOutcome, absentVersion} from "../../link/platform.js"
import {
	chooseIncarnation,
	type FencingAction,
	FencingActionType,
	type FencingEvent,
	FencingEventType,
	IncarnationAllocator,
	isSuperseded,
	type StoredIncarnation
} from "../fencing.js"

/** State outside the process: of the platform and of the endpoint. */
interface SharedState {
	stored: StoredIncarnation | undefined
	version: number
	/** Highest number of an order that the endpoint accepted. */
	accepted: number
}

enum Fault {
	None = "none",
	/** The write takes effect and its answer is lost. */
	Lost = "lost",
	/** The write has no effect. */
	Refused = "refused",
	/** The read fails, or the write is refused. */
	Outage = "outage"
}

const startWaitMs = 1_000

function writeStored(
	state: SharedState,
	value: StoredIncarnation,
	expected: number
) {
	if (state.version !== expected) return WriteOutcome.Conflict
	state.stored = value
	state.version += 1
	return WriteOutcome.Written
}

function executeAction(
	action: FencingAction,
	state: SharedState,
	fault: Fault
): FencingEvent | undefined {
	if (action.type === FencingActionType.ReadStored) {
		if (fault === Fault.Outage) return {type: FencingEventType.ReadFailed}
		const {stored, version} = state
		return {type: FencingEventType.Read, stored, version}
	}
	if (action.type !== FencingActionType.WriteStored) return undefined
	const {version} = state
	const type = FencingEventType.WriteEnded
	if (fault === Fault.Outage || fault === Fault.Refused) {
		return {type, outcome: WriteOutcome.Refused, version}
	}
	const outcome = writeStored(state, action.value, action.expected)
	const isLost = fault === Fault.Lost
	return {type, outcome: isLost ? WriteOutcome.Lost : outcome, version}
}

interface Started {
	incarnation: number | undefined
	isStopped: boolean
}

/** Starts a process; each of its first actions gets one of the faults. */
function start(
	state: SharedState,
	processId: string,
	clockMs: number,
	faults: readonly Fault[],
	hasReports: boolean
): Started {
	let now = clockMs
	const startDeadline = now + startWaitMs
	const allocator = new IncarnationAllocator({
		processId,
		random: 0.5,
		startDeadline
	})
	const started: Started = {incarnation: undefined, isStopped: false}
	const pendingFaults = [...faults]
	const used = hasReports ? [state.accepted] : []
	const events: FencingEvent[] = [{type: FencingEventType.Start, used}]
	for (let steps = 0; steps < 200; steps++) {
		const event = events.shift() ?? {type: FencingEventType.Tick}
		for (const action of allocator.step(event, now)) {
			if (action.type === FencingActionType.Use) {
				started.incarnation = action.incarnation
			}
			if (action.type === FencingActionType.Stop) started.isStopped = true
			const next = executeAction(
				action,
				state,
				pendingFaults.shift() ?? Fault.None
			)
			if (next !== undefined) events.push(next)
		}
		if (events.length > 0) continue
		if (allocator.nextTickAt() === Infinity) break
		now = allocator.nextTickAt()
	}
	return started
}

describe("chooseIncarnation", () => {
	it("is above every used number and at least the present time", () => {
		const evidence = {used: [5, 9], now: 0, random: 0}
		expect(chooseIncarnation(evidence)).toBe(10)
		const later = {used: [5], now: 1_000, random: 0}
		expect(chooseIncarnation(later)).toBe(1_024_000)
	})

	it("rejects a number above the largest safe integer", () => {
		const evidence = {used: [Number.MAX_SAFE_INTEGER], now: 0, random: 0}
		expect(() => chooseIncarnation(evidence)).toThrow(RangeError)
	})
})

describe("IncarnationAllocator", () => {
	it("reads back a write whose answer was lost", () => {
		const state = {stored: undefined, version: absentVersion, accepted: 0}
		const {incarnation} = start(
			state,
			"a",
			1_000,
			[Fault.None, Fault.Lost],
			false
		)
		expect(state.stored).toEqual({incarnation, processId: "a"})
		expect(state.version).toBe(1)
	})

	it("starts in an outage and records the number afterwards", () => {
		const state = {stored: undefined, version: absentVersion, accepted: 7}
		const outage = Array.from({length: 8}, () => Fault.Outage)
		const {incarnation} = start(state, "a", 1_000, outage, true)
		expect(incarnation).toBeGreaterThan(7)
		expect(state.stored).toEqual({incarnation, processId: "a"})
	})

	it("stops when, after a start in an outage, the stored number is above its own", () => {
		const stored = {incarnation: 9_000_000_000, processId: "fast-clock"}
		const state = {stored, version: 4, accepted: 0}
		const outage = Array.from({length: 8}, () => Fault.Outage)
		const {isStopped} = start(state, "a", 1_000, outage, false)
		expect(isStopped).toBe(true)
		expect(state.stored).toEqual(stored)
	})

	const seed = 20_261_204
	it(`takes a higher number when the last one is known (seed ${seed})`, () => {
		const fault = fc.constantFrom(...Object.values(Fault))
		const startArbitrary = fc.record({
			clockMs: fc.integer({min: 0, max: 100_000}),
			faults: fc.array(fault, {maxLength: 8})
		})
		const starts = fc.array(startArbitrary, {minLength: 2, maxLength: 8})
		const property = fc.property(starts, fc.boolean(), (drawn, hasReports) => {
			const state: SharedState = {stored: undefined, version: 0, accepted: 0}
			for (const [index, {clockMs, faults}] of drawn.entries()) {
				const isKnown = hasReports || !faults.includes(Fault.Outage)
				const id = `p${index}`
				const started = start(state, id, clockMs, faults, hasReports)
				if (started.isStopped || started.incarnation === undefined) continue
				if (isKnown) expect(started.incarnation).toBeGreaterThan(state.accepted)
				if (isSuperseded(started.incarnation, state.accepted)) continue
				state.accepted = started.incarnation
			}
		})
		fc.assert(property, {seed, numRuns: 2_000})
	})
})
