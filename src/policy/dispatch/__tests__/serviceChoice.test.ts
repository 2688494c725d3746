import {describe, expect, it} from "vitest"
import {ServiceChoice} from "../serviceChoice.js"

const endpoints = ["s1", "s2", "s3", "s4"].map(id => ({
	id,
	seats: 6,
	isNear: true
}))
const none = new Set<string>()

function choose(choice: ServiceChoice, now: number): string {
	return choice.choose(endpoints, none, now, () => 0.5) ?? ""
}

describe("ServiceChoice", () => {
	it("spreads a burst of requests evenly over idle endpoints", () => {
		const choice = new ServiceChoice()
		const counts = new Map<string, number>()
		for (let n = 0; n < 20; n++) {
			const id = choose(choice, 0)
			choice.begin(id)
			counts.set(id, (counts.get(id) ?? 0) + 1)
		}
		expect([...counts.values()]).toEqual([5, 5, 5, 5])
	})

	it("avoids an endpoint with a high reported load until the report expires", () => {
		const choice = new ServiceChoice()
		choice.setReportedLoad("s1", 20, 0)
		expect(choose(choice, 10)).not.toBe("s1")
		expect(choose(choice, 1000)).toBe("s1")
	})

	it("avoids an endpoint with a long service time", () => {
		const choice = new ServiceChoice()
		for (let n = 0; n < 10; n++) {
			choice.begin("s1")
			choice.succeed("s1", 400, n)
		}
		expect(choose(choice, 20)).not.toBe("s1")
	})

	it("sends few requests to an endpoint that fails them", () => {
		const choice = new ServiceChoice()
		let failures = 0
		for (let n = 0; n < 200; n++) {
			const now = n * 25
			const id = choose(choice, now)
			choice.begin(id)
			if (id !== "s1") choice.succeed(id, 40, now)
			else {
				failures += 1
				choice.fail(id, now)
			}
		}
		expect(failures).toBeGreaterThan(0)
		expect(failures).toBeLessThan(20)
	})

	it("skips the endpoints that the request has tried", () => {
		const choice = new ServiceChoice()
		const tried = new Set(["s1", "s2", "s3"])
		expect(choice.choose(endpoints, tried, 0, () => 0)).toBe("s4")
		tried.add("s4")
		expect(choice.choose(endpoints, tried, 0, () => 0)).toBeUndefined()
	})
})
