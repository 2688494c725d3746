import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {OutageType, noFaults} from "../../../../bench/claims/fakePlatform.js"
import {noServiceFaults} from "../../../../bench/claims/fakeService.js"
import {Way} from "../../../../bench/claims/fleet.js"
import {World, type WorldOptions} from "../../../../bench/claims/world.js"
import {ClaimResultType} from "../../../policy/claimTypes.js"

const fractionUpTo = (max: number): fc.Arbitrary<number> =>
	fc.integer({min: 0, max: 100}).map(percent => (percent / 100) * max)

const span = fc.record({
	fromMs: fc.integer({min: 0, max: 9_000}),
	forMs: fc.integer({min: 50, max: 8_000})
})

const processFault = fc.record({
	span,
	host: fc.integer({min: 1, max: 3}),
	isPause: fc.boolean()
})

const scenario = fc.record({
	seed: fc.integer({min: 1, max: 2 ** 30}),
	platform: fc.record({
		lost: fractionUpTo(0.3),
		delayed: fractionUpTo(0.3),
		delayMs: fc.constantFrom(100, 2_000, 8_000),
		refused: fractionUpTo(0.2),
		readFailed: fractionUpTo(0.2),
		stale: fractionUpTo(0.5)
	}),
	service: fc.record({
		refused: fractionUpTo(0.2),
		lost: fractionUpTo(0.2),
		vanished: fractionUpTo(0.2)
	}),
	outages: fc.array(
		fc.record({span, type: fc.constantFrom(...Object.values(OutageType))}),
		{maxLength: 2}
	),
	processFaults: fc.array(processFault, {maxLength: 4})
})

type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never

const faultsEndMs = 20_000

async function runScenario(
	drawn: Scenario,
	options: Omit<WorldOptions, "seed">
): Promise<World> {
	const world = new World({
		seed: drawn.seed,
		hosts: 3,
		entries: 3,
		buckets: 2,
		impatient: 0.4,
		windowMs: 15_000,
		...options
	})
	world.platform.faults = drawn.platform
	world.service.faults = drawn.service
	for (const {
		span: {fromMs, forMs},
		type
	} of drawn.outages) {
		world.addOutage(type, fromMs, forMs)
	}
	for (const {
		span: {fromMs, forMs},
		host,
		isPause
	} of drawn.processFaults) {
		if (isPause) world.addPause(`host-${host}`, fromMs, forMs)
		else world.addRestart(`host-${host}`, fromMs, forMs)
	}
	world.bookAtRate(4, 0, 10_000)
	await world.run(faultsEndMs)
	world.platform.faults = noFaults
	world.platform.outage = undefined
	world.service.faults = noServiceFaults
	await world.run(15_000)
	return world
}

function expectNoViolations(world: World): void {
	const {doubled, falselyNotRun, wrongAnswers} = world.count()
	expect({doubled, falselyNotRun, wrongAnswers}).toEqual({
		doubled: 0,
		falselyNotRun: 0,
		wrongAnswers: 0
	})
}

async function expectFreshKeysAnswered(world: World): Promise<void> {
	const fresh = Array.from({length: 6}, (_, index) =>
		world.book(`fresh-${index}`)
	)
	await world.run(16_000)
	for (const {results} of fresh) {
		expect(results.at(-1)?.result.type).toBe(ClaimResultType.Answered)
	}
}

const seed = Number(process.env.FAULT_SEED ?? 20_261_205)
const numRuns = Number(process.env.FAULT_RUNS ?? 60)

/**
 * Draws these faults from a seed: restarts and pauses of hosts; platform
 * outages; writes that are refused, land late or lose their answer; reads that
 * fail or return stale data; service calls that are refused, never arrive or
 * lose their answer. The checks run on a virtual clock and compare the callers'
 * results with what the service really ran.
 */
describe("under random faults", () => {
	const settings = [
		{name: "claims", way: Way.Claims, claims: {}},
		{
			name: "claims moved to segments",
			way: Way.Claims,
			claims: {maxHeadChars: 600, mergeCount: 3}
		},
		{name: "tickets", way: Way.Tickets, claims: {}}
	]
	for (const {name, way, claims} of settings) {
		it(`runs each booking at most once with ${name} (seed ${seed})`, async () => {
			const property = fc.asyncProperty(scenario, async drawn => {
				const world = await runScenario(drawn, {way, claims})
				expectNoViolations(world)
				await expectFreshKeysAnswered(world)
				expectNoViolations(world)
			})
			await fc.assert(property, {seed, numRuns, endOnFailure: true})
		})
	}

	it(`detects doubled bookings when claims are off (seed ${seed})`, async () => {
		let doubled = 0
		const property = fc.asyncProperty(scenario, async drawn => {
			const world = await runScenario(drawn, {way: Way.HomeOnly})
			doubled += world.count().doubled
		})
		await fc.assert(property, {seed, numRuns: 25})
		expect(doubled).toBeGreaterThan(0)
	})
})
