import {describe, expect, it} from "vitest"
import {GrantScheduler} from "../grantScheduler.js"
import {
	type GrantDecision,
	GrantDecisionKind,
	GrantRefusalReason
} from "../types.js"
import {createReport, createRequest, limits} from "./fixtures.js"

const small = {parts: [], promptTokens: 10}

function createScheduler(perSecond?: number): GrantScheduler {
	const scheduler = new GrantScheduler({random: () => 0})
	scheduler.setLimits(limits)
	const report = createReport(["a1"], {requestsPerSecond: perSecond})
	scheduler.applyReport(report, 0)
	return scheduler
}

function listRefused(decisions: readonly GrantDecision[]): GrantDecision[] {
	return decisions.filter(({kind}) => kind === GrantDecisionKind.Refuse)
}

/** Requests of `owners` gateways every 5 ms; returns the times of the grants. */
function driveLoad(
	scheduler: GrantScheduler,
	owners: number,
	fromMs: number,
	toMs: number
): number[] {
	const grantedAt: number[] = []
	for (let now = fromMs; now < toMs; now += 5) {
		const owner = `g${(now / 5) % owners}`
		const request = createRequest(`${owner}/${now}`, now, {...small, owner})
		const decisions = scheduler.submit(request, now)
		if (now % 50 === 0) decisions.push(...scheduler.schedule(now))
		for (const {kind, request: decided} of decisions) {
			if (kind !== GrantDecisionKind.Grant) continue
			grantedAt.push(now)
			scheduler.markStarted(decided.key, now)
			scheduler.markEnded(decided.key, now)
		}
	}
	return grantedAt
}

describe("an engine that states a limit", () => {
	it.each([4, 360])("is granted no more to %i gateways", gateways => {
		const grantedAt = driveLoad(createScheduler(3), gateways, 0, 12_000)
		for (const start of grantedAt) {
			const within = grantedAt.filter(at => at >= start && at < start + 4000)
			expect(within.length).toBeLessThanOrEqual(3 * 4.1 + 1)
		}
		expect(grantedAt.length).toBeGreaterThanOrEqual(3 * 11)
	})

	it("is granted at the lower of what reports and answers say", () => {
		const scheduler = createScheduler(10)
		scheduler.setRequestLimit(1, 0)
		expect(driveLoad(scheduler, 4, 0, 4000).length).toBeLessThanOrEqual(5)
		scheduler.setRequestLimit(undefined, 4000)
		const grantedAt = driveLoad(scheduler, 4, 4000, 8000)
		expect(grantedAt.length).toBeGreaterThan(30)
		expect(grantedAt.length).toBeLessThanOrEqual(42)
	})

	it("refuses at once what would wait too long, with turns to return", () => {
		const scheduler = createScheduler(2)
		const refused = [1, 2, 3, 4, 5, 6, 7, 8].flatMap(n =>
			listRefused(
				scheduler.submit(
					createRequest(`r${n}`, 0, {...small, startBy: 1500}),
					0
				)
			)
		)
		expect(refused.length).toBeGreaterThan(3)
		const returns = refused.map(decision =>
			decision.kind === GrantDecisionKind.Refuse ? decision.retryAfterMs : 0
		)
		expect(new Set(returns).size).toBe(refused.length)
		expect(refused[0]).toMatchObject({reason: GrantRefusalReason.Limit})
	})

	it("refuses what waits already when it states a limit", () => {
		const scheduler = createScheduler()
		for (let n = 0; n < 20; n += 1)
			scheduler.submit(createRequest(`r${n}`, 0), 0)
		const {waitingCount} = scheduler
		expect(waitingCount).toBeGreaterThan(10)
		const refused = listRefused(scheduler.setRequestLimit(1, 10))
		expect(refused.length).toBeGreaterThan(waitingCount - 3)
	})

	it("is chosen by gateways for the wait that its limit means", () => {
		const scheduler = createScheduler(0.5)
		expect(scheduler.getView(0).waitMs).toBeGreaterThan(1500)
	})

	it("has none any more once it has restarted", () => {
		const scheduler = createScheduler()
		scheduler.setRequestLimit(1, 0)
		scheduler.applyReport(createReport(["a1"], {bornAt: 2}), 100)
		expect(driveLoad(scheduler, 4, 100, 1100).length).toBeGreaterThan(100)
	})
})
