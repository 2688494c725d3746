import {describe, expect, it} from "vitest"
import {createRandom} from "../../costs/__tests__/answers.js"
import {
	EngineChoice,
	type EngineQuery,
	type EngineView
} from "../engineChoice.js"
import {type EngineWork, getWorkTerms, noTerms} from "../engineWork.js"
import {HomeWeights} from "../homeWeights.js"

const work: EngineWork = {
	decodeMs: 0,
	tokenMs: 10,
	freeMemoryTokens: 100_000,
	freedTokensPerMs: 0,
	freeSeats: 60,
	running: 0,
	lastingTokensPerMs: 20
}
const withoutWork: EngineView = {
	isUsable: true,
	waitMs: 0,
	tokensPerMs: 20,
	freeSlots: 3,
	slotStepMs: 200
}
const idle: EngineView = {...withoutWork, work}
const engines = ["e1", "e2", "e3"].map(id => ({id, isNear: true}))
const plain: EngineQuery = {
	slotKey: "base/a1",
	hasAdapter: true,
	promptTokens: 2000
}
const query: EngineQuery = {...plain, expectedOutputTokens: 100}

function createChoice(
	views: Record<string, Partial<EngineView>> = {},
	random: () => number = () => 0
): EngineChoice {
	const choice = new EngineChoice({random})
	for (const {id} of engines) choice.applyView(id, {...idle, ...views[id]})
	return choice
}

/** As `createChoice`, with the adapter at all engines. */
function createResident(
	views: Record<string, Partial<EngineView>> = {},
	random?: () => number
): EngineChoice {
	const choice = createChoice(views, random)
	for (const {id} of engines) choice.applyResidency(id, ["base/a1"], [])
	return choice
}

describe("the choice by predicted work", () => {
	// Failure: deployments without hints and paces are served in another way.
	it("is as without it for a request whose output is not predicted", () => {
		const speeds = [14, 34, 14]
		const withWork = new EngineChoice({random: () => 0.9})
		const without = new EngineChoice()
		for (const [index, {id}] of engines.entries()) {
			const lastingTokensPerMs = speeds[index] ?? 1
			const busy = {...work, lastingTokensPerMs, freeSeats: -index, running: 9}
			withWork.applyView(id, {...idle, work: {...busy, decodeMs: 5000}})
			without.applyView(id, withoutWork)
		}
		for (let n = 0; n < 300; n++) {
			const asked = {...plain, slotKey: `base/a${n}`}
			const candidates = engines.map(({id}, index) => ({
				id,
				isNear: index !== n % 3
			}))
			const chosen = withWork.choose(asked, candidates, n)
			expect(chosen).toEqual(without.choose(asked, candidates, n))
			for (const choice of [withWork, without])
				choice.addAsk(chosen?.id ?? "", asked, n)
		}
	})

	// Load: answers of two sizes that look alike. Failure: a request goes to the engine
	// whose memory or seats long answers hold.
	it("avoids an engine whose memory or seats are nearly taken", () => {
		const full = {freedTokensPerMs: 10, running: 20, decodeMs: 20_000}
		for (const taken of [
			{...full, freeMemoryTokens: 100},
			{...full, freeSeats: 0}
		]) {
			const home = createResident().choose(query, engines, 0)?.id ?? ""
			const view = {work: {...work, ...taken}}
			const choice = createResident({[home]: view})
			expect(choice.choose(query, engines, 0)?.id).not.toBe(home)
		}
	})

	it("has a wait for memory that ends as answers do", () => {
		const busy = {...work, freedTokensPerMs: 10, freeMemoryTokens: 1100}
		const demand = {memoryTokens: 2100, outputTokens: 100}
		const pending = {requests: 0, memoryTokens: 0}
		expect(getWorkTerms(busy, demand, pending)).toEqual({
			seatWaitMs: 0,
			memoryWaitMs: 100,
			decodeMs: 1000
		})
		expect(getWorkTerms(undefined, demand, pending)).toEqual(noTerms)
	})

	// Load: engines at 0.7 and 1.7. Failure: the slow engine gets as much as the fast
	// one, or nothing.
	it("gives a slow engine less and not nothing", () => {
		const counts = new Map<string, number>()
		const slow = {tokensPerMs: 14, work: {...work, tokenMs: 14}}
		const fast = {tokensPerMs: 34, work: {...work, tokenMs: 6}}
		const choice = createResident(
			{e1: slow, e2: slow, e3: fast},
			createRandom(1)
		)
		for (let n = 0; n < 400; n++) {
			const id = choice.choose(query, engines, n * 15)?.id ?? ""
			choice.addAsk(id, query, n * 15)
			counts.set(id, (counts.get(id) ?? 0) + 1)
		}
		expect(counts.get("e3")).toBeGreaterThan(counts.get("e1") ?? 0)
		expect(counts.get("e1")).toBeGreaterThan(0)
		expect(counts.get("e2")).toBeGreaterThan(0)
	})

	// Load: an engine becomes fast, and all gateways hear it. Failure: all send there.
	it("spreads gateways over engines whose costs are nearly equal", () => {
		const counts = new Map<string, number>()
		for (let n = 0; n < 100; n++) {
			const choice = createResident({}, createRandom(n + 1))
			const id = choice.choose(query, engines, 0)?.id ?? ""
			counts.set(id, (counts.get(id) ?? 0) + 1)
		}
		expect(counts.size).toBeGreaterThan(1)
		expect(Math.max(...counts.values())).toBeLessThan(95)
	})

	// Load: several requests for a cold adapter within one load. Failure: each gateway
	// brings it to as many engines as it has requests for it.
	it("shares a load that it asked for", () => {
		const choice = createChoice()
		const first = choice.choose(query, engines, 0)?.id ?? ""
		for (let n = 0; n < 6; n++) {
			expect(choice.choose(query, engines, n * 10)?.id).toBe(first)
			choice.addAsk(first, query, n * 10)
			// The agent's answer to the ask has its state.
			choice.applyView(first, {...idle, waitMs: n * 100})
		}
	})

	// Load: waves in three failure domains. Failure: bytes cross for a few ms less, or a
	// queue at home is waited for.
	it("crosses to another domain when the wait at home costs more", () => {
		const home = {id: "e1", isNear: true}
		const away = {id: "e2", isNear: false}
		const choose = (waitMs: number): string | undefined =>
			createResident({e1: {waitMs}}).choose(query, [home, away], 0)?.id
		expect(choose(0)).toBe("e1")
		expect(choose(200)).toBe("e2")
	})
})

describe("HomeWeights", () => {
	it("gives faster engines more homes, in steps that do not move", () => {
		const weights = new HomeWeights()
		for (let n = 0; n < 50; n++) {
			const noise = 1 + 0.1 * Math.sin(n * 1.7)
			weights.setSpeed("slow1", 14 * noise)
			weights.setSpeed("slow2", 14 / noise)
			weights.setSpeed("fast", 34 * noise)
		}
		const before = weights.get("fast")
		expect(before).toBeGreaterThan(weights.get("slow1"))
		for (let n = 0; n < 50; n++) {
			weights.setSpeed("fast", 34 * (1 + 0.1 * Math.sin(n)))
			expect(weights.get("fast")).toBe(before)
		}
	})

	it("leaves engines that are alike, or unknown, at one weight", () => {
		const weights = new HomeWeights()
		for (let n = 0; n < 200; n++)
			weights.setSpeed(`e${n % 5}`, 20 * (1 + 0.15 * Math.sin(n)))
		for (const id of ["e0", "e1", "e2", "e3", "e4", "other"])
			expect(weights.get(id)).toBe(1)
	})
})
