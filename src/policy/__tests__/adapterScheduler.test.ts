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

	it("refuses on arrival a request that can't meet its deadline", () => {
		const scheduler = create()
		const draft = createDraft({deadline: 100})
		const refusals = pick(arrive(scheduler, draft), Refuse)
		expect(refusals).toMatchObject([
			{id: draft.id, reason: RefusalReason.Deadline}
		])
		expect(refusals[0]?.retryAfterMs).toBeGreaterThan(0)
	})

	it("refuses queued requests after repeated load failures", () => {
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

	it("retries a failed load on another worker", () => {
		const scheduler = create({workers: ["w1", "w2"]})
		const [load] = pick(arrive(scheduler, createDraft()), Load)
		const worker = load?.worker ?? ""
		endLoad(scheduler, "a", 250, {ok: false, worker})
		const retry = scheduler.step({kind: SchedulerEventKind.Tick}, 2000)
		const [second] = pick(retry, Load)
		expect(second?.worker).not.toBe(worker)
	})

	it("refuses on arrival a request that the wait for a seat would make late", () => {
		const scheduler = create({seats: 1})
		arrive(scheduler, createDraft({maxTokens: 1000}))
		endLoad(scheduler, "a", 250)
		for (let index = 0; index < 3; index++) {
			const deadline = 60_000
			const draft = createDraft({maxTokens: 1000, arrivedAt: 300, deadline})
			expect(pick(arrive(scheduler, draft), Refuse)).toEqual([])
		}
		const late = createDraft({arrivedAt: 300, deadline: 8000})
		expect(pick(arrive(scheduler, late), Refuse)).toMatchObject([
			{id: late.id, reason: RefusalReason.Deadline}
		])
	})

	it("refuses on arrival a request that the wait for its load would make late", () => {
		const scheduler = create({share: {loadsPerSecond: 1, inFlight: 1}})
		for (let index = 0; index < 8; index++) {
			const adapter = `other-${index}`
			arrive(scheduler, createDraft({adapter, deadline: 60_000}))
		}
		const late = createDraft({adapter: "late", deadline: 6000})
		expect(pick(arrive(scheduler, late), Refuse)).toMatchObject([
			{id: late.id, reason: RefusalReason.Deadline}
		])
	})

	it("requests a tick at the latest start of a queued request", () => {
		const scheduler = create({seats: 1})
		arrive(scheduler, createDraft({maxTokens: 50}))
		endLoad(scheduler, "a", 250)
		const waiting = createDraft({arrivedAt: 300, maxTokens: 50})
		arrive(scheduler, waiting)
		const kind = SchedulerEventKind.Tick
		const [wake] = pick(scheduler.step({kind}, 400), Wake)
		const at = wake?.at ?? Infinity
		expect(at).toBeLessThanOrEqual(waiting.deadline)
		expect(pick(scheduler.step({kind}, at), Refuse)).toHaveLength(1)
	})

	it("holds a lone deferrable request back, but runs it before its latest start", () => {
		const objective = {loadStalls: 0.2, batchEfficiency: 0.8}
		const scheduler = create({objective})
		const draft = createDraft({
			class: RequestClass.Deferrable,
			deadline: 100_000
		})
		const actions = arrive(scheduler, draft)
		expect(pick(actions, Load)).toEqual([])
		let at = pick(actions, Wake)[0]?.at ?? Infinity
		const kind = SchedulerEventKind.Tick
		for (let tick = 0; tick < 10_000; tick++) {
			const next = scheduler.step({kind}, at)
			if (pick(next, Load).length > 0) break
			at = pick(next, Wake)[0]?.at ?? Infinity
		}
		expect(at).toBeLessThan(99_000)
		expect(pick(endLoad(scheduler, "a", at + 250), Run)).toHaveLength(1)
	})

	it("refuses the request that would run last when the queue is full", () => {
		const scheduler = create({maxQueued: 1, seats: 1})
		arrive(scheduler, createDraft())
		endLoad(scheduler, "a", 250)
		const deferrable = createDraft({
			class: RequestClass.Deferrable,
			arrivedAt: 300,
			deadline: 100_000
		})
		arrive(scheduler, deferrable)
		const booking = createDraft({class: RequestClass.Booking, arrivedAt: 310})
		expect(pick(arrive(scheduler, booking), Refuse)).toMatchObject([
			{id: deferrable.id, reason: RefusalReason.Overloaded}
		])
		const other = createDraft({arrivedAt: 320})
		expect(pick(arrive(scheduler, other), Refuse)).toMatchObject([
			{id: other.id, reason: RefusalReason.Overloaded}
		])
	})

	it("gives a Member with few requests its share of the seats", () => {
		const scheduler = create({seats: 1})
		const first = createDraft({deadline: 1e6})
		arrive(scheduler, first)
		endLoad(scheduler, "a", 250)
		const send = (member: string, arrivedAt: number): string => {
			const draft = createDraft({member, arrivedAt, deadline: 1e6 + arrivedAt})
			arrive(scheduler, draft)
			return draft.id
		}
		for (let index = 0; index < 20; index++) send("greedy", 300)
		const modest = send("modest", 310)
		const order: string[] = []
		let id = first.id
		for (let now = 400; now < 800; now += 100) {
			const kind = SchedulerEventKind.RunEnded
			const ended = scheduler.step({kind, worker: "w1", id}, now)
			id = pick(ended, Run)[0]?.id ?? id
			order.push(id)
		}
		expect(order.indexOf(modest)).toBeGreaterThanOrEqual(0)
	})

	it("discards a reset worker's runs and reloads its popular adapter", () => {
		const scheduler = create()
		arrive(scheduler, createDraft())
		endLoad(scheduler, "a", 250)
		const kind = SchedulerEventKind.WorkerReset
		scheduler.step({kind, worker: "w1"}, 3000)
		expect(scheduler.snapshot()).toMatchObject({running: 0, resident: []})
		const tick = scheduler.step({kind: SchedulerEventKind.Tick}, 3500)
		const reset = scheduler.snapshot()
		expect([
			...pick(tick, Load).map(load => load.adapter),
			...reset.loading
		]).toContain("a")
	})

	it("ignores the end of a load that was started before a reset", () => {
		const scheduler = create()
		const [load] = pick(arrive(scheduler, createDraft()), Load)
		const kind = SchedulerEventKind.WorkerReset
		scheduler.step({kind, worker: "w1"}, 100)
		scheduler.step({kind: SchedulerEventKind.Tick}, 200)
		const late = scheduler.step(
			{
				kind: SchedulerEventKind.LoadEnded,
				worker: "w1",
				adapter: "a",
				ok: true,
				tookMs: 250,
				load: load?.load ?? 0
			},
			250
		)
		expect(pick(late, Run)).toEqual([])
	})

	it("ignores a repeated request that is queued or running", () => {
		const scheduler = create()
		const draft = createDraft()
		arrive(scheduler, draft)
		expect(pick(arrive(scheduler, draft), Refuse)).toEqual([])
		expect(pick(endLoad(scheduler, "a", 250), Run)).toHaveLength(1)
		expect(pick(arrive(scheduler, draft), Run)).toEqual([])
		expect(scheduler.snapshot()).toMatchObject({running: 1, queued: 0})
	})

	it("adopts adapters that an engine has loaded, up to its slots", () => {
		const scheduler = create()
		const kind = SchedulerEventKind.WorkerUp
		const resident = ["a", "b", "c"]
		scheduler.step({kind, worker: "w1", resident}, 0)
		expect(scheduler.snapshot().resident).toEqual(["a", "b"])
		const actions = arrive(scheduler, createDraft({arrivedAt: 10}))
		expect(pick(actions, Load)).toEqual([])
		expect(pick(actions, Run)).toMatchObject([{loadStallMs: 0}])
	})

	it("refuses a request while every worker is down", () => {
		const scheduler = create()
		const kind = SchedulerEventKind.WorkerDown
		scheduler.step({kind, worker: "w1"}, 0)
		expect(pick(arrive(scheduler, createDraft()), Refuse)).toMatchObject([
			{reason: RefusalReason.Overloaded}
		])
	})

	it("evicts the least used adapter", () => {
		const scheduler = create({slots: 2, seats: 4})
		const runAll = (adapter: string, times: number, now: number): void => {
			for (let time = 0; time < times; time++) {
				const draft = createDraft({adapter, arrivedAt: now})
				arrive(scheduler, draft)
				endLoad(scheduler, adapter, now + 250)
				const kind = SchedulerEventKind.RunEnded
				scheduler.step({kind, worker: "w1", id: draft.id}, now + 300)
			}
		}
		runAll("steady", 5, 0)
		runAll("once", 1, 1000)
		const other = createDraft({adapter: "new", arrivedAt: 2000})
		expect(pick(arrive(scheduler, other), Load)).toMatchObject([
			{adapter: "new", evict: "once"}
		])
	})
})
