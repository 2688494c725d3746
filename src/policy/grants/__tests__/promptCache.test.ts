import {describe, expect, it} from "vitest"
import {PromptCache} from "../promptCache.js"
import {ReadingRate} from "../readingRate.js"

const parts = [
	{id: "x", tokens: 300},
	{id: "y", tokens: 200},
	{id: "z", tokens: 1000}
]

describe("PromptCache", () => {
	it("keeps parts for one adapter, and only behind kept ones", () => {
		const cache = new PromptCache(10_000)
		expect(cache.getUnread("a1", parts)).toBe(1500)
		cache.add("a1", parts.slice(0, 2))
		expect(cache.getUnread("a1", parts)).toBe(1000)
		expect(cache.getUnread("a2", parts)).toBe(1500)
		expect(cache.getUnread("a1", parts.slice(1))).toBe(1200)
	})

	it("forgets the least recently used parts beyond its capacity", () => {
		const cache = new PromptCache(1600)
		cache.add("a1", parts)
		cache.add("a2", parts.slice(0, 1))
		expect(cache.getUnread("a2", parts.slice(0, 1))).toBe(0)
		expect(cache.getUnread("a1", parts)).toBe(1500)
	})
})

describe("ReadingRate", () => {
	it("learns within a few answers that an engine has turned slow", () => {
		const rate = new ReadingRate()
		let now = 0
		for (let n = 0; n < 6; n++) {
			rate.addGrant(now)
			now += 500
			rate.addStart(2000, now)
		}
		expect(rate.tokensPerMs).toBeGreaterThan(3.9)
		expect(rate.tokensPerMs).toBeLessThan(5.5)
	})

	it("is not misled by prompts that are read by turns and begin together", () => {
		const rate = new ReadingRate()
		let now = 0
		for (let n = 0; n < 10; n++) {
			for (let k = 0; k < 4; k++) rate.addGrant(now)
			now += 400
			for (let k = 0; k < 4; k++) rate.addStart(2000, now + k)
		}
		expect(rate.tokensPerMs).toBeGreaterThan(15)
		expect(rate.tokensPerMs).toBeLessThan(25)
	})

	it("learns nothing from idle time", () => {
		const rate = new ReadingRate()
		for (let n = 0; n < 10; n++) {
			rate.addGrant(n * 10_000)
			rate.addStart(2000, n * 10_000 + 100)
		}
		expect(rate.tokensPerMs).toBe(20)
	})
})
