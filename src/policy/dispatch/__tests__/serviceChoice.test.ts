import {describe, expect, it} from "vitest"
import {createRandom} from "../../costs/__tests__/answers.js"
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

describe("the pace of a plain service", () => {
	function serve(choice: ServiceChoice, id: string, now: number): void {
		choice.begin(id)
		choice.succeed(id, 40, now)
	}

	it("sends less to an endpoint that is slow now, until the pace is old", () => {
		const choice = new ServiceChoice()
		choice.setPace("s1", 3, 0)
		const random = createRandom(1)
		const draw = (now: number): Set<string | undefined> =>
			new Set(
				Array.from({length: 200}, () =>
					choice.choose(endpoints, none, now, random)
				)
			)
		expect(draw(10)).not.toContain("s1")
		expect(draw(1000)).toContain("s1")
	})

	// Load: a service that answers in 80 ms at twice the usual pace. Failure: it counts
	// as slow for good, and gets nothing when its pace is usual again.
	it("normalises learned times by the pace they had", () => {
		const choice = new ServiceChoice()
		for (let now = 0; now < 200; now += 10) {
			choice.setPace("s1", 2, now)
			choice.begin("s1")
			choice.succeed("s1", 80, now)
		}
		choice.setPace("s1", 1, 210)
		expect(choose(choice, 210)).toBe("s1")
	})

	// Load: four endpoints whose paces change every 100 ms, 200 requests a second.
	// Failure: requests wait at slow endpoints while fast ones are idle.
	it("answers sooner than without the pace", () => {
		const elapsed = [false, true].map(isStated => {
			const choice = new ServiceChoice()
			let sum = 0
			for (let n = 0; n < 4000; n++) {
				const now = n * 5
				const id = choose(choice, now)
				const index = Number(id.slice(1))
				const step = Math.floor(now / 100) * 7 + index * 13
				const pace = [0.6, 1, 2, 1.4, 0.8][step % 5] ?? 1
				choice.begin(id)
				if (isStated) choice.setPace(id, pace, now)
				choice.succeed(id, 40 * pace, now)
				sum += 40 * pace
			}
			return sum
		})
		expect(elapsed[1]).toBeLessThan(elapsed[0] ?? 0)
	})

	// Failure: deployments whose endpoints state no pace are served in another way.
	it("changes nothing where none is stated", () => {
		const choice = new ServiceChoice()
		const order: string[] = []
		for (let n = 0; n < 40; n++) {
			const id = choose(choice, n)
			order.push(id)
			serve(choice, id, n)
		}
		expect(order).toEqual(order.map(() => "s1"))
	})
})
