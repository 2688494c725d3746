import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {RetryBudgets} from "../retryBudgets.js"

const ratio = 0.2
const extra = 54
const windowMs = 10_000

describe("RetryBudgets", () => {
	it("permits a retry before any request was counted", () => {
		const budgets = new RetryBudgets({ratio, extra, windowMs, now: () => 0})
		budgets.setGateways(4)
		expect(budgets.tryRetry("desk")).toBe(true)
	})

	it("keeps the retries of all gateways within the budget in any window", () => {
		const arbitraryRun = fc.record({
			gateways: fc.integer({min: 1, max: 6}),
			requestsPerTick: fc.integer({min: 0, max: 10})
		})
		fc.assert(
			fc.property(arbitraryRun, ({gateways, requestsPerTick}) => {
				let now = 0
				const all = Array.from({length: gateways}, () => {
					const budgets = new RetryBudgets({
						ratio,
						extra,
						windowMs,
						now: () => now
					})
					budgets.setGateways(gateways)
					return budgets
				})
				const retryTimes: number[] = []
				for (; now < 30_000; now += 100) {
					for (const budgets of all) {
						for (let n = 0; n < requestsPerTick; n++) {
							budgets.addRequest("desk")
							if (budgets.tryRetry("desk")) retryTimes.push(now)
						}
						if (budgets.tryRetry("desk")) retryTimes.push(now)
					}
				}
				const requests = requestsPerTick * gateways * (windowMs / 100)
				for (let from = 0; from < 20_000; from += 1000) {
					const inWindow = retryTimes.filter(
						at => at >= from && at < from + windowMs
					)
					if (inWindow.length > ratio * requests + extra) return false
				}
				return true
			}),
			{numRuns: 30}
		)
	})
})
