import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {RequestPacer, ReturnSchedule} from "../index.js"

/** Most of the times that lie in any span of `spanMs`. */
function countBusiest(times: readonly number[], spanMs: number): number {
	const counts = times.map(
		start => times.filter(at => at >= start && at < start + spanMs).length
	)
	return Math.max(0, ...counts)
}

describe("a paced endpoint", () => {
	it("gets at most its rate and one request more in any span, whoever asks", () => {
		const asks = fc.array(fc.nat({max: 120}), {maxLength: 400})
		const perSecond = fc.double({min: 0.2, max: 40, noNaN: true})
		fc.assert(
			fc.property(asks, perSecond, fc.nat({max: 300}), (gaps, rate, maxMs) => {
				const pacer = new RequestPacer(rate, 0)
				const sentAt: number[] = []
				let now = 0
				for (const gap of gaps) {
					now += gap
					const waitMs = pacer.take(now, maxMs)
					if (waitMs !== undefined) sentAt.push(now + waitMs)
				}
				const allowed = rate * 4.1 + 1
				expect(countBusiest(sentAt, 4000)).toBeLessThanOrEqual(allowed + 1e-6)
			}),
			{seed: 28}
		)
	})

	it("can be used up to its rate by callers who look every 50 ms", () => {
		const pacer = new RequestPacer(30, 0)
		let sent = 0
		for (let now = 0; now < 10_000; now += 50) {
			while (pacer.take(now) !== undefined) sent += 1
		}
		expect(sent).toBeGreaterThanOrEqual(29 * 10)
		expect(sent).toBeLessThanOrEqual(30 * 10.1 + 1)
	})

	it("gets no more when its rate is stated again with each ask", () => {
		const pacer = new RequestPacer(2, 0)
		const sentAt: number[] = []
		for (let now = 0; now < 10_000; now += 10) {
			pacer.setRate(2)
			const waitMs = pacer.take(now, 300)
			if (waitMs !== undefined) sentAt.push(now + waitMs)
		}
		expect(countBusiest(sentAt, 4000)).toBeLessThanOrEqual(2 * 4.1 + 1)
	})

	it("gets no more at once after it got nothing for long", () => {
		const pacer = new RequestPacer(2, 0)
		let sent = 0
		while (pacer.take(60_000) !== undefined) sent += 1
		expect(sent).toBe(1)
	})

	it("that states another rate is sent the next request by that", () => {
		const pacer = new RequestPacer(1, 0)
		expect(pacer.take(1000)).toBe(0)
		pacer.setRate(2)
		expect(pacer.getWaitMs(1000)).toBe(400)
		pacer.setRate(1)
		expect(pacer.getWaitMs(1000)).toBe(900)
	})
})

describe("refused callers", () => {
	const intervalMs = 500

	it("return one after the other at the rate of the limit", () => {
		const schedule = new ReturnSchedule()
		const refused = {waitMs: 200, intervalMs, deadline: 60_000}
		const returns = Array.from({length: 5}, () => schedule.assign(refused, 0))
		expect(returns).toEqual([200, 700, 1200, 1700, 2200])
	})

	it("that can't be served in time take no turn from those that can", () => {
		const schedule = new ReturnSchedule()
		const late = {waitMs: 200, intervalMs, deadline: 100}
		expect(schedule.assign(late, 0)).toBe(200)
		expect(schedule.assign(late, 0)).toBe(700)
		expect(schedule.assign({...late, deadline: 4000}, 0)).toBe(200)
		expect(schedule.assign({...late, deadline: 4000}, 0)).toBe(700)
	})

	it("are never told to stay away for long", () => {
		const schedule = new ReturnSchedule()
		const refused = {waitMs: 0, intervalMs: 1000, deadline: 100}
		for (let n = 0; n < 500; n += 1) {
			expect(schedule.assign(refused, 0)).toBeLessThanOrEqual(30_000)
		}
	})
})
