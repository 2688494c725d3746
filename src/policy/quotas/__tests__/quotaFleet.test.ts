import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {
	findBusiest,
	type FleetGateway,
	getBound,
	QuotaFleet
} from "../../../../bench/quotas/quotaFleet.js"
import {createRandom} from "../../../../bench/policy/random.js"
import {VirtualClock} from "../../../../bench/policy/virtualClock.js"
import type {QuotaTerms} from "../index.js"

const bounds = {windowMs: 8000, overage: 0.1, slack: 17_000}
const gatewayCount = 21
const small: QuotaTerms = {
	version: 1,
	perSecond: 4200,
	burst: 8400,
	countsRequests: false
}

interface Course {
	clock: VirtualClock
	fleet: QuotaFleet
	gateways: FleetGateway[]
	random: () => number
	/** Requests that were offered, as far as they matter to the test. */
	served: number
	refused: number
	unavailable: number
	/** Quota in force, which gateways state. */
	terms: QuotaTerms
	perSecond: number
	/** Share of its load that each gateway gets; they add up to 1. */
	weights: number[]
	maxWaitMs: number
	/** If set, requests wait for the next multiple of it, so that they go together. */
	bunchMs: number
	/** Cost of a request as a share of the usual one. */
	drawTokens: () => number
	lossShare: number
}

function createCourse(seed: number, terms = small): Course {
	const clock = new VirtualClock()
	const random = createRandom(seed)
	const fleet = new QuotaFleet({clock, random, bounds, agents: 6, domains: 3})
	const gateways = Array.from({length: gatewayCount}, (_, n) =>
		fleet.createGateway(n)
	)
	const weights = gateways.map((_, n) => 1 / (n + 1) ** 1.2)
	return {
		clock,
		fleet,
		gateways,
		random,
		served: 0,
		refused: 0,
		unavailable: 0,
		terms,
		perSecond: terms.perSecond,
		weights,
		maxWaitMs: 300,
		bunchMs: 0,
		drawTokens: () => 2400,
		lossShare: 0
	}
}

/** Requests that arrive at random times, at `perSecond` tokens a second. */
function offerLoad(
	course: Course,
	member: string,
	until: number,
	onOffered?: () => void
): void {
	const {clock, random} = course
	const tokens = course.drawTokens()
	const gapMs = (-Math.log(1 - random()) * tokens * 1000) / course.perSecond
	clock.schedule(clock.now + gapMs, () => {
		if (clock.now > until) return
		offer(course, member, tokens)
		onOffered?.()
		offerLoad(course, member, until, onOffered)
	})
}

function offer(course: Course, member: string, tokens: number): void {
	const {random, gateways, weights, terms} = course
	const total = weights.reduce((sum, weight) => sum + weight, 0)
	let left = random() * total
	const index = weights.findIndex(weight => (left -= weight) < 0)
	const gateway = gateways[index]
	if (gateway?.isAlive !== true) return
	const result = gateway.serve({
		member,
		tokens,
		terms,
		waitMs: drawWait(course),
		isReturned: random() < course.lossShare,
		reportMs:
			random() < course.lossShare ? undefined : random() * course.maxWaitMs
	})
	if (result.amount !== undefined) course.served += tokens
	else if (result.refusals >= 2) course.refused += tokens
	else course.unavailable += tokens
}

/** Gateways find the holders of the parts before the first request. */
function warmUp({clock, gateways}: Course): void {
	for (let at = 0; at < 500; at += 100) {
		for (const gateway of gateways) gateway.search()
		clock.run(clock.now + 100)
	}
}

/**
 * Follows one bucket for the whole quota, from which all is taken that is served.
 * `isRefusedWithin` says whether the last request was refused though it held enough.
 */
function trackWhole(course: Course): {isRefusedWithin: () => boolean} {
	const {perSecond, burst} = course.terms
	let level = burst
	let filledAt = 0
	let served = 0
	let rejected = 0
	return {
		isRefusedWithin: () => {
			const {now} = course.clock
			level = Math.min(burst, level + ((now - filledAt) * perSecond) / 1000)
			filledAt = now
			const cost = course.refused + course.unavailable - rejected
			const isWithin = cost > 0 && level >= Math.min(cost, burst)
			level -= course.served - served
			served = course.served
			rejected += cost
			return isWithin
		}
	}
}

