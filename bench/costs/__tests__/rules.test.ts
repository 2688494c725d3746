/**
 * Plays the loads of the comparison with the present rule, a simple one and the one
 * that predicts. A difference within two standard errors of the shares in time counts
 * as none.
 */
import {describe, expect, it} from "vitest"
import {
	createHotAdapterLoad,
	createPacesLoad,
	createTwoSizesLoad,
	createWavesLoad
} from "../loads.js"
import {type FleetLoad, type FleetResult, playFleet, Rule} from "../simFleet.js"

const seeds = [1, 2, 3]

interface Played {
	results: FleetResult[]
	/** Share of all requests whose first event met the objective of 1,005 ms. */
	inTime: number
	storeLoads: number
	requests: number
}

function play(create: (seed: number) => FleetLoad, rule: Rule): Played {
	const loads = seeds.map(create)
	const results = loads.map((load, n) => playFleet(load, rule, seeds[n]))
	const requests = loads.reduce((sum, load) => sum + load.requests.length, 0)
	const met = results.reduce(
		(sum, {inTime}, n) => sum + inTime * (loads[n]?.requests.length ?? 0),
		0
	)
	const storeLoads = results.reduce((sum, result) => sum + result.storeLoads, 0)
	return {results, inTime: met / requests, storeLoads, requests}
}

/** Checks the new rule against the present and the simple one; returns both. */
function compare(create: (seed: number) => FleetLoad): {
	present: Played
	predicted: Played
} {
	const present = play(create, Rule.Present)
	const predicted = play(create, Rule.Predicted)
	const simple = play(create, Rule.LeastRequests)
	const {inTime, requests} = present
	const error = Math.sqrt((2 * inTime * (1 - inTime)) / requests)
	expect(predicted.inTime).toBeGreaterThan(present.inTime - 2 * error)
	expect(predicted.inTime).toBeGreaterThan(simple.inTime)
	return {present, predicted}
}

describe("the choice of an engine by predicted work", () => {
	// Load: answers of 24 and of 800 tokens that look alike, with a stated maximum of
	// 3,000. Failure: short answers wait behind the memory of long ones.
	it("is no worse where answers of two sizes look alike", () => {
		compare(createTwoSizesLoad)
	})

	// Load: engines at 0.7, 0.7 and 1.7 whose pace changes every 100 ms. Failure: slow
	// engines get more than they can do, or nothing.
	it("gives slow engines less and not nothing", () => {
		const {predicted} = compare(createPacesLoad)
		for (const {granted} of predicted.results) {
			const [a = 0, b = 0, fastA = 0, c = 0, d = 0, fastB = 0] = granted
			expect(Math.min(...granted)).toBeGreaterThan(0)
			expect((fastA + fastB) / 2).toBeGreaterThan((a + b + c + d) / 4)
		}
	})

	// Load: traffic that swings by 0.55 with a period of 17 s out of step in three
	// failure domains; for 5 s callers of one are in another. Failure: a domain's
	// requests wait at home while engines of others are idle.
	it("is no worse where waves are out of step in three failure domains", () => {
		compare(createWavesLoad)
	})

	// Load: an adapter that three of four requests ask for appears and goes. Failure:
	// its replicas are brought from the store again and again.
	it("does not load replicas of a hot adapter again and again", () => {
		const {present, predicted} = compare(createHotAdapterLoad)
		expect(predicted.storeLoads).toBeLessThan(present.storeLoads * 1.1)
	})
})
