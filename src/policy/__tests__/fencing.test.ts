import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {WriteOutcome, absentVersion} from "../../link/platform.js"
import {
	chooseIncarnation,
	type FencingAction,
	FencingActionType,
	type FencingEvent,
	FencingEventType,
	IncarnationTaker,
	isSuperseded,
	type StoredIncarnation
} from "../fencing.js"

/** The platform's object and what the endpoint has seen. */
interface World {
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
	/** Neither reads nor writes work until the start deadline. */
	Outage = "outage"
}

const startWaitMs = 1_000

function store(world: World, value: StoredIncarnation, expected: number) {
	if (world.version !== expected) return WriteOutcome.Conflict
	world.stored = value
	world.version += 1
	return WriteOutcome.Written
}

function reply(
	action: FencingAction,
	world: World,
	fault: Fault
): FencingEvent | undefined {
	if (action.type === FencingActionType.ReadStored) {
		if (fault === Fault.Outage) return {type: FencingEventType.ReadFailed}
		const {stored, version} = world
		return {type: FencingEventType.Read, stored, version}
	}
	if (action.type !== FencingActionType.WriteStored) return undefined
	const {version} = world
	const type = FencingEventType.WriteEnded
	if (fault === Fault.Outage || fault === Fault.Refused) {
		return {type, outcome: WriteOutcome.Refused, version}
	}
	const outcome = store(world, action.value, action.expected)
	const isLost = fault === Fault.Lost
	return {type, outcome: isLost ? WriteOutcome.Lost : outcome, version}
}

interface Started {
	incarnation: number | undefined
	isStopped: boolean
}

/** Starts a process; faults apply to its first calls, one each. */
function start(
	world: World,
	processId: string,
	clockMs: number,
	faults: readonly Fault[],
	reports: boolean
): Started {
	let now = clockMs
	const startDeadline = now + startWaitMs
	const taker = new IncarnationTaker({processId, random: 0.5, startDeadline})
	const started: Started = {incarnation: undefined, isStopped: false}
	const left = [...faults]
	const used = reports ? [world.accepted] : []
	const events: FencingEvent[] = [{type: FencingEventType.Start, used}]
	for (let steps = 0; steps < 200; steps++) {
		const event = events.shift() ?? {type: FencingEventType.Tick}
		for (const action of taker.step(event, now)) {
			if (action.type === FencingActionType.Use) {
				started.incarnation = action.incarnation
			}
			if (action.type === FencingActionType.Stop) started.isStopped = true
			const next = reply(action, world, left.shift() ?? Fault.None)
			if (next !== undefined) events.push(next)
		}
		if (events.length > 0) continue
		if (taker.nextTickAt() === Infinity) break
		now = taker.nextTickAt()
	}
	return started
}

describe("chooseIncarnation", () => {
	it("is above everything used and not below the present time", () => {
		const evidence = {used: [5, 9], now: 0, random: 0}
		expect(chooseIncarnation(evidence)).toBe(10)
		const later = {used: [5], now: 1_000, random: 0}
		expect(chooseIncarnation(later)).toBe(1_024_000)
	})

	it("rejects numbers that a double can't count", () => {
		const evidence = {used: [Number.MAX_SAFE_INTEGER], now: 0, random: 0}
		expect(() => chooseIncarnation(evidence)).toThrow(RangeError)
	})
})

describe("IncarnationTaker", () => {
	it("settles a lost write by reading back", () => {
		const world = {stored: undefined, version: absentVersion, accepted: 0}
		const {incarnation} = start(
			world,
			"a",
			1_000,
			[Fault.None, Fault.Lost],
			false
		)
		expect(world.stored).toEqual({incarnation, processId: "a"})
		expect(world.version).toBe(1)
	})

	it("starts in an outage and records the number afterwards", () => {
		const world = {stored: undefined, version: absentVersion, accepted: 7}
		const outage = Array.from({length: 8}, () => Fault.Outage)
		const {incarnation} = start(world, "a", 1_000, outage, true)
		expect(incarnation).toBeGreaterThan(7)
		expect(world.stored).toEqual({incarnation, processId: "a"})
	})

	it("stops when the stored number turns out to be higher", () => {
		const stored = {incarnation: 9_000_000_000, processId: "fast-clock"}
		const world = {stored, version: 4, accepted: 0}
		const outage = Array.from({length: 8}, () => Fault.Outage)
		const {isStopped} = start(world, "a", 1_000, outage, false)
		expect(isStopped).toBe(true)
		expect(world.stored).toEqual(stored)
	})

	const seed = 20_261_204
	it(`only rises where someone knows the last number (seed ${seed})`, () => {
		const fault = fc.constantFrom(...Object.values(Fault))
		const startOf = fc.record({
			clockMs: fc.integer({min: 0, max: 100_000}),
			faults: fc.array(fault, {maxLength: 8})
		})
		const starts = fc.array(startOf, {minLength: 2, maxLength: 8})
		const property = fc.property(starts, fc.boolean(), (drawn, reports) => {
			const world: World = {stored: undefined, version: 0, accepted: 0}
			for (const [index, {clockMs, faults}] of drawn.entries()) {
				const isKnown = reports || !faults.includes(Fault.Outage)
				const id = `p${index}`
				const started = start(world, id, clockMs, faults, reports)
				if (started.isStopped || started.incarnation === undefined) continue
				if (isKnown) expect(started.incarnation).toBeGreaterThan(world.accepted)
				if (isSuperseded(started.incarnation, world.accepted)) continue
				world.accepted = started.incarnation
			}
		})
		fc.assert(property, {seed, numRuns: 2_000})
	})
})
