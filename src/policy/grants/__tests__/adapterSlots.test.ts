import fc from "fast-check"
import {describe, expect, it} from "vitest"
import type {AdapterDemand} from "../orderPlan.js"
import {AdapterSlots} from "../adapterSlots.js"
import {type EngineOrder, OrderKind, OrderOutcome} from "../types.js"
import {createReport, limits} from "./fixtures.js"

function createSlots(adapters: readonly string[]): AdapterSlots {
	const slots = new AdapterSlots()
	slots.limits = limits
	slots.apply(createReport(adapters), 0)
	return slots
}

function demand(adapter: string): AdapterDemand {
	return {model: "base", adapter}
}

describe("AdapterSlots", () => {
	it("never evicts a pinned adapter", () => {
		const slots = createSlots(["a1", "a2"])
		slots.pin("base", "a1", 0)
		expect(slots.planOrder([demand("b")], 1, true)).toMatchObject({
			kind: OrderKind.Unload,
			adapter: "a2"
		})
		slots.pin("base", "a2", 1)
		expect(slots.planOrder([demand("b")], 2, true)).toBeUndefined()
	})

	it("evicts the least used adapter that no request waits for", () => {
		const slots = createSlots(["a1", "a2"])
		for (let n = 0; n < 3; n++) {
			slots.pin("base", "a1", n)
			slots.unpin("base", "a1")
		}
		const order = slots.planOrder([demand("b")], 10, true)
		expect(order).toMatchObject({kind: OrderKind.Unload, adapter: "a2"})
		const demands = [demand("b"), demand("a2")]
		expect(slots.planOrder(demands, 10, true)).toMatchObject({adapter: "a1"})
	})

	it("sends no other load after an unanswered one until a report", () => {
		const slots = createSlots(["a1"])
		const order = slots.planOrder([demand("b")], 0, true)
		expect(order).toMatchObject({kind: OrderKind.Load, adapter: "b"})
		if (order !== undefined) slots.beginOrder(order)
		slots.endOrder(OrderOutcome.Unanswered, 1)
		expect(slots.planOrder([demand("c")], 2, true)).toBeUndefined()
		// The engine has not executed it: it is sent again, with its sequence.
		slots.apply(createReport(["a1"]), 3)
		expect(slots.planOrder([demand("c")], 3, true)).toEqual(order)
		// The engine has executed it: no slot is left for another adapter.
		const executed = createReport(["a1", "b"], {sequence: 1})
		slots.pin("base", "a1", 4)
		slots.pin("base", "b", 4)
		slots.apply(executed, 4)
		expect(slots.planOrder([demand("c")], 4, true)).toBeUndefined()
	})

	it("does not serve an adapter while its unanswered eviction may be executed", () => {
		const slots = createSlots(["a1", "a2"])
		const order = slots.planOrder([demand("b")], 0, true)
		expect(order).toMatchObject({kind: OrderKind.Unload, adapter: "a1"})
		if (order !== undefined) slots.beginOrder(order)
		slots.endOrder(OrderOutcome.Unanswered, 1)
		slots.apply(createReport(["a1", "a2"]), 2)
		expect(slots.getReadyVersion("base", "a1", 2)).toBeUndefined()
		// Sent again: the copy that arrives first invalidates the other.
		expect(slots.planOrder([], 2, true)).toEqual(order)
		slots.apply(createReport(["a1", "a2"], {sequence: 1}), 3)
		expect(slots.getReadyVersion("base", "a1", 3)).toBe(1)
	})

	it("replaces an outdated version of a pinned adapter only after the grace period", () => {
		const slots = createSlots(["a1"])
		slots.pin("base", "a1", 0)
		expect(slots.announce("base", "a1", 4, 100)).toBe(true)
		expect(slots.announce("base", "a1", 3, 100)).toBe(false)
		expect(slots.planOrder([], 200, true)).toBeUndefined()
		expect(slots.getReadyVersion("base", "a1", 200)).toBe(1)
		const overdue = slots.planOrder([], 2000, true)
		expect(overdue).toMatchObject({kind: OrderKind.Load, version: 4})
		expect(slots.getReadyVersion("base", "a1", 2000)).toBeUndefined()
	})

	// Guards against grants on an old version by an agent that heard late of the newer.
	it("counts the grace period from the earliest announcement that it is told of", () => {
		const slots = createSlots(["a1"])
		slots.pin("base", "a1", 0)
		expect(slots.announce("base", "a1", 4, 7000)).toBe(true)
		expect(slots.getReadyVersion("base", "a1", 7001)).toBe(1)
		expect(slots.announce("base", "a1", 4, 100)).toBe(false)
		expect(slots.getReadyVersion("base", "a1", 7001)).toBeUndefined()
		expect(slots.announce("base", "a1", 4, 7000)).toBe(false)
		expect(slots.getReadyVersion("base", "a1", 7001)).toBeUndefined()
		expect(slots.planOrder([], 7001, true)).toMatchObject({version: 4})
	})

	it("replaces a version that became outdated during its load", () => {
		const slots = createSlots(["a1"])
		slots.announce("base", "a1", 4, 0)
		const first = slots.planOrder([], 10, true)
		expect(first).toMatchObject({kind: OrderKind.Load, version: 4})
		if (first !== undefined) slots.beginOrder(first)
		slots.endOrder(OrderOutcome.Accepted, 11)
		slots.announce("base", "a1", 6, 50)
		// No second load is planned while the first one is still running.
		expect(slots.planOrder([], 60, true)).toBeUndefined()
		const report = createReport([], {
			sequence: 1,
			models: [{name: "base", adapters: [{adapter: "a1", version: 4}]}]
		})
		slots.apply(report, 300)
		expect(slots.planOrder([], 300, true)).toMatchObject({
			kind: OrderKind.Load,
			adapter: "a1",
			version: 6,
			expectedSequence: 1
		})
		expect(slots.getReadyVersion("base", "a1", 1600)).toBeUndefined()
	})

	it("loads an adapter at its newest announced version", () => {
		const slots = createSlots([])
		slots.announce("base", "b", 7, 0)
		expect(slots.planOrder([demand("b")], 1, true)).toMatchObject({version: 7})
	})

	it("never overfills the engine's slots when answers are lost or late", () => {
		const arbitraryOutcome = fc.constantFrom(
			OrderOutcome.Accepted,
			OrderOutcome.InEffect,
			OrderOutcome.Conflict,
			OrderOutcome.Unanswered
		)
		const arbitraryStep = fc.record({
			adapter: fc.integer({min: 0, max: 6}),
			outcome: arbitraryOutcome,
			/** Whether the engine executes a lost order only after a later one. */
			isLate: fc.boolean(),
			pinned: fc.integer({min: 0, max: 6})
		})
		fc.assert(
			fc.property(fc.array(arbitraryStep, {maxLength: 60}), steps => {
				const engine = new FakeEngine(limits.adapterSlots)
				const slots = createSlots([])
				let now = 0
				for (const {adapter, outcome, isLate, pinned} of steps) {
					now += 300
					slots.apply(engine.report(), now)
					slots.pin("base", `a${pinned}`, now)
					const order = slots.planOrder([demand(`a${adapter}`)], now, true)
					slots.unpin("base", `a${pinned}`)
					if (order === undefined) continue
					slots.beginOrder(order)
					slots.endOrder(engine.receive(order, outcome, isLate), now)
				}
				return engine.peakAdapters <= limits.adapterSlots
			})
		)
	})
})

