import {describe, expect, it} from "vitest"
import {ConfirmPlan} from "../index.js"

const sources = ["g1", "g2", "g3"]
const tickMs = 100

/**
 * Runs a plan for some seconds against gateways that answer with proof unless they
 * are silent, and returns which were asked.
 */
function run(
	plan: ConfirmPlan,
	isSilent: (source: string, at: number) => boolean,
	seconds = 10
): string[] {
	const asked: string[] = []
	for (let at = 0; at < seconds * 1000; at += tickMs) {
		const source = plan.next(sources, at, 0)
		if (source === undefined) continue
		asked.push(source)
		if (!isSilent(source, at)) plan.applyAnswer(source, true, at)
	}
	return asked
}

describe("ConfirmPlan", () => {
	it("asks one gateway once a second", () => {
		const asked = run(new ConfirmPlan(), () => false)
		expect(asked).toEqual(Array<string>(10).fill("g1"))
	})

	it("asks another one within 300 ms when one is lost, and stays there", () => {
		const plan = new ConfirmPlan()
		const asked = run(plan, (source, at) => source === "g1" && at >= 3000)
		expect(asked.slice(0, 5)).toEqual(["g1", "g1", "g1", "g1", "g2"])
		expect(new Set(asked.slice(4))).toEqual(new Set(["g2"]))
	})

	it("goes round all of them, at most four times a second, while none has proof", () => {
		const asked = run(new ConfirmPlan(), () => true, 3)
		expect(asked.length).toBeLessThanOrEqual(12)
		expect(asked.slice(0, 4)).toEqual(["g1", "g2", "g3", "g1"])
	})

	it("takes a connected one when the one asked before is gone", () => {
		const plan = new ConfirmPlan()
		plan.applyAnswer(plan.next(sources, 0, 0.5) ?? "", true, 0)
		expect(plan.next(["g1", "g3"], 1000, 0.9)).toBe("g3")
		expect(plan.next([], 5000, 0.9)).toBeUndefined()
	})

	it("is not misled by a late answer of a gateway that was given up", () => {
		const plan = new ConfirmPlan()
		expect(plan.next(sources, 0, 0)).toBe("g1")
		expect(plan.next(sources, 300, 0)).toBe("g2")
		plan.applyAnswer("g1", true, 0)
		expect(plan.next(sources, 600, 0)).toBe("g3")
	})

	it("does not wait for the interval when the proof is too old, nor ask without pause", () => {
		const plan = new ConfirmPlan()
		plan.applyAnswer(plan.next(sources, 0, 0) ?? "", true, 0)
		plan.hurry()
		expect(plan.next(sources, 200, 0)).toBeUndefined()
		expect(plan.next(sources, 300, 0)).toBe("g1")
	})
})