function drawWait({clock, random, maxWaitMs, bunchMs}: Course): number {
	if (bunchMs === 0) return random() * maxWaitMs
	return bunchMs - (clock.now % bunchMs)
}

/** What reached endpoints of a Member, from a time on, in tokens a second. */
function measureRate(
	{fleet}: Course,
	member: string,
	from: number,
	until: number
): number {
	const sum = fleet.sent
		.filter(one => one.member === member && one.at >= from && one.at < until)
		.reduce((total, {amount}) => total + amount, 0)
	return (sum * 1000) / (until - from)
}

interface Move {
	event: string
	target: number
	ms: number
}

function applyMove(course: Course, {event, target, ms}: Move): void {
	const {fleet, clock, gateways} = course
	const n = target % fleet.agents.length
	const agent = fleet.agents[n]
	if (agent === undefined) return
	if (event === "kill") fleet.kill(n)
	else if (event === "restart") fleet.restart(n)
	else if (event === "restartAll")
		for (const index of fleet.agents.keys()) fleet.restart(index)
	else if (event === "freeze") agent.frozenUntil = clock.now + ms * 3
	else if (event === "away") fleet.store.isAway = true
	else if (event === "back") fleet.store.isAway = false
	else if (event === "lose") agent.losesAnswers = !agent.losesAnswers
	else if (event === "copy") fleet.store.saveCopy()
	else if (event === "return") fleet.store.returnToCopy()
	else if (event === "cut") fleet.cut(target % 3)
	else if (event === "heal") fleet.cut(undefined)
	else if (event === "killGateway") {
		const gateway = gateways[target % gateways.length]
		if (gateway !== undefined) gateway.isAlive = false
	} else if (event === "hot") course.perSecond = course.terms.perSecond * 6
	else if (event === "usual") course.perSecond = course.terms.perSecond * 0.55
}

const events = [
	"kill",
	"restart",
	"restart",
	"restartAll",
	"freeze",
	"freeze",
	"away",
	"back",
	"lose",
	"copy",
	"return",
	"cut",
	"heal",
	"killGateway",
	"hot",
	"usual"
]

/** All holders are replaced while a Member uses all that it gets. */
const allReplaced: Move[] = [
	{event: "hot", target: 0, ms: 4000},
	{event: "restartAll", target: 0, ms: 4000},
	{event: "restartAll", target: 0, ms: 2000}
]
const calm: Move[] = Array.from({length: 8}, () => {
	return {event: "hot", target: 0, ms: 4000}
})

