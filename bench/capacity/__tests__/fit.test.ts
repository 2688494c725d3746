import {describe, expect, it} from "vitest"
import {evaluate, fitLine} from "../fit.js"

describe("fitLine", () => {
	it("recovers the line of collinear points", () => {
		const line = fitLine([1, 4, 9].map(x => ({x, y: 7 + 3 * x})))
		expect(line.slope).toBeCloseTo(3)
		expect(line.intercept).toBeCloseTo(7)
		expect(line.maxResidual).toBeCloseTo(0)
		expect(evaluate(line, 100)).toBeCloseTo(307)
	})

	it("reports the largest residual relative to its point", () => {
		const line = fitLine([
			{x: 0, y: 10},
			{x: 1, y: 16},
			{x: 2, y: 10}
		])
		expect(line.slope).toBeCloseTo(0)
		expect(line.intercept).toBeCloseTo(12)
		expect(line.maxResidual).toBeCloseTo(4 / 16)
	})

	it("throws when fewer than two points have distinct x", () => {
		const point = {x: 5, y: 1}
		expect(() => fitLine([])).toThrow(RangeError)
		expect(() => fitLine([point])).toThrow(RangeError)
		expect(() => fitLine([point, {x: 5, y: 2}])).toThrow(RangeError)
	})
})
