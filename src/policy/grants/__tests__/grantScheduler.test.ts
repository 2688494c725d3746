import {describe, expect, it} from "vitest"
import {GrantScheduler} from "../grantScheduler.js"
import {
	type EngineReport,
	GrantDecisionKind,
	type GrantDecision,
	OrderKind,
	OrderOutcome,
	GrantRefusalReason
} from "../types.js"
import {createReport, createRequest, limits} from "./fixtures.js"

function createScheduler(adapters: readonly string[]): GrantScheduler {
	const scheduler = new GrantScheduler({
		random: () => 0,
		maxPendingPrefillMs: 250
	})
	scheduler.setLimits(limits)
	scheduler.applyReport(createReport(adapters), 0)
	return scheduler
}

function listKeys(
	decisions: readonly GrantDecision[],
	kind: GrantDecisionKind
): string[] {
	return decisions
		.filter(decision => decision.kind === kind)
		.map(s => s.request.key)
}

describe("GrantScheduler", () => {
	it("grants a request at once when its adapter is resident", () => {
		const scheduler = createScheduler(["a1"])
		const decisions = scheduler.submit(createRequest("r1", 0), 0)
		expect(decisions).toMatchObject([
			{kind: GrantDecisionKind.Grant, version: 1}
		])
	})

	it("stops granting at the limit of pending prefill", () => {
		const scheduler = createScheduler(["a1"])
		const granted = [1, 2, 3, 4, 5].flatMap(n =>
			listKeys(
				scheduler.submit(createRequest(`r${n}`, 0), 0),
				GrantDecisionKind.Grant
			)
		)
		expect(granted).toEqual(["r1", "r2"])
		const next = scheduler.markStarted("r1", 100)
		expect(listKeys(next, GrantDecisionKind.Grant)).toEqual(["r3"])
	})

	it("grants queued requests by objective, and late ones last", () => {
		const scheduler = createScheduler(["a1"])
		scheduler.submit(createRequest("busy1", 0), 0)
		scheduler.submit(createRequest("busy2", 0), 0)
		scheduler.submit(createRequest("late", 0, {objectiveAt: 10}), 0)
		scheduler.submit(createRequest("later", 0, {objectiveAt: 900}), 0)
		scheduler.submit(createRequest("sooner", 0, {objectiveAt: 700}), 0)
		const order: string[] = []
		for (const [index, key] of [
			"busy1",
			"busy2",
			"sooner",
			"later"
		].entries()) {
			const decisions = scheduler.markStarted(key, 100 * (index + 1))
			order.push(...listKeys(decisions, GrantDecisionKind.Grant))
		}
		expect(order).toEqual(["sooner", "later", "late"])
	})

	it("grants a more urgent priority before a slightly earlier objective", () => {
		const scheduler = createScheduler(["a1"])
		scheduler.submit(createRequest("busy1", 0), 0)
		scheduler.submit(createRequest("busy2", 0), 0)
		scheduler.submit(createRequest("draft", 0, {objectiveAt: 700}), 0)
		scheduler.submit(createRequest("urgent", 0, {priority: 0}), 0)
		const decisions = scheduler.markStarted("busy1", 100)
		expect(listKeys(decisions, GrantDecisionKind.Grant)).toEqual(["urgent"])
	})

	it("refuses on arrival a request that can't start by its `startBy`", () => {
		const scheduler = createScheduler(["a1"])
		const decisions = Array.from({length: 40}, (_, n) =>
			scheduler.submit(createRequest(`r${n}`, 0), 0)
		).flat()
		const refusals = decisions.filter(s => s.kind === GrantDecisionKind.Refuse)
		// 2,000 tokens at 20 tokens per millisecond: 20 prompts start within 2 s.
		expect(refusals).toHaveLength(20)
		expect(refusals[0]).toMatchObject({reason: GrantRefusalReason.Overloaded})
		expect(refusals.every(decision => decision.retryAfterMs > 0)).toBe(true)
	})

	it("includes the wait for a slot when many rare adapters are requested", () => {
		const scheduler = createScheduler(["a1", "a2"])
		scheduler.submit(createRequest("r1", 0), 0)
		scheduler.submit(createRequest("r2", 0, {adapter: "a2"}), 0)
		const decisions = Array.from({length: 10}, (_, n) =>
			scheduler.submit(createRequest(`x${n}`, 0, {adapter: `b${n}`}), 0)
		).flat()
		// Each of the two slots stays pinned for 800 ms: one is freed every 400 ms.
		expect(
			listKeys(decisions, GrantDecisionKind.Refuse).length
		).toBeGreaterThan(4)
		expect(scheduler.getView(0).freeSlots).toBeLessThan(0)
	})

	it("leaves requests that wait for a slot out of the reported wait", () => {
		const scheduler = createScheduler(["a1", "a2"])
		scheduler.submit(createRequest("r1", 0), 0)
		scheduler.submit(createRequest("r2", 0, {adapter: "a2"}), 0)
		scheduler.markStarted("r1", 100)
		scheduler.markStarted("r2", 200)
		for (const n of [1, 2, 3]) {
			const rare = createRequest(`x${n}`, 200, {adapter: `b${n}`})
			scheduler.submit(rare, 200)
		}
		// Three requests wait for a slot; nothing waits for the resident a1.
		expect(scheduler.getView(200).waitMs).toBe(0)
	})

	it("refuses a queued request once it can't start by its `startBy`", () => {
		const scheduler = createScheduler(["a1", "a2"])
		scheduler.submit(createRequest("r1", 0), 0)
		scheduler.submit(createRequest("r2", 0, {adapter: "a2"}), 0)
		scheduler.submit(createRequest("x", 0, {adapter: "b"}), 0)
		expect(scheduler.schedule(1800)).toEqual([])
		expect(scheduler.schedule(1950)).toMatchObject([
			{kind: GrantDecisionKind.Refuse, reason: GrantRefusalReason.Deadline}
		])
	})

	it("orders the load of the base model when an engine starts empty", () => {
		const scheduler = createScheduler([])
		scheduler.applyReport(createReport([], {bornAt: 2, models: []}), 10)
		expect(scheduler.planOrder(10)).toMatchObject({
			kind: OrderKind.Load,
			model: "base",
			adapter: ""
		})
	})

	it("adds the remaining load of the base model to the expected time", () => {
		const scheduler = createScheduler([])
		scheduler.applyReport(createReport([], {bornAt: 2, models: []}), 0)
		const order = scheduler.planOrder(0)
		if (order !== undefined) scheduler.slots.beginOrder(order)
		scheduler.endOrder(OrderOutcome.Accepted, 0)
		// The load takes 2,000 ms, and the prefill 100 ms.
		const [refused] = scheduler.submit(createRequest("r1", 0), 0)
		expect(refused).toMatchObject({
			kind: GrantDecisionKind.Refuse,
			reason: GrantRefusalReason.Overloaded,
			expectedMs: 2100
		})
		expect(scheduler.submit(createRequest("r2", 500), 500)).toEqual([])
		expect(scheduler.getView(500)).toMatchObject({
			isUsable: true,
			waitMs: 1600
		})
		scheduler.applyReport(createReport(["a1"], {bornAt: 2}), 2000)
		expect(listKeys(scheduler.schedule(2000), GrantDecisionKind.Grant)).toEqual(
			["r2"]
		)
	})

	it("refuses a queued request whose base model is still loading at its `startBy`", () => {
		const scheduler = createScheduler([])
		scheduler.applyReport(createReport([], {bornAt: 2, models: []}), 0)
		const order = scheduler.planOrder(0)
		if (order !== undefined) scheduler.slots.beginOrder(order)
		scheduler.endOrder(OrderOutcome.Accepted, 0)
		scheduler.submit(createRequest("r1", 200), 200)
		// At 1900 the load is expected to end in time; at 2200 it is overdue.
		expect(scheduler.schedule(1900)).toEqual([])
		expect(scheduler.schedule(2200)).toMatchObject([
			{kind: GrantDecisionKind.Refuse, reason: GrantRefusalReason.Deadline}
		])
	})

	it("discards all grants when the engine restarts", () => {
		const scheduler = createScheduler(["a1"])
		scheduler.submit(createRequest("r1", 0), 0)
		expect(scheduler.getView(0).running).toBe(1)
		expect(scheduler.applyReport(createReport([], {bornAt: 2}), 10)).toBe(true)
		expect(scheduler.getView(0).running).toBe(0)
	})

	it("keeps adapters of a lost gateway pinned until a report shows the end", () => {
		const scheduler = createScheduler(["a1", "a2"])
		scheduler.submit(createRequest("r1", 0), 0)
		scheduler.submit(createRequest("r2", 0, {owner: "g2", adapter: "a2"}), 0)
		scheduler.submit(createRequest("r3", 0, {adapter: "b"}), 0)
		scheduler.dropOwner("g2", 1)
		const report = (runIds: string[]): EngineReport =>
			createReport(["a1", "a2"], {running: runIds.length, runIds})
		// The granted request may still be in transit to the engine.
		scheduler.applyReport(report(["r1"]), 2)
		expect(scheduler.planOrder(2)).toBeUndefined()
		// The engine runs it.
		scheduler.applyReport(report(["r1", "r2"]), 700)
		expect(scheduler.planOrder(700)).toBeUndefined()
		expect(scheduler.hasUnconfirmedRuns).toBe(true)
		scheduler.applyReport(report(["r1"]), 750)
		expect(scheduler.planOrder(750)).toMatchObject({
			kind: OrderKind.Unload,
			adapter: "a2"
		})
	})

	it("grants nothing on an adapter whose eviction is unanswered", () => {
		const scheduler = createScheduler(["a1", "a2"])
		scheduler.submit(createRequest("r1", 0), 0)
		scheduler.submit(createRequest("r2", 0, {adapter: "b"}), 0)
		const order = scheduler.planOrder(1)
		expect(order).toMatchObject({kind: OrderKind.Unload, adapter: "a2"})
		if (order !== undefined) scheduler.slots.beginOrder(order)
		const late = createRequest("r3", 2, {adapter: "a2"})
		expect(scheduler.submit(late, 2)).toEqual([])
		scheduler.endOrder(OrderOutcome.Unanswered, 400)
		scheduler.applyReport(createReport(["a1", "a2"]), 401)
		expect(scheduler.schedule(401)).toEqual([])
		// The eviction is not sent again while the engine runs an untracked request.
		const runIds = ["r1", "unasked"]
		const report = createReport(["a1", "a2"], {running: 2, runIds})
		scheduler.applyReport(report, 402)
		expect(scheduler.planOrder(402)).toBeUndefined()
		scheduler.applyReport(createReport(["a1", "a2"], {runIds: ["r1"]}), 450)
		expect(scheduler.planOrder(450)).toEqual(order)
	})

	it("evicts another adapter while a lost gateway's request still runs", () => {
		const scheduler = createScheduler(["a1", "a2"])
		scheduler.submit(createRequest("r2", 0, {owner: "g2", adapter: "a2"}), 0)
		scheduler.dropOwner("g2", 1)
		scheduler.submit(createRequest("r3", 1, {adapter: "b"}), 1)
		const runIds = ["r2"]
		const report = createReport(["a1", "a2"], {running: 1, runIds})
		scheduler.applyReport(report, 50)
		expect(scheduler.planOrder(50)).toMatchObject({adapter: "a1"})
	})

	it("frees the pending prefill of a lost gateway's requests", () => {
		const scheduler = createScheduler(["a1"])
		scheduler.submit(createRequest("lost1", 0, {owner: "g2"}), 0)
		scheduler.submit(createRequest("lost2", 0, {owner: "g2"}), 0)
		expect(scheduler.submit(createRequest("r1", 0), 0)).toEqual([])
		const decisions = scheduler.dropOwner("g2", 1)
		expect(listKeys(decisions, GrantDecisionKind.Grant)).toEqual(["r1"])
	})

	it("evicts nothing while the engine runs requests without a grant", () => {
		const scheduler = createScheduler(["a1", "a2"])
		// Granted by an earlier agent process, or sent by a gateway without a grant.
		scheduler.applyReport(createReport(["a1", "a2"], {running: 1}), 0)
		scheduler.submit(createRequest("r1", 0, {adapter: "b"}), 0)
		expect(scheduler.planOrder(1)).toBeUndefined()
		scheduler.applyReport(createReport(["a1", "a2"], {running: 0}), 50)
		expect(scheduler.planOrder(51)).toMatchObject({kind: OrderKind.Unload})
	})

	it("recognizes granted runs by their request ids", () => {
		const scheduler = createScheduler(["a1", "a2"])
		scheduler.submit(createRequest("r1", 0), 0)
		scheduler.submit(createRequest("r2", 0, {adapter: "b"}), 0)
		// The granted request is still in transit while an untracked one runs.
		const report = createReport(["a1", "a2"], {running: 1, runIds: ["old"]})
		scheduler.applyReport(report, 5)
		expect(scheduler.planOrder(5)).toBeUndefined()
		const own = createReport(["a1", "a2"], {running: 1, runIds: ["r1"]})
		scheduler.applyReport(own, 10)
		expect(scheduler.planOrder(10)).toMatchObject({adapter: "a2"})
	})

	it("refuses requests while the engine does not answer its agent", () => {
		const scheduler = createScheduler(["a1"])
		scheduler.markDown()
		expect(scheduler.submit(createRequest("r1", 0), 0)).toMatchObject([
			{kind: GrantDecisionKind.Refuse, reason: GrantRefusalReason.Unavailable}
		])
	})

	it("loads an adapter once for all requests that wait for it", () => {
		const scheduler = createScheduler([])
		scheduler.submit(createRequest("r1", 0, {adapter: "b"}), 0)
		scheduler.submit(createRequest("r2", 0, {adapter: "b"}), 0)
		const order = scheduler.planOrder(0)
		expect(order).toMatchObject({kind: OrderKind.Load, adapter: "b"})
		if (order !== undefined) scheduler.slots.beginOrder(order)
		scheduler.endOrder(OrderOutcome.Accepted, 1)
		expect(scheduler.planOrder(2)).toBeUndefined()
		const report = createReport(["b"], {sequence: 1})
		scheduler.applyReport(report, 30)
		const decisions = scheduler.schedule(30)
		expect(listKeys(decisions, GrantDecisionKind.Grant)).toEqual(["r1", "r2"])
	})
})
