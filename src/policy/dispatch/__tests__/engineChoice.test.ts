import {describe, expect, it} from "vitest"
import {
	EngineChoice,
	type EngineRating,
	type EngineView
} from "../engineChoice.js"

const idle: EngineView = {
	isUsable: true,
	waitMs: 0,
	tokensPerMs: 20,
	freeSlots: 3,
	slotStepMs: 200
}
const engines = ["e1", "e2", "e3"].map(id => ({id, isNear: true}))
const query = {slotKey: "base/a1", hasAdapter: true, promptTokens: 2000}

function createChoice(
	views: Record<string, Partial<EngineView>> = {}
): EngineChoice {
	const choice = new EngineChoice()
	for (const {id} of engines) choice.applyView(id, {...idle, ...views[id]})
	return choice
}

/** Engines in the order of choice: each is chosen among those that are left. */
function listRatings(choice: EngineChoice, now = 0): EngineRating[] {
	const ratings: EngineRating[] = []
	let left = engines
	for (;;) {
		const best = choice.choose(query, left, now)
		if (best === undefined) return ratings
		ratings.push(best)
		left = left.filter(({id}) => id !== best.id)
	}
}

function listIds(choice: EngineChoice, now = 0): string[] {
	return listRatings(choice, now).map(({id}) => id)
}

describe("EngineChoice", () => {
	it("prefers the engine where the adapter is resident", () => {
		const choice = createChoice()
		choice.applyResidency("e2", ["base/a1"], [])
		expect(listIds(choice)[0]).toBe("e2")
	})

	it("prefers the engine with the adapter in its local cache", () => {
		const choice = createChoice()
		choice.applyResidency("e3", [], ["base/a1"])
		expect(listIds(choice)[0]).toBe("e3")
	})

	it("ranks engines alike in all gateways when none has the adapter", () => {
		expect(listIds(createChoice())).toEqual(listIds(createChoice()))
	})

	it("spills to another engine when the wait costs more than a load", () => {
		const choice = createChoice({e2: {waitMs: 1500}})
		choice.applyResidency("e2", ["base/a1"], [])
		expect(listIds(choice)[0]).not.toBe("e2")
	})

	it("waits for the resident engine rather than load from the weight store", () => {
		// A crowd of tail adapters: every load holds a slot and delays other loads.
		const choice = createChoice({e2: {waitMs: 1000}})
		choice.applyResidency("e2", ["base/a1"], [])
		expect(listIds(choice)[0]).toBe("e2")
	})

	it("counts its own asks until the agent sends a new state", () => {
		const choice = createChoice()
		choice.applyResidency("e2", ["base/a1"], [])
		for (let n = 0; n < 12; n++) choice.addAsk("e2", query, 0)
		expect(listIds(choice)[0]).not.toBe("e2")
		choice.applyView("e2", idle)
		expect(listIds(choice)[0]).toBe("e2")
	})

	it("drops old asks when the agent's state does not change", () => {
		const choice = createChoice()
		choice.applyResidency("e2", ["base/a1"], [])
		// The agent sends no state while its state is unchanged.
		for (let now = 0; now < 600; now += 50) choice.addAsk("e2", query, now)
		const [best] = listRatings(choice, 600)
		expect(best?.id).toBe("e2")
		expect(best?.expectedMs).toBeLessThan(500)
	})

	it("adds the wait for a slot where more adapters wait than slots are available", () => {
		const choice = createChoice({
			e1: {freeSlots: -2},
			e2: {freeSlots: -2},
			e3: {freeSlots: 1}
		})
		const [best, next] = listRatings(choice)
		expect(best?.id).toBe("e3")
		expect((next?.expectedMs ?? 0) - (best?.expectedMs ?? 0)).toBe(600)
	})

	it("avoids an engine after failures until the penalty has decayed", () => {
		const choice = createChoice()
		choice.applyResidency("e2", ["base/a1"], [])
		for (let n = 0; n < 5; n++) choice.addFailure("e2", 0)
		expect(listIds(choice)[0]).not.toBe("e2")
		expect(listIds(choice, 20_000)[0]).toBe("e2")
	})

	it("uses the last known residency while the agent is disconnected", () => {
		const choice = createChoice()
		choice.applyResidency("e2", ["base/a1"], [])
		for (const {id} of engines) choice.dropView(id)
		expect(listRatings(choice)).toMatchObject([{id: "e2", isLinked: false}])
	})
})

describe("a residency that changes", () => {
	it("is followed without whole lists", () => {
		const choice = createChoice()
		choice.applyResidency("e3", ["base/a0"], [])
		choice.applyResidencyChange("e3", ["base/a1"], ["base/a0"])
		expect(listIds(choice)[0]).toBe("e3")
		choice.applyResidencyChange("e3", [], ["base/a1"])
		// Its host has the adapter in its cache now.
		expect(listRatings(choice)[0]).toMatchObject({id: "e3", expectedMs: 140})
	})

	it("chooses alike among many engines whatever their order", () => {
		const many = Array.from({length: 200}, (_, n) => ({
			id: `e${n}`,
			isNear: true
		}))
		const choice = new EngineChoice()
		for (const {id} of many) choice.applyView(id, idle)
		const best = choice.choose(query, many, 0)
		expect(choice.choose(query, [...many].reverse(), 0)).toEqual(best)
	})
})
