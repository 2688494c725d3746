import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {FixedLoadShares} from "../baselines/index.js"
import {getCoalescingKey} from "../coalescing.js"
import {DrainRate} from "../drainRate.js"
import {LoadBudget} from "../loadBudget.js"
import {DemandLoadShares} from "../loadShares.js"
import {RetryBudget} from "../retryBudget.js"

const seed = 20_261_203
const limits = {loadsPerSecond: 5, inFlight: 8, loadMs: 250}

describe("DemandLoadShares", () => {
	it(`add up to the load rate of the store (seed ${seed})`, () => {
		const demands = fc.array(fc.nat(50), {minLength: 1, maxLength: 20})
		const property = fc.property(demands, all => {
			const wanted = all.map(demand => demand + 1)
			const total = wanted.reduce((sum, demand) => sum + demand, 0)
			const rates = wanted.map(own => {
				const shares = new DemandLoadShares({limits, processes: all.length})
				shares.setDemand(own)
				const demand = total - own
				const demanding = all.length - 1
				shares.addFleetDemand({entry: "e", demand, demanding}, 0)
				return shares.getShare(0).loadsPerSecond
			})
			const sum = rates.reduce((a, b) => a + b, 0)
			expect(sum).toBeCloseTo(limits.loadsPerSecond, 6)
		})
		fc.assert(property, {seed})
	})

	it("keep a part for a process without demand while others demand much", () => {
		const shares = new DemandLoadShares({limits, processes: 10})
		shares.addFleetDemand({entry: "e", demand: 10_000, demanding: 9}, 0)
		expect(shares.getShare(0).loadsPerSecond).toBeGreaterThan(0.1)
	})

	it("are equal for all processes once the reports of all entries expired", () => {
		const shares = new DemandLoadShares({limits, processes: 10})
		shares.addFleetDemand({entry: "e", demand: 0, demanding: 0}, 0)
		expect(shares.getShare(0).loadsPerSecond).toBe(5)
		expect(shares.getShare(60_000)).toEqual(
			new FixedLoadShares({limits, processes: 10}).getShare()
		)
	})

	it("decrease while loads are slow and recover afterwards", () => {
		const shares = new DemandLoadShares({limits, processes: 1})
		let now = 0
		const load = (tookMs: number, times: number): number => {
			for (let time = 0; time < times; time++) {
				now += 1000
				shares.addLoad(tookMs, now)
			}
			return shares.getShare(now).loadsPerSecond
		}
		expect(load(8000, 20)).toBeLessThan(3)
		expect(load(250, 60)).toBe(5)
	})
})

describe("LoadBudget", () => {
	it(`limits the rate and the loads in flight (seed ${seed})`, () => {
		const gaps = fc.array(fc.nat(400), {minLength: 50, maxLength: 200})
		const property = fc.property(gaps, steps => {
			const share = {loadsPerSecond: 2, inFlight: 2}
			const budget = new LoadBudget({share, loadMs: 250})
			let now = 0
			let started = 0
			const endsAt: number[] = []
			for (const gap of steps) {
				now += gap
				while ((endsAt[0] ?? Infinity) <= now) {
					endsAt.shift()
					budget.end()
				}
				if (!budget.canStart(now)) continue
				budget.start(now)
				endsAt.push(now + 900)
				started += 1
				expect(endsAt.length).toBeLessThanOrEqual(2)
			}
			expect(started).toBeLessThanOrEqual(2 + (2 * now) / 1000 + 1e-3)
		})
		fc.assert(property, {seed})
	})

	it("spaces loads when its share is below one load in flight", () => {
		const share = {loadsPerSecond: 100, inFlight: 0.5}
		const budget = new LoadBudget({share, loadMs: 250})
		budget.start(0)
		budget.end()
		expect(budget.canStart(499)).toBe(false)
		expect(budget.canStart(500)).toBe(true)
	})
})

describe("RetryBudget", () => {
	it("limits retries to its ratio of the requests", () => {
		const budget = new RetryBudget({ratio: 0.1, minPerSecond: 1})
		let retries = 0
		for (let now = 0; now < 10_000; now += 10) {
			budget.addRequest(now)
			if (budget.tryRetry(now)) retries += 1
		}
		expect(retries).toBeGreaterThan(100)
		expect(retries).toBeLessThanOrEqual(1000 * 0.1 + 10 + 1)
	})

	it("accumulates the retries of at most one second without requests", () => {
		const budget = new RetryBudget({ratio: 0.1, minPerSecond: 2})
		expect(budget.getAvailable(3_600_000)).toBe(2)
		expect([1, 2, 3].map(() => budget.tryRetry(3_600_000))).toEqual([
			true,
			true,
			false
		])
	})
})

describe("getCoalescingKey", () => {
	const call = {
		member: "m",
		route: "status",
		method: "GET",
		path: "/orders/1?full=1",
		bodyLength: 0
	}

	it("returns the same key only for identical reads of one Member", () => {
		const key = getCoalescingKey(call)
		expect(getCoalescingKey({...call, method: "get"})).toBe(key)
		expect(getCoalescingKey({...call, member: "n"})).not.toBe(key)
		expect(getCoalescingKey({...call, path: "/orders/1"})).not.toBe(key)
	})

	it("returns undefined for writes and calls with a body", () => {
		expect(getCoalescingKey({...call, method: "POST"})).toBeUndefined()
		expect(getCoalescingKey({...call, bodyLength: 1})).toBeUndefined()
	})
})

describe("DrainRate", () => {
	it("computes the retry delay of a refused caller from the drain rate", () => {
		const rate = new DrainRate()
		for (let now = 0; now <= 60_000; now += 100) rate.add(now)
		expect(rate.getPerSecond(60_000)).toBeCloseTo(10, 0)
		expect(rate.getRetryAfterMs(50, 60_000)).toBeGreaterThan(4500)
		expect(rate.getRetryAfterMs(50, 60_000)).toBeLessThan(5500)
	})
})