describe("the quota of a Member", () => {
	it("is never exceeded, whatever fails or is late", () => {
		const move: fc.Arbitrary<Move> = fc.record({
			event: fc.constantFrom(...events),
			target: fc.nat({max: 20}),
			ms: fc.integer({min: 1, max: 4000})
		})
		fc.assert(
			fc.property(
				fc.array(move, {maxLength: 25}),
				fc.nat(),
				fc.constantFrom(4200, 42_000),
				fc.constantFrom(0, 1, 2, 5),
				fc.constantFrom(0, 300, 3000),
				fc.constantFrom(0, 0, 7000),
				(moves, seed, perSecond, burst, maxWaitMs, bunchMs) => {
					const terms = {...small, perSecond, burst: perSecond * burst}
					const course = createCourse(seed, terms)
					course.perSecond = perSecond * 6
					course.maxWaitMs = maxWaitMs
					course.bunchMs = bunchMs
					course.lossShare = 0.1
					course.drawTokens = () => 600 + course.random() * 9000
					offerLoad(course, "m", 60_000)
					for (const one of moves) {
						course.clock.run(course.clock.now + one.ms)
						applyMove(course, one)
					}
					course.clock.run(course.clock.now + 8000)
					const busiest = findBusiest(course.fleet.sent, bounds.windowMs)
					expect(busiest).toBeLessThanOrEqual(getBound(terms, bounds))
				}
			),
			{
				numRuns: 200,
				seed: 29,
				examples: [
					[allReplaced, 1, 42_000, 2, 300, 0],
					[allReplaced, 2, 4200, 0, 300, 0],
					[calm, 3, 42_000, 2, 0, 7000]
				]
			}
		)
	})

	it("bounds a Member that sends six times as much, of which little is lost", () => {
		const course = createCourse(1)
		course.perSecond = small.perSecond * 6
		offerLoad(course, "m", 60_000)
		course.clock.run(60_000)
		const rate = measureRate(course, "m", 10_000, 60_000)
		expect(rate).toBeGreaterThan(small.perSecond * 0.95)
		expect(rate).toBeLessThan(small.perSecond * 1.05)
	})

	it("serves a small Member what one bucket for the fleet would, large requests too", () => {
		let offered = 0
		let missed = 0
		for (let seed = 1; seed <= 20; seed += 1) {
			const course = createCourse(seed)
			course.perSecond = small.perSecond * 0.9
			course.drawTokens = () => (course.random() < 0.1 ? 9600 : 2400)
			const whole = trackWhole(course)
			warmUp(course)
			offerLoad(course, "m", 60_000, () => {
				offered += 1
				if (whole.isRefusedWithin()) missed += 1
			})
			course.clock.run(60_000)
		}
		expect(offered).toBeGreaterThan(800)
		expect(missed / offered).toBeLessThan(0.02)
	})

	it("can be used up with a third of the gateways cut off", () => {
		const course = createCourse(4)
		course.perSecond = small.perSecond * 3
		offerLoad(course, "m", 60_000)
		course.clock.run(20_000)
		course.fleet.cut(2)
		course.clock.run(60_000)
		const rate = measureRate(course, "m", 20_000, 60_000)
		expect(rate).toBeGreaterThan(small.perSecond * 0.8)
	})

	it("serves the usual rate while a holder is gone, and all once it was replaced", () => {
		const course = createCourse(5)
		const terms = {...small, perSecond: 42_000, burst: 84_000}
		const large = {...course, terms, perSecond: terms.perSecond * 0.55}
		warmUp(large)
		offerLoad(large, "m", 60_000)
		large.clock.run(20_000)
		const holder = large.fleet.agents.findIndex(agent => agent.isHolder)
		large.fleet.kill(holder)
		large.clock.run(40_000)
		expect(large.unavailable).toBe(0)
		expect(large.refused / large.served).toBeLessThan(0.01)
		large.perSecond = terms.perSecond * 2
		large.clock.run(60_000)
		const rate = measureRate(large, "m", 50_000, 60_000)
		expect(rate).toBeGreaterThan(terms.perSecond * 0.95)
	})

	it("takes effect within the window when it is lowered, and again when raised", () => {
		const course = createCourse(6)
		course.perSecond = small.perSecond * 4
		offerLoad(course, "m", 90_000)
		course.clock.run(20_000)
		course.terms = {...small, version: 2, perSecond: 1400, burst: 2800}
		course.clock.run(50_000)
		const lowered = measureRate(course, "m", 29_000, 50_000)
		expect(lowered).toBeLessThan(1400 * 1.1)
		expect(lowered).toBeGreaterThan(1400 * 0.85)
		course.terms = {...small, version: 3}
		course.clock.run(90_000)
		const raised = measureRate(course, "m", 55_000, 90_000)
		expect(raised).toBeGreaterThan(small.perSecond * 0.9)
		const busiest = findBusiest(course.fleet.sent, bounds.windowMs)
		expect(busiest).toBeLessThanOrEqual(getBound(small, bounds))
	})

	it("is the newest one that any gateway states", () => {
		const course = createCourse(7)
		course.perSecond = small.perSecond * 4
		course.terms = {...small, version: 2, perSecond: 1400, burst: 2800}
		offerLoad(course, "m", 40_000)
		course.clock.run(5000)
		const old = {...small, version: 1}
		for (let at = 5000; at < 40_000; at += 100) {
			course.clock.run(at)
			const newer = course.terms
			course.terms = old
			offer(course, "m", 2400)
			course.terms = newer
		}
		const rate = measureRate(course, "m", 15_000, 40_000)
		expect(rate).toBeLessThan(1400 * 1.1)
	})

	it("is available at once when the holder restarts on its host", () => {
		const course = createCourse(8)
		course.perSecond = small.perSecond * 3
		offerLoad(course, "m", 60_000)
		course.clock.run(20_000)
		for (const n of course.fleet.agents.keys()) course.fleet.restart(n)
		course.clock.run(30_000)
		const rate = measureRate(course, "m", 22_000, 30_000)
		expect(rate).toBeGreaterThan(small.perSecond * 0.75)
	})
})
