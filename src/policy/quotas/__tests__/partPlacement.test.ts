import {describe, expect, it} from "vitest"
import {orderParts, placeParts, RefusalMemory} from "../index.js"

describe("the agents that should hold the parts", () => {
	it("are different ones in different failure domains, so that one fault takes one", () => {
		for (let first = 0; first < 50; first += 1) {
			const candidates = Array.from({length: 9}, (_, n) => ({
				id: `i-${first + n}`,
				failureDomain: String(n % 3)
			}))
			const chosen = placeParts(candidates)
			const domains = chosen.map(
				id => candidates.find(one => one.id === id)?.failureDomain
			)
			expect(new Set(chosen).size).toBe(3)
			expect(new Set(domains).size).toBe(3)
			expect(placeParts(candidates.toReversed())).toEqual(chosen)
		}
	})

	it("may be the same one where there are too few", () => {
		const only = {id: "i-1", failureDomain: "a"}
		expect(placeParts([only])).toEqual(["i-1", "i-1", "i-1"])
		expect(placeParts([])).toEqual([])
	})
})

describe("the order in which parts are asked", () => {
	it("passes over those that refused just before, but asks one in any case", () => {
		const random = (): number => 0.5
		const some = orderParts([undefined, 300, undefined], random)
		expect(some).toEqual({parts: [0, 2], waits: [300]})
		const all = orderParts([400, 300, 500], random)
		expect(all).toEqual({parts: [1], waits: [400, 500]})
	})
})

describe("refusals that a gateway remembers", () => {
	const ask = {member: "m", part: 0, cost: 2400, version: 1}

	it("concern no smaller request, no other version and no time after", () => {
		const memory = new RefusalMemory()
		memory.add(ask, 150, 1000)
		expect(memory.getWaitMs(ask, 1100)).toBe(50)
		expect(memory.getWaitMs({...ask, cost: 2399}, 1100)).toBeUndefined()
		expect(memory.getWaitMs({...ask, version: 2}, 1100)).toBeUndefined()
		expect(memory.getWaitMs({...ask, part: 1}, 1100)).toBeUndefined()
		expect(memory.getWaitMs(ask, 1150)).toBeUndefined()
	})

	it("are remembered for a short time, since amounts may be returned", () => {
		const memory = new RefusalMemory()
		memory.add(ask, 20_000, 1000)
		expect(memory.getWaitMs(ask, 1249)).toBe(19_751)
		expect(memory.getWaitMs(ask, 1250)).toBeUndefined()
	})
})
