import {describe, expect, it} from "vitest"
import {minPerSecond, StatedLimits} from "../index.js"

const stated = {id: "e1", bornAt: 1, perSecond: 2, sentAt: 0}

describe("the limit that an endpoint states", () => {
	it("is in force until an answer to a later request states none", () => {
		const limits = new StatedLimits()
		expect(limits.addAnswer(stated, 100)).toBe(true)
		expect(limits.get("e1", 1)?.perSecond).toBe(2)
		const silent = {...stated, perSecond: undefined}
		expect(limits.addAnswer({...silent, sentAt: 101}, 150)).toBe(true)
		expect(limits.get("e1", 1)).toBeUndefined()
	})

	it("is not ended by an answer to a request that was sent before it", () => {
		const limits = new StatedLimits()
		limits.addAnswer(stated, 100)
		const early = {...stated, perSecond: undefined, sentAt: 90}
		expect(limits.addAnswer(early, 150)).toBe(false)
		expect(limits.get("e1", 1)?.perSecond).toBe(2)
	})

	it("does not hold for another incarnation", () => {
		const limits = new StatedLimits()
		limits.addAnswer(stated, 100)
		expect(limits.get("e1", 2)).toBeUndefined()
	})

	it("is not replaced by what another host heard before", () => {
		const limits = new StatedLimits()
		limits.addAnswer(stated, 100)
		const older = {bornAt: 1, perSecond: undefined, statedAt: 99}
		expect(limits.apply("e1", older)).toBe(false)
		expect(limits.get("e1", 1)?.perSecond).toBe(2)
	})

	it("is not replaced by what is late about an earlier incarnation", () => {
		const limits = new StatedLimits()
		limits.addAnswer({...stated, bornAt: 2}, 100)
		limits.apply("e1", {bornAt: 1, perSecond: 5, statedAt: 50})
		expect(limits.get("e1", 2)?.perSecond).toBe(2)
	})

	it("of nothing at all leaves requests that can hear its end", () => {
		const limits = new StatedLimits()
		limits.addAnswer({...stated, perSecond: 0}, 100)
		expect(limits.get("e1", 1)?.perSecond).toBe(minPerSecond)
	})
})
