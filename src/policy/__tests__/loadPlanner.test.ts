import {describe, expect, it} from "vitest"
import {AdapterScheduler} from "../adapterScheduler.js"
import {SchedulerActionKind, SchedulerEventKind} from "../scheduler.js"
import type {
	SchedulerAction,
	SchedulerEvent,
	SchedulerOptions
} from "../scheduler.js"
import {RequestClass} from "../types.js"

const options: SchedulerOptions = {
	workers: ["w1", "w2"],
	slots: 2,
	seats: 1,
	objective: {loadStalls: 0.7, batchEfficiency: 0.3},
	share: {loadsPerSecond: 10, inFlight: 4},
	msPerToken: 10,
	loadMs: 250,
	maxQueued: 100
}

type Load = Extract<SchedulerAction, {kind: SchedulerActionKind.Load}>

function create(changes: Partial<SchedulerOptions> = {}): {
	arrive: (
		id: string,
		adapter: string,
		now: number,
		maxTokens?: number
	) => Load[]
	step: (event: SchedulerEvent, now: number) => Load[]
	end: (load: Load | undefined, now: number, ok?: boolean) => Load[]
} {
	const scheduler = new AdapterScheduler({...options, ...changes})
	const step = (event: SchedulerEvent, now: number): Load[] =>
		scheduler.step(event, now).filter((action): action is Load => {
			return action.kind === SchedulerActionKind.Load
		})
	const arrive = (
		id: string,
		adapter: string,
		now: number,
		maxTokens = 200
	): Load[] => {
		const draft = {
			id,
			adapter,
			member: "m",
			class: RequestClass.Interactive,
			deadline: now + 60_000,
			arrivedAt: now,
			maxTokens,
			prefixHash: 0
		}
		return step({kind: SchedulerEventKind.Arrived, draft}, now)
	}
	const end = (load: Load | undefined, now: number, ok = true): Load[] => {
		if (!load) throw new Error("no load to end")
		const {worker, adapter} = load
		const kind = SchedulerEventKind.LoadEnded
		return step({kind, worker, adapter, ok, tookMs: 250}, now)
	}
	return {arrive, step, end}
}

describe("LoadPlanner", () => {
	it("loads no second copy while the first copy's worker has free seats", () => {
		const {arrive, end} = create({seats: 4})
		const [load] = arrive("r1", "a", 0)
		end(load, 250)
		expect(arrive("r2", "a", 300)).toEqual([])
		expect(arrive("r3", "a", 310)).toEqual([])
	})

	it("loads a second copy when the first copy's worker has no free seat", () => {
		const {arrive, end} = create()
		const [load] = arrive("r1", "a", 0)
		end(load, 250)
		const [second] = arrive("r2", "a", 1000)
		expect(second).toMatchObject({adapter: "a"})
		expect(second?.worker).not.toBe(load?.worker)
	})

	it("loads no second copy for a queue that runs in less time than a load", () => {
		const {arrive, end} = create()
		const [load] = arrive("r1", "a", 0, 10)
		end(load, 250)
		expect(arrive("r2", "a", 260, 10)).toEqual([])
	})

	it("loads another adapter during the backoff of a failed load", () => {
		const {arrive, end} = create()
		const [load] = arrive("r1", "a", 0)
		expect(end(load, 250, false)).toEqual([])
		expect(arrive("r2", "b", 300)).toMatchObject([{adapter: "b"}])
	})

	it("loads the adapter with more waiting requests first", () => {
		const share = {loadsPerSecond: 1, inFlight: 1}
		const {arrive, end, step} = create({share})
		const [load] = arrive("r0", "first", 0)
		arrive("r1", "one", 10)
		for (const id of ["r2", "r3", "r4"]) arrive(id, "three", 20)
		const next = end(load, 250)
		const kind = SchedulerEventKind.Tick
		const later = step({kind}, 2000)
		expect([...next, ...later][0]).toMatchObject({adapter: "three"})
	})

	it("limits loads to the rate of its share", () => {
		const share = {loadsPerSecond: 2, inFlight: 8}
		const {arrive, step} = create({share, slots: 50})
		let loads = 0
		for (let index = 0; index < 20; index++) {
			loads += arrive(`r${index}`, `a${index}`, 0).length
		}
		expect(loads).toBe(2)
		loads += step({kind: SchedulerEventKind.Tick}, 1000).length
		expect(loads).toBe(4)
	})
})
