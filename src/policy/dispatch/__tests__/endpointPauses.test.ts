import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {EndpointPauses, maxPauseMs} from "../endpointPauses.js"

describe("EndpointPauses", () => {
	it("closes an endpoint until the end of its pause", () => {
		const pauses = new EndpointPauses()
		pauses.pause("a", 3000, 1000)
		expect(pauses.isOpen("a", 2999)).toBe(false)
		expect(pauses.isOpen("a", 3000)).toBe(true)
		expect(pauses.isOpen("b", 2000)).toBe(true)
	})

	it("permits one probe, then doubles with each success", () => {
		const pauses = new EndpointPauses()
		pauses.pause("a", 100, 0)
		const limits: number[] = []
		for (let round = 0; round < 5; round++) {
			const ends: ((isSuccess: boolean) => void)[] = []
			while (pauses.isOpen("a", 200) && ends.length < 100)
				ends.push(pauses.begin("a"))
			limits.push(ends.length)
			ends.forEach((end, index) => {
				end(index === 0)
			})
		}
		expect(limits).toEqual([1, 2, 4, 8, 16])
		expect(pauses.isOpen("a", 200)).toBe(true)
	})

	it("isn't ended by requests that were on their way when it was stated again", () => {
		const pauses = new EndpointPauses()
		pauses.pause("a", 100, 0)
		for (const count of [1, 2, 4])
			for (let n = 0; n < count; n++) pauses.begin("a")(n === 0)
		const running = Array.from({length: 8}, () => pauses.begin("a"))
		pauses.pause("a", 500, 200)
		for (const end of running) end(true)
		expect(pauses.isOpen("a", 499)).toBe(false)
		expect(pauses.isOpen("a", 500)).toBe(true)
		pauses.begin("a")
		expect(pauses.isOpen("a", 500)).toBe(false)
	})

	it("stays at one request while probes fail", () => {
		const pauses = new EndpointPauses()
		pauses.pause("a", 100, 0)
		for (let n = 0; n < 3; n++) {
			const end = pauses.begin("a")
			expect(pauses.isOpen("a", 200)).toBe(false)
			end(false)
			expect(pauses.isOpen("a", 200)).toBe(true)
		}
	})

	it("never shortens a pause, and cuts an absurd one", () => {
		const pauses = new EndpointPauses()
		pauses.pause("a", 5000, 0)
		pauses.pause("a", 2000, 10)
		expect(pauses.isOpen("a", 4999)).toBe(false)
		pauses.pause("b", 1e12, 0)
		expect(pauses.isOpen("b", maxPauseMs)).toBe(true)
	})

	it("names the earliest return of several endpoints", () => {
		const pauses = new EndpointPauses()
		pauses.pause("a", 5000, 0)
		pauses.pause("b", 3000, 0)
		expect(pauses.getEarliestReturn(["a", "b"], 1000)).toBe(3000)
		expect(pauses.getEarliestReturn(["a", "b"], 4000)).toBe(4000)
	})

	it("sends nothing during any pause, whatever came before", () => {
		const step = fc.oneof(
			fc.record({kind: fc.constant("pause" as const), ms: fc.nat(5000)}),
			fc.record({kind: fc.constant("wait" as const), ms: fc.nat(2000)}),
			fc.record({kind: fc.constant("send" as const), ms: fc.constant(0)}),
			fc.record({kind: fc.constant("end" as const), ms: fc.constant(0)})
		)
		fc.assert(
			fc.property(fc.array(step, {maxLength: 60}), steps => {
				const pauses = new EndpointPauses()
				const running: ((isSuccess: boolean) => void)[] = []
				let now = 0
				let until = 0
				for (const {kind, ms} of steps) {
					if (kind === "wait") now += ms
					else if (kind === "end") running.shift()?.(true)
					else if (kind === "pause") {
						pauses.pause("a", now + ms, now)
						until = Math.max(until, now + ms)
					} else if (pauses.isOpen("a", now)) {
						expect(now).toBeGreaterThanOrEqual(until)
						running.push(pauses.begin("a"))
					}
				}
			})
		)
	})
})
