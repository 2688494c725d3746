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
	it("spreads a crowd over the endpoints", () => {
		const choice = new ServiceChoice()
		const counts = new Map<string, number>()
		for (let n = 0; n < 20; n++) {
			const id = choose(choice, 0)
			choice.begin(id)
			counts.set(id, (counts.get(id) ?? 0) + 1)
		}
		expect([...counts.values()]).toEqual([5, 5, 5, 5])
	})

	it("believes a load that an endpoint stated, for a while", () => {
		const choice = new ServiceChoice()
		choice.addLoad("s1", 20, 0)
		expect(choose(choice, 10)).not.toBe("s1")
		expect(choose(choice, 1000)).toBe("s1")
	})

	it("keeps work from an endpoint that turned slow", () => {
		const choice = new ServiceChoice()
		for (let n = 0; n < 10; n++) {
			choice.begin("s1")
			choice.succeed("s1", 400, n)
		}
		expect(choose(choice, 20)).not.toBe("s1")
	})

	it("keeps most work from an endpoint that fails a part of it", () => {
		const choice = new ServiceChoice()
		let grey = 0
		for (let n = 0; n < 200; n++) {
			const now = n * 25
			const id = choose(choice, now)
			choice.begin(id)
			if (id !== "s1") choice.succeed(id, 40, now)
			else {
				grey += 1
				choice.fail(id, now)
			}
		}
		expect(grey).toBeGreaterThan(0)
		expect(grey).toBeLessThan(20)
	})

	it("does not choose an endpoint twice for one request", () => {
		const choice = new ServiceChoice()
		const tried = new Set(["s1", "s2", "s3"])
		expect(choice.choose(endpoints, tried, 0, () => 0)).toBe("s4")
		tried.add("s4")
		expect(choice.choose(endpoints, tried, 0, () => 0)).toBeUndefined()
	})
})
