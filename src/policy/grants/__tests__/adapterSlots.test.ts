import fc from "fast-check"
import {describe, expect, it} from "vitest"
import type {AdapterDemand} from "../orderPlan.js"
import {AdapterSlots} from "../adapterSlots.js"
import {type EngineOrder, OrderKind, OrderOutcome} from "../types.js"
import {createReport, limits} from "./requests.js"

function createPlaces(adapters: readonly string[]): AdapterSlots {
	const slots = new AdapterSlots()
	slots.limits = limits
	slots.apply(createReport(adapters), 0)
	return slots
}

function want(adapter: string): AdapterDemand {
	return {model: "base", adapter}
}

describe("AdapterSlots", () => {
	it("never evicts an adapter that a request uses", () => {
		const slots = createPlaces(["a1", "a2"])
		slots.pin("base", "a1", 0)
		expect(slots.planOrder([want("b")], 1, true)).toMatchObject({
			kind: OrderKind.Unload,
			adapter: "a2"
		})
		slots.pin("base", "a2", 1)
		expect(slots.planOrder([want("b")], 2, true)).toBeUndefined()
	})

	it("evicts the adapter that is used least, and not one that is waited for", () => {
		const slots = createPlaces(["a1", "a2"])
		for (let n = 0; n < 3; n++) {
			slots.pin("base", "a1", n)
			slots.unpin("base", "a1")
		}
		const order = slots.planOrder([want("b")], 10, true)
		expect(order).toMatchObject({kind: OrderKind.Unload, adapter: "a2"})
		const demands = [want("b"), want("a2")]
		expect(slots.planOrder(demands, 10, true)).toMatchObject({adapter: "a1"})
	})

	it("counts the slot of an order without an answer until a report", () => {
		const slots = createPlaces(["a1"])
		const order = slots.planOrder([want("b")], 0, true)
		expect(order).toMatchObject({kind: OrderKind.Load, adapter: "b"})
		if (order !== undefined) slots.beginOrder(order)
		slots.endOrder(OrderOutcome.Lost, 1)
		expect(slots.planOrder([want("c")], 2, true)).toBeUndefined()
		// It was not carried out yet: it is given again, with its sequence.
		slots.apply(createReport(["a1"]), 3)
		expect(slots.planOrder([want("c")], 3, true)).toEqual(order)
		// It was carried out after all: there is no slot for another one.
		const done = createReport(["a1", "b"], {sequence: 1})
		slots.pin("base", "a1", 4)
		slots.pin("base", "b", 4)
		slots.apply(done, 4)
		expect(slots.planOrder([want("c")], 4, true)).toBeUndefined()
	})

	it("does not use an adapter while its eviction may still be carried out", () => {
		const slots = createPlaces(["a1", "a2"])
		const order = slots.planOrder([want("b")], 0, true)
		expect(order).toMatchObject({kind: OrderKind.Unload, adapter: "a1"})
		if (order !== undefined) slots.beginOrder(order)
		slots.endOrder(OrderOutcome.Lost, 1)
		slots.apply(createReport(["a1", "a2"]), 2)
		expect(slots.getReadyVersion("base", "a1", 2)).toBeUndefined()
		// Given again: whichever comes first makes the other one invalid.
		expect(slots.planOrder([], 2, true)).toEqual(order)
		slots.apply(createReport(["a1", "a2"], {sequence: 1}), 3)
		expect(slots.getReadyVersion("base", "a1", 3)).toBe(1)
	})

	it("replaces an old version once nothing runs on it, or when it is time", () => {
		const slots = createPlaces(["a1"])
		slots.pin("base", "a1", 0)
		expect(slots.announce("base", "a1", 4, 100)).toBe(true)
		expect(slots.announce("base", "a1", 3, 100)).toBe(false)
		expect(slots.planOrder([], 200, true)).toBeUndefined()
		expect(slots.getReadyVersion("base", "a1", 200)).toBe(1)
		const late = slots.planOrder([], 2000, true)
		expect(late).toMatchObject({kind: OrderKind.Load, version: 4})
		expect(slots.getReadyVersion("base", "a1", 2000)).toBeUndefined()
	})

	it("replaces a version that is outdated again as soon as it is in place", () => {
		const slots = createPlaces(["a1"])
		slots.announce("base", "a1", 4, 0)
		const first = slots.planOrder([], 10, true)
		expect(first).toMatchObject({kind: OrderKind.Load, version: 4})
		if (first !== undefined) slots.beginOrder(first)
		slots.endOrder(OrderOutcome.Accepted, 11)
		slots.announce("base", "a1", 6, 50)
		// The first replacement is on its way: a second order would be lost on it.
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

	it("loads an adapter at the version that was announced", () => {
		const slots = createPlaces([])
		slots.announce("base", "b", 7, 0)
		expect(slots.planOrder([want("b")], 1, true)).toMatchObject({version: 7})
	})

	it("never has more adapters ordered than the engine has slots", () => {
		const arbitraryOutcome = fc.constantFrom(
			OrderOutcome.Accepted,
			OrderOutcome.Holds,
			OrderOutcome.Conflict,
			OrderOutcome.Lost
		)
		const arbitraryStep = fc.record({
			adapter: fc.integer({min: 0, max: 6}),
			outcome: arbitraryOutcome,
			/** Whether a lost order is carried out after all, late. */
			isLate: fc.boolean(),
			pinned: fc.integer({min: 0, max: 6})
		})
		fc.assert(
			fc.property(fc.array(arbitraryStep, {maxLength: 60}), steps => {
				const engine = new FakeEngine(limits.adapterSlots)
				const slots = createPlaces([])
				let now = 0
				for (const {adapter, outcome, isLate, pinned} of steps) {
					now += 300
					slots.apply(engine.report(), now)
					slots.pin("base", `a${pinned}`, now)
					const order = slots.planOrder([want(`a${adapter}`)], now, true)
					slots.unpin("base", `a${pinned}`)
					if (order === undefined) continue
					slots.beginOrder(order)
					slots.endOrder(engine.take(order, outcome, isLate), now)
				}
				return engine.most <= limits.adapterSlots
			})
		)
	})
})

/** An engine that may lose answers and carry orders out late. */
class FakeEngine {
	most = 0
	private sequence = 0
	private readonly adapters = new Set<string>()
	private late: EngineOrder | undefined

	constructor(readonly slots: number) {}

	report(): ReturnType<typeof createReport> {
		return createReport([...this.adapters], {sequence: this.sequence})
	}

	take(
		order: EngineOrder,
		outcome: OrderOutcome,
		isLate: boolean
	): OrderOutcome {
		if (outcome === OrderOutcome.Lost) {
			if (!isLate) this.carryOut(order)
			else this.late = order
			return outcome
		}
		if (outcome === OrderOutcome.Conflict) return outcome
		if (!this.carryOut(order)) return OrderOutcome.Conflict
		if (this.late !== undefined) this.carryOut(this.late)
		this.late = undefined
		return order.kind === OrderKind.Unload
			? OrderOutcome.Holds
			: OrderOutcome.Accepted
	}

	private carryOut(order: EngineOrder): boolean {
		if (order.expectedSequence !== this.sequence) return false
		this.sequence += 1
		if (order.kind === OrderKind.Load) this.adapters.add(order.adapter)
		else this.adapters.delete(order.adapter)
		this.most = Math.max(this.most, this.adapters.size)
		return true
	}
}
