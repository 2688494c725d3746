import {describe, expect, it} from "vitest"
import {GrantDecisionKind, GrantScheduler} from "../index.js"
import {PrefillRate} from "../prefillRate.js"
import {noWork, RemainingWork} from "../remainingWork.js"
import {createReport, createRequest, limits} from "./fixtures.js"

const none = {running: 0, reservedTokens: 0}

/** Work of an engine that takes 10 ms for a token. */
function createWork(): RemainingWork {
	const work = new RemainingWork()
	work.add(createRequest("first", 0, {expectedOutputTokens: 100}))
	work.start("first", 0)
	work.end("first", 1000, true)
	return work
}

describe("RemainingWork", () => {
	// Failure: engines without predicted requests are rated in another way.
	it("states nothing while no output was predicted", () => {
		const work = new RemainingWork()
		work.add(createRequest("r1", 0))
		work.start("r1", 0)
		work.end("r1", 500, true)
		expect(work.getView(limits, [], none, 600)).toEqual(noWork)
	})

	it("adds up what granted answers still have, by their predictions", () => {
		const work = createWork()
		const options = {expectedOutputTokens: 50, outputTokens: 400}
		work.add(createRequest("r1", 0, options))
		work.add(createRequest("r2", 0, options))
		work.start("r2", 0)
		const {decodeMs, tokenMs} = work.getView(limits, [], none, 200)
		expect(tokenMs).toBe(10)
		expect(decodeMs).toBe(500 + 300)
	})

	// Load: an answer that runs for four times the predicted length. Failure: an engine
	// full of long answers counts as nearly free.
	it("expects more of an answer that runs longer than predicted", () => {
		const work = createWork()
		const options = {expectedOutputTokens: 50, outputTokens: 400}
		work.add(createRequest("r1", 0, options))
		work.start("r1", 0)
		const left = [400, 1000, 2000].map(
			now => work.getView(limits, [], none, now).decodeMs
		)
		expect(left[1]).toBeGreaterThan(left[0] ?? 0)
		expect(left[2]).toBeGreaterThan(left[1] ?? 0)
		expect(work.getView(limits, [], none, 3950).decodeMs).toBeLessThan(100)
	})

	it("states memory and seats that nothing claims, and how fast memory is freed", () => {
		const work = createWork()
		const options = {expectedOutputTokens: 50, outputTokens: 400}
		work.add(createRequest("r1", 0, options))
		const waiting = [createRequest("w1", 0, {outputTokens: 100})]
		const at = {running: 1, reservedTokens: 2400}
		const view = work.getView(limits, waiting, at, 0)
		expect(view.freeMemoryTokens).toBe(limits.memoryTokens - 2400 - 2100)
		expect(view.freeSeats).toBe(limits.seats - 2)
		expect(view.freedTokensPerMs).toBeCloseTo(2050 / 500)
	})

	it("is part of the scheduler's view, and is forgotten when the engine restarts", () => {
		const scheduler = new GrantScheduler({random: () => 0})
		scheduler.setLimits(limits)
		scheduler.applyReport(createReport(["a1"]), 0)
		for (const key of ["r1", "r2"]) {
			const request = createRequest(key, 0, {expectedOutputTokens: 20})
			const [decision] = scheduler.submit(request, 0)
			expect(decision?.kind).toBe(GrantDecisionKind.Grant)
			scheduler.markStarted(key, 100)
		}
		scheduler.markEnded("r1", 300)
		expect(scheduler.getView(300).work?.tokenMs).toBe(10)
		expect(scheduler.getView(300).work?.decodeMs).toBeGreaterThan(0)
		scheduler.applyReport(createReport(["a1"], {bornAt: 2}), 310)
		expect(scheduler.getView(310).work?.decodeMs).toBe(0)
	})
})

/** Reads prompts of 2,000 tokens one after the other, two of them pending at a time. */
function read(
	rate: PrefillRate,
	{from, count, msPerPrompt}: {from: number; count: number; msPerPrompt: number}
): number {
	rate.addGrant(from, 2000)
	for (let n = 0; n < count; n++) {
		rate.addGrant(from + n * msPerPrompt, 2000)
		rate.addPrefilled(2000, from + (n + 1) * msPerPrompt)
	}
	const end = from + (count + 1) * msPerPrompt
	rate.addPrefilled(2000, end)
	return end
}

describe("the prefill rate where engines differ", () => {
	// Load: an engine at 0.7 after a restart. Failure: it is taken for one of usual
	// speed for a second and gets more than it can read.
	it("starts from the lasting rate after a restart", () => {
		const rate = new PrefillRate()
		rate.followClosely()
		read(rate, {from: 0, count: 60, msPerPrompt: 100 / 0.7})
		rate.reset()
		expect(rate.tokensPerMs).toBeGreaterThan(12)
		expect(rate.tokensPerMs).toBeLessThan(16)
	})

	// Load: the pace of an engine doubles while it reads. Failure: the slow engine is
	// found out a second later.
	it("falls within half a second of an engine that slows down", () => {
		const rate = new PrefillRate()
		rate.followClosely()
		const slowAt = read(rate, {from: 0, count: 20, msPerPrompt: 100})
		expect(rate.tokensPerMs).toBeGreaterThan(17)
		for (let now = slowAt; now < slowAt + 500; now += 250) {
			rate.addGrant(now, 2000)
			rate.update(now + 200)
			rate.addPrefilled(2000, now + 250)
		}
		expect(rate.tokensPerMs).toBeLessThan(14)
	})

	it("keeps the lasting rate through a slow second", () => {
		const rate = new PrefillRate()
		rate.followClosely()
		const slowAt = read(rate, {from: 0, count: 200, msPerPrompt: 100})
		const before = rate.lastingTokensPerMs
		const end = read(rate, {from: slowAt, count: 4, msPerPrompt: 250})
		expect(rate.lastingTokensPerMs).toBeGreaterThan(before * 0.85)
		read(rate, {from: end, count: 20, msPerPrompt: 100})
		expect(rate.tokensPerMs).toBeGreaterThan(15)
	})

	it("neither falls early nor keeps a lasting rate without predictions", () => {
		const rate = new PrefillRate()
		rate.addGrant(0, 2000)
		rate.update(5000)
		expect(rate.tokensPerMs).toBe(20)
		rate.addPrefilled(2000, 5000)
		rate.reset()
		expect(rate.tokensPerMs).toBe(20)
	})
})
