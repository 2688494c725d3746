import {describe, expect, it} from "vitest"
import {
	type Call,
	type CallResult,
	createRandom,
	EngineModel,
	modelDefaults,
	type ModelOptions
} from "./engineModel.js"
import {createCalls, kinds, type LoadOptions} from "./overloadLoads.js"

const untilMs = 20_000
const seeds = [1, 2, 3, 4, 5]
/** For comparisons of several orders, which take longer. */
const fewSeeds = seeds.slice(0, 2)

function run(
	calls: readonly Call[],
	seed: number,
	options: Partial<ModelOptions> = {}
): CallResult[] {
	const model = new EngineModel(
		{...modelDefaults, ...options},
		createRandom(seed)
	)
	return model.run(calls, untilMs + 10_000)
}

function runSeeds(
	load: LoadOptions,
	options: Partial<ModelOptions> = {},
	keeps: (call: Call) => boolean = () => true,
	from: readonly number[] = seeds
): CallResult[] {
	return from.flatMap(seed =>
		run(createCalls(load, createRandom(seed)).filter(keeps), seed, options)
	)
}

function getServedPart(results: readonly CallResult[]): number {
	const served = results.filter(({startedAt}) => startedAt !== undefined)
	return served.length / results.length
}

function getInTimePart(results: readonly CallResult[]): number {
	return results.filter(({isInTime}) => isInTime).length / results.length
}

function ofKind(results: readonly CallResult[], kind: string): CallResult[] {
	return results.filter(({call}) => call.kind === kind)
}

/** What callers need of the kinds, see section 4 of docs/design/hard-load.md. */
function expectKindsInOrder(results: readonly CallResult[]): void {
	const parts = kinds.map(({name}) => ({
		served: getServedPart(ofKind(results, name)),
		worth: getInTimePart(ofKind(results, name))
	}))
	for (const [index, urgent] of parts.entries()) {
		for (const other of parts.slice(index + 1)) {
			expect(urgent.served).toBeGreaterThanOrEqual(other.served - 0.05)
			expect(urgent.worth).toBeGreaterThanOrEqual(other.worth - 0.15)
		}
		expect(urgent.served).toBeGreaterThanOrEqual(getServedPart(results) / 4)
	}
}

/** One Member at six times its usual, then a burst of the long cheap kind, then of
 * the short dear kind. */
const tripleBurst: LoadOptions = {
	perSecond: 22,
	untilMs,
	getFactor: (member, {priority}, at) => {
		const memberFactor = member === 3 && at > 4000 && at < 9000 ? 6 : 1
		const isLongBurst = priority === 2 && at > 9000 && at < 12_000
		const isShortBurst = priority === 0 && at > 13_000 && at < 16_000
		return memberFactor * (isLongBurst ? 4 : isShortBurst ? 1.5 : 1)
	},
	getQuotaUse: (member, at) =>
		member === 3 && at > 4000 && at < 9000 ? 105 : 55
}

describe("kinds of requests at an overloaded engine", () => {
	it("serves no kind less often than a less urgent one, and starves none", () => {
		// Guards against urgent callers paying for the others: tax office, scale-1.
		expectKindsInOrder(runSeeds(tripleBurst))
	})

	it("serves about as much as today's order, and more in time than FIFO", () => {
		// Guards against a fairness that leaves the engine idle.
		const compare = (options: Partial<ModelOptions>): CallResult[] =>
			runSeeds(tripleBurst, options, undefined, fewSeeds)
		const fair = compare({})
		const today = compare({hasMembers: false})
		const fifo = compare({hasMembers: false, isFifo: true})
		expect(getServedPart(fair)).toBeGreaterThan(getServedPart(today) - 0.05)
		expect(getInTimePart(fair)).toBeGreaterThan(getInTimePart(fifo))
		// With full knowledge, the engine prefills all the time until the last request
		// of any kind can begin.
		const longestWaitMs = Math.max(...kinds.map(kind => kind.objectiveMs)) * 5
		const perMs = modelDefaults.tokensPerMs / 1800
		const most = (untilMs + longestWaitMs) * perMs * fewSeeds.length
		expect(getServedPart(fair)).toBeLessThanOrEqual(most / fair.length)
	})

	it("keeps the order of kinds on an engine that is three times slower", () => {
		// Guards against estimates that hold only for an engine of the usual speed.
		const {tokensPerMs, msPerToken} = modelDefaults
		const load = {...tripleBurst, perSecond: 7}
		const slow = {tokensPerMs: tokensPerMs / 3, msPerToken: msPerToken * 2}
		expectKindsInOrder(runSeeds(load, slow))
	})
})

