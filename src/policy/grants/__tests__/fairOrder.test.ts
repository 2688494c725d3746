import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {GrantScheduler} from "../grantScheduler.js"
import {
	type GrantDecision,
	GrantDecisionKind,
	GrantRefusalReason,
	type GrantRequest
} from "../types.js"
import {createReport, createRequest, limits} from "./fixtures.js"

function createScheduler(): GrantScheduler {
	const scheduler = new GrantScheduler({random: () => 0})
	scheduler.setLimits(limits)
	scheduler.applyReport(createReport(["a1", "a2"]), 0)
	return scheduler
}

function createMemberRequest(
	key: string,
	now: number,
	options: Partial<GrantRequest> = {}
): GrantRequest {
	return createRequest(key, now, {
		member: "m1",
		memberPriority: 1,
		quotaUse: 50,
		...options
	})
}

function listGranted(decisions: readonly GrantDecision[]): string[] {
	return decisions
		.filter(({kind}) => kind === GrantDecisionKind.Grant)
		.map(({request}) => request.key)
}

describe("FairOrder", () => {
	it("displaces less urgent requests by an arrival, and refuses them at once", () => {
		// Guards against urgent requests refused since others fill the queue.
		const scheduler = createScheduler()
		for (let n = 0; n < 30; n += 1)
			scheduler.submit(createMemberRequest(`low${n}`, 0, {priority: 2}), 0)
		const decisions = scheduler.submit(
			createMemberRequest("urgent", 1, {
				priority: 0,
				parts: [{id: "urgent", tokens: 8000}],
				promptTokens: 8000,
				startBy: 900,
				objectiveAt: 800
			}),
			1
		)
		const refused = decisions.filter(
			decision => decision.kind === GrantDecisionKind.Refuse
		)
		expect(refused.length).toBeGreaterThan(0)
		for (const decision of refused) {
			expect(decision).toMatchObject({
				reason: GrantRefusalReason.Displaced,
				displacedBy: "urgent",
				standing: {member: "m1"}
			})
			expect(decision.retryAfterMs).toBeGreaterThan(0)
		}
	})

	it("orders by the Member's priority before the route's", () => {
		// Guards against routes that outrank the Member's own priority.
		const scheduler = createScheduler()
		scheduler.submit(createMemberRequest("busy", 0), 0)
		const later = {memberPriority: 2, priority: 0}
		scheduler.submit(createMemberRequest("later", 0, later), 0)
		const first = {member: "m2", memberPriority: 0, priority: 3}
		scheduler.submit(createMemberRequest("first", 0, first), 0)
		expect(listGranted(scheduler.markStarted("busy", 100))).toEqual(["first"])
	})

	it("leaves room to more urgent arrivals of the last seconds only", () => {
		// Guards against long answers that fill the engine, and against idle room
		// once no urgent requests arrive any more.
		const long = {priority: 2, outputTokens: 20_000, member: "m2"}
		const fill = (from: number): number => {
			let granted = 0
			for (let n = 0; n < 8; n += 1) {
				const now = from + n * 110
				const key = `long${now}`
				const decisions = scheduler.submit(
					createMemberRequest(key, now, long),
					now
				)
				for (const started of listGranted(decisions)) {
					granted += 1
					scheduler.markStarted(started, now + 105)
				}
			}
			return granted
		}
		const scheduler = createScheduler()
		for (let n = 0; n < 20; n += 1) {
			const now = n * 110
			const key = `u${n}`
			const urgent = {priority: 0, outputTokens: 400}
			scheduler.submit(createMemberRequest(key, now, urgent), now)
			scheduler.markStarted(key, now + 100)
			scheduler.markEnded(key, now + 101)
		}
		const whileArriving = fill(2300)
		const idle = createScheduler()
		const fillIdle = (): number => {
			let granted = 0
			for (let n = 0; n < 8; n += 1) {
				const now = 2300 + n * 110
				const decisions = idle.submit(
					createMemberRequest(`long${now}`, now, long),
					now
				)
				for (const started of listGranted(decisions)) {
					granted += 1
					idle.markStarted(started, now + 105)
				}
			}
			return granted
		}
		expect(whileArriving).toBeLessThan(fillIdle())
	})

	it("goes back to the order by objectives when no Member is named any more", () => {
		// Guards against an order that outlives the Members in the configuration.
		const scheduler = createScheduler()
		scheduler.submit(createMemberRequest("r1", 0), 0)
		scheduler.markStarted("r1", 100)
		scheduler.markEnded("r1", 200)
		scheduler.markDown()
		const fair = scheduler.submit(createMemberRequest("r2", 300), 300)
		expect(fair).toMatchObject([{kind: GrantDecisionKind.Refuse}])
		scheduler.applyReport(createReport(["a1", "a2"]), 70_000)
		scheduler.submit(createRequest("r3", 70_000), 70_000)
		scheduler.markDown()
		const [plain] = scheduler.submit(createRequest("r4", 70_001), 70_001)
		expect(plain).toMatchObject({standing: undefined})
	})

	it("never leaves an idle engine without grants, and answers each request once", () => {
		// Guards against reserves and shares that keep requests waiting for nothing.
		const arrival = fc.record({
			gapMs: fc.integer({min: 0, max: 200}),
			member: fc.integer({min: 0, max: 5}),
			memberPriority: fc.integer({min: 0, max: 2}),
			priority: fc.integer({min: 0, max: 2}),
			quotaUse: fc.integer({min: 0, max: 200}),
			adapter: fc.constantFrom("a1", "a2", ""),
			outputTokens: fc.integer({min: 1, max: 4000})
		})
		fc.assert(
			fc.property(
				fc.array(arrival, {minLength: 1, maxLength: 60}),
				arrivals => {
					const scheduler = createScheduler()
					const decided = new Map<string, number>()
					const running: string[] = []
					const apply = (decisions: readonly GrantDecision[]): void => {
						for (const {request} of decisions)
							decided.set(request.key, (decided.get(request.key) ?? 0) + 1)
						running.push(...listGranted(decisions))
					}
					const expectBusy = (): void => {
						if (scheduler.waitingCount > 0)
							expect(running.length).toBeGreaterThan(0)
					}
					const endFirst = (now: number): void => {
						const key = running.shift()
						if (key === undefined) return
						apply(scheduler.markStarted(key, now))
						apply(scheduler.markEnded(key, now))
						expectBusy()
					}
					let now = 0
					for (const [
						index,
						{gapMs, member, ...options}
					] of arrivals.entries()) {
						now += gapMs
						const request = createMemberRequest(`r${index}`, now, {
							...options,
							member: `m${member}`
						})
						apply(scheduler.submit(request, now))
						expectBusy()
						if (gapMs > 90) endFirst(now)
					}
					for (let n = 0; n < 200 && running.length > 0; n += 1) {
						now += 100
						endFirst(now)
					}
					expect(scheduler.waitingCount).toBe(0)
					expect(decided.size).toBe(arrivals.length)
					expect([...decided.values()].every(count => count === 1)).toBe(true)
				}
			),
			{numRuns: 100, seed: 20261204}
		)
	})

	it("starves no Member that keeps asking", () => {
		// Guards against Members that never get a turn behind the others.
		const member = fc.record({
			perTurn: fc.integer({min: 1, max: 6}),
			memberPriority: fc.integer({min: 0, max: 3}),
			quotaUse: fc.integer({min: 0, max: 110})
		})
		fc.assert(
			fc.property(fc.array(member, {minLength: 2, maxLength: 6}), members => {
				const scheduler = createScheduler()
				const served = members.map(() => 0)
				const running: string[] = []
				const apply = (decisions: readonly GrantDecision[]): void => {
					for (const key of listGranted(decisions)) {
						running.push(key)
						const index = Number(key.split("/")[0])
						served[index] = (served[index] ?? 0) + 1
					}
				}
				for (let turn = 0; turn < 60; turn += 1) {
					const now = turn * 500
					for (const [index, {perTurn, ...options}] of members.entries()) {
						for (let n = 0; n < perTurn; n += 1) {
							const request = createMemberRequest(
								`${index}/${turn}/${n}`,
								now,
								{...options, member: `m${index}`}
							)
							apply(scheduler.submit(request, now))
						}
					}
					for (let step = 1; step <= 5; step += 1) {
						const key = running.shift()
						if (key === undefined) break
						apply(scheduler.markStarted(key, now + step * 100))
						apply(scheduler.markEnded(key, now + step * 100))
					}
				}
				for (const count of served) expect(count).toBeGreaterThan(0)
			}),
			{numRuns: 50, seed: 20261204}
		)
	})
})
