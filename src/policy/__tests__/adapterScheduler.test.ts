import {describe, expect, it} from "vitest"
import {AdapterScheduler} from "../adapterScheduler.js"
import {SchedulerActionKind, SchedulerEventKind} from "../scheduler.js"
import type {SchedulerAction, SchedulerOptions} from "../scheduler.js"
import {RefusalReason, RequestClass} from "../types.js"
import type {Draft} from "../types.js"

const defaults: SchedulerOptions = {
	workers: ["w1"],
	slots: 2,
	seats: 2,
	objective: {loadStalls: 0.7, batchEfficiency: 0.3},
	share: {loadsPerSecond: 5, inFlight: 8},
	msPerToken: 10,
	loadMs: 250,
	maxQueued: 100
}

let nextId = 0

function createDraft(draft: Partial<Draft> = {}): Draft {
	const arrivedAt = draft.arrivedAt ?? 0
	return {
		id: `r${++nextId}`,
		adapter: "a",
		member: "m",
		class: RequestClass.Interactive,
		deadline: arrivedAt + 10_000,
		arrivedAt,
		maxTokens: 100,
		prefixHash: 0,
		...draft
	}
}

function create(options: Partial<SchedulerOptions> = {}): AdapterScheduler {
	return new AdapterScheduler({...defaults, ...options})
}

function arrive(scheduler: AdapterScheduler, draft: Draft): SchedulerAction[] {
	const kind = SchedulerEventKind.Arrived
	return scheduler.step({kind, draft}, draft.arrivedAt)
}

function endLoad(
	scheduler: AdapterScheduler,
	adapter: string,
	now: number,
	options: {ok?: boolean; worker?: string} = {}
): SchedulerAction[] {
	const {ok = true, worker = "w1"} = options
	const kind = SchedulerEventKind.LoadEnded
	return scheduler.step({kind, worker, adapter, ok, tookMs: 250}, now)
}

function pick<K extends SchedulerActionKind>(
	actions: SchedulerAction[],
	kind: K
): Extract<SchedulerAction, {kind: K}>[] {
	return actions.filter(
		(action): action is Extract<SchedulerAction, {kind: K}> =>
			action.kind === kind
	)
}

const {Load, Run, Refuse, Wake} = SchedulerActionKind

describe("AdapterScheduler", () => {
	it("loads the adapter once for two requests and runs both", () => {
		const scheduler = create()
		const first = arrive(scheduler, createDraft())
		expect(pick(first, Load)).toMatchObject([{adapter: "a", worker: "w1"}])
		const second = arrive(scheduler, createDraft({arrivedAt: 10}))
		expect(pick(second, Load)).toEqual([])
		const runs = pick(endLoad(scheduler, "a", 250), Run)
		expect(runs.map(run => run.loadStallMs)).toEqual([250, 240])
	})

	it("never evicts a pinned adapter", () => {
		const scheduler = create({slots: 1})
		const draft = createDraft()
		arrive(scheduler, draft)
		endLoad(scheduler, "a", 250)
		const other = createDraft({adapter: "b", arrivedAt: 500})
		expect(pick(arrive(scheduler, other), Load)).toEqual([])
		const kind = SchedulerEventKind.RunEnded
		const ended = scheduler.step({kind, worker: "w1", id: draft.id}, 1000)
		expect(pick(ended, Load)).toMatchObject([{adapter: "b", evict: "a"}])
	})

	it("refuses at once what can't meet its deadline", () => {
		const scheduler = create()
		const draft = createDraft({deadline: 100})
		const refusals = pick(arrive(scheduler, draft), Refuse)
		expect(refusals).toMatchObject([
			{id: draft.id, reason: RefusalReason.Deadline}
		])
		expect(refusals[0]?.retryAfterMs).toBeGreaterThan(0)
	})

	it("refuses the waiting after repeated failures of the load", () => {
		const scheduler = create()
		const draft = createDraft()
		arrive(scheduler, draft)
		const first = endLoad(scheduler, "a", 250, {ok: false})
		expect(pick(first, Refuse)).toEqual([])
		const [wake] = pick(first, Wake)
		const retry = scheduler.step({kind: SchedulerEventKind.Tick}, wake?.at ?? 0)
		expect(pick(retry, Load)).toHaveLength(1)
		const second = endLoad(scheduler, "a", 1500, {ok: false})
		expect(pick(second, Refuse)).toMatchObject([
			{id: draft.id, reason: RefusalReason.LoadFailed}
		])
	})

	it("tries a failed load on another worker", () => {
		const scheduler = create({workers: ["w1", "w2"]})
		const [load] = pick(arrive(scheduler, createDraft()), Load)
		const worker = load?.worker ?? ""
		endLoad(scheduler, "a", 250, {ok: false, worker})
		const retry = scheduler.step({kind: SchedulerEventKind.Tick}, 2000)
		const [second] = pick(retry, Load)
		expect(second?.worker).not.toBe(worker)
	})
})