/** An engine whose answers may be lost and whose executions may be delayed. */
class FakeEngine {
	peakAdapters = 0
	private sequence = 0
	private readonly adapters = new Set<string>()
	private delayed: EngineOrder | undefined

	constructor(readonly slots: number) {}

	report(): ReturnType<typeof createReport> {
		return createReport([...this.adapters], {sequence: this.sequence})
	}

	receive(
		order: EngineOrder,
		outcome: OrderOutcome,
		isLate: boolean
	): OrderOutcome {
		if (outcome === OrderOutcome.Unanswered) {
			if (!isLate) this.execute(order)
			else this.delayed = order
			return outcome
		}
		if (outcome === OrderOutcome.Conflict) return outcome
		if (!this.execute(order)) return OrderOutcome.Conflict
		if (this.delayed !== undefined) this.execute(this.delayed)
		this.delayed = undefined
		return order.kind === OrderKind.Unload
			? OrderOutcome.InEffect
			: OrderOutcome.Accepted
	}

	private execute(order: EngineOrder): boolean {
		if (order.expectedSequence !== this.sequence) return false
		this.sequence += 1
		if (order.kind === OrderKind.Load) this.adapters.add(order.adapter)
		else this.adapters.delete(order.adapter)
		this.peakAdapters = Math.max(this.peakAdapters, this.adapters.size)
		return true
	}
}
