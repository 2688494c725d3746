import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {KeyedHeap} from "../keyedHeap.js"
import {Popularity} from "../popularity.js"

const seed = 20_261_203

describe("KeyedHeap", () => {
	it(`pops entries in the order of a stable sort (seed ${seed})`, () => {
		const operation = fc.record({
			key: fc.nat(15),
			priority: fc.nat(5),
			isDelete: fc.boolean()
		})
		const property = fc.property(fc.array(operation), operations => {
			const heap = new KeyedHeap<string>()
			const model = new Map<string, number>()
			for (const {key, priority, isDelete} of operations) {
				const name = `k${key}`
				if (isDelete) {
					expect(heap.delete(name)).toBe(model.delete(name))
					continue
				}
				heap.set(name, name, priority)
				model.set(name, priority)
			}
			const order = [...model].sort((a, b) => a[1] - b[1])
			const expected = order.map(([key]) => key)
			const popped = Array.from({length: heap.size}, () => heap.pop())
			expect(popped).toEqual(expected)
		})
		fc.assert(property, {seed, numRuns: 500})
	})
})

describe("Popularity", () => {
	it("ranks steady use above a single use, and that above an old burst", () => {
		const popularity = new Popularity({halfLifeMs: 30_000})
		for (let use = 0; use < 20; use++) popularity.add("burst", 0)
		for (let now = 0; now <= 300_000; now += 20_000) {
			popularity.add("steady", now)
		}
		popularity.add("single", 300_000)
		const read = (key: string): number => popularity.read(key, 300_000)
		expect(read("steady")).toBeGreaterThan(read("single"))
		expect(read("single")).toBeGreaterThan(read("burst"))
	})

	it("deletes decayed counters when it has more than the limit", () => {
		const popularity = new Popularity({halfLifeMs: 1000, maxCounters: 100})
		for (let key = 0; key < 1000; key++) {
			popularity.add(`k${key}`, key * 1000)
		}
		expect(popularity.size).toBeLessThanOrEqual(200)
	})
})
