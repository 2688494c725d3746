import {describe, expect, it} from "vitest"
import {PrefixCache} from "../prefixCache.js"
import {PrefillRate} from "../prefillRate.js"

const parts = [
	{id: "x", tokens: 300},
	{id: "y", tokens: 200},
	{id: "z", tokens: 1000}
]

describe("PrefixCache", () => {
	it("counts a part as cached for one adapter, and only after cached parts", () => {
		const cache = new PrefixCache(10_000)
		expect(cache.countUncachedTokens("a1", parts)).toBe(1500)
		cache.add("a1", parts.slice(0, 2))
		expect(cache.countUncachedTokens("a1", parts)).toBe(1000)
		expect(cache.countUncachedTokens("a2", parts)).toBe(1500)
		expect(cache.countUncachedTokens("a1", parts.slice(1))).toBe(1200)
	})

	it("evicts the least recently used parts beyond its capacity", () => {
		const cache = new PrefixCache(1600)
		cache.add("a1", parts)
		cache.add("a2", parts.slice(0, 1))
		expect(cache.countUncachedTokens("a2", parts.slice(0, 1))).toBe(0)
		expect(cache.countUncachedTokens("a1", parts)).toBe(1500)
	})
})

describe("PrefillRate", () => {
	it("follows an engine's slowdown within a few prompts", () => {
		const rate = new PrefillRate()
		let now = 0
		for (let n = 0; n < 6; n++) {
			rate.addGrant(now)
			now += 500
			rate.addPrefilled(2000, now)
		}
		expect(rate.tokensPerMs).toBeGreaterThan(3.9)
		expect(rate.tokensPerMs).toBeLessThan(5.5)
	})

	it("estimates the rate of interleaved prompts whose prefill ends together", () => {
		const rate = new PrefillRate()
		let now = 0
		for (let n = 0; n < 10; n++) {
			for (let k = 0; k < 4; k++) rate.addGrant(now)
			now += 400
			for (let k = 0; k < 4; k++) rate.addPrefilled(2000, now + k)
		}
		expect(rate.tokensPerMs).toBeGreaterThan(15)
		expect(rate.tokensPerMs).toBeLessThan(25)
	})

	it("leaves out idle time between prompts", () => {
		const rate = new PrefillRate()
		for (let n = 0; n < 10; n++) {
			rate.addGrant(n * 10_000)
			rate.addPrefilled(2000, n * 10_000 + 100)
		}
		expect(rate.tokensPerMs).toBe(20)
	})
})