describe("Members at an overloaded engine", () => {
	it("keeps a Member within its share apart from one at six times its usual", () => {
		// Guards against a Member that gets six times as much when it sends that.
		const load: LoadOptions = {
			perSecond: 6,
			untilMs,
			getFactor: (member, _kind, at) =>
				member === 1 && at > 4000 && at < 9000 ? 6 : 1,
			getQuotaUse: (member, at) =>
				member === 1 && at > 4000 && at < 9000 ? 105 : 55
		}
		const isOther = ({member}: Call): boolean => member !== "m1"
		const alone = runSeeds(load, {}, isOther)
		const together = runSeeds(load).filter(({call}) => isOther(call))
		const lost = getServedPart(alone) - getServedPart(together)
		expect(lost).toBeLessThanOrEqual(0.05)
		const lostInTime = getInTimePart(alone) - getInTimePart(together)
		expect(lostInTime).toBeLessThanOrEqual(0.05)
	})

	it("serves a tiny Member beside a huge one as if it were alone", () => {
		// Guards against a queue full of one Member's requests.
		const load: LoadOptions = {
			perSecond: 30,
			untilMs,
			members: 2,
			getFactor: member => (member === 0 ? 1 : 0.04),
			getQuotaUse: member => (member === 0 ? 105 : 55)
		}
		const isTiny = ({member}: Call): boolean => member === "m1"
		const alone = runSeeds(load, {}, isTiny)
		const together = runSeeds(load).filter(({call}) => isTiny(call))
		const lost = getServedPart(alone) - getServedPart(together)
		expect(lost).toBeLessThanOrEqual(0.05)
	})

	it("gives the whole engine to a Member that is alone", () => {
		// Guards against shares that are set aside for Members without requests.
		const load: LoadOptions = {perSecond: 22, untilMs, members: 1}
		const fair = runSeeds(load)
		const today = runSeeds(load, {hasMembers: false})
		expect(getServedPart(fair)).toBeGreaterThan(getServedPart(today) - 0.05)
	})

	it("ranks a Member later that uses more of its quota over the fleet", () => {
		// Guards against shares that count only the requests at one engine.
		const load: LoadOptions = {
			perSecond: 16,
			untilMs,
			getQuotaUse: member => (member === 4 ? 180 : 55)
		}
		const results = runSeeds(load)
		const ofMember = (name: string): CallResult[] =>
			results.filter(({call}) => call.member === name)
		expect(getServedPart(ofMember("m4"))).toBeLessThan(
			getServedPart(results.filter(({call}) => call.member !== "m4"))
		)
		expect(getServedPart(ofMember("m4"))).toBeGreaterThanOrEqual(
			getServedPart(results) / 4
		)
	})
})

describe("callers that are refused", () => {
	it("return one after the other, at the rate at which the engine serves", () => {
		// Guards against refused callers who return all at once and are refused again.
		const [first] = createCalls({perSecond: 10, untilMs}, createRandom(1))
		if (first === undefined) throw new Error("no call")
		const steady = createCalls({perSecond: 6, untilMs: 6000}, createRandom(2))
		const crowd = Array.from({length: 120}, (_, index) => ({
			...first,
			at: 6000,
			member: `m${index % 16}`
		}))
		const results = run([...steady, ...crowd], 1, {maxReturns: 0})
		const returnsAt = results
			.filter(({call}) => call.at === 6000)
			.flatMap(({refusals}) => refusals.map(r => r.at + r.retryAfterMs))
		expect(returnsAt.length).toBeGreaterThan(60)
		expect(new Set(returnsAt).size).toBe(returnsAt.length)
		// The engine serves 10.7 a second at most; twice that is still not a crowd.
		for (const at of returnsAt) {
			const within = returnsAt.filter(other => other >= at && other < at + 1000)
			expect(within.length).toBeLessThanOrEqual(22)
		}
	})
})
