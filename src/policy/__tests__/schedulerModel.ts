/**
 * A reference model for the scheduler: it carries out every action, keeps its
 * own account of slots, seats and pins, and throws on the first breach.
 */
import {SchedulerActionKind, SchedulerEventKind} from "../scheduler.js"
import type {
	Scheduler,
	SchedulerAction,
	SchedulerEvent,
	SchedulerOptions
} from "../scheduler.js"
import {RefusalReason} from "../types.js"
import type {Draft} from "../types.js"

interface ModelWorker {
	isUp: boolean
	resident: Set<string>
	/** Loads in flight, with the number that their ends echo. */
	loading: Map<string, number | undefined>
	running: Map<string, string>
}

interface Pending {
	at: number
	event: SchedulerEvent
}

export class SchedulerModel {
	now = 0
	readonly ended = new Map<string, SchedulerActionKind>()
	readonly reasons = new Map<string, RefusalReason>()
	readonly runAt = new Map<string, number>()
	loads = 0
	private readonly adapters = new Map<string, string>()
	private readonly workers = new Map<string, ModelWorker>()
	private pending: Pending[] = []

	constructor(
		private readonly scheduler: Scheduler,
		private readonly options: SchedulerOptions,
		private readonly loadFails: () => boolean = () => false
	) {
		for (const id of options.workers) {
			this.workers.set(id, {
				isUp: true,
				resident: new Set(),
				loading: new Map(),
				running: new Map()
			})
		}
	}

	arrive(draft: Draft): void {
		this.adapters.set(draft.id, draft.adapter)
		this.step({kind: SchedulerEventKind.Arrived, draft})
	}

	cancel(id: string): void {
		this.step({kind: SchedulerEventKind.Cancelled, id})
	}

	reset(worker: string): void {
		const state = this.getWorker(worker)
		state.resident.clear()
		state.loading.clear()
		state.running.clear()
		this.step({kind: SchedulerEventKind.WorkerReset, worker})
	}

	setUp(worker: string, isUp: boolean): void {
		this.getWorker(worker).isUp = isUp
		const {WorkerUp, WorkerDown} = SchedulerEventKind
		this.step({kind: isUp ? WorkerUp : WorkerDown, worker})
	}

	/** Advances the time, and delivers what ends on the way. */
	advance(ms: number): void {
		const until = this.now + ms
		for (;;) {
			this.pending.sort((a, b) => a.at - b.at)
			const next = this.pending[0]
			if (!next || next.at > until) break
			this.pending.shift()
			this.now = Math.max(this.now, next.at)
			this.deliver(next.event)
		}
		this.now = until
	}

	countUnended(): number {
		return this.adapters.size - this.ended.size
	}

	private deliver(event: SchedulerEvent): void {
		if (event.kind === SchedulerEventKind.LoadEnded) {
			const {loading, resident} = this.getWorker(event.worker)
			const isCurrent = loading.get(event.adapter) === event.load
			if (isCurrent) loading.delete(event.adapter)
			if (isCurrent && event.ok) resident.add(event.adapter)
		}
		if (event.kind === SchedulerEventKind.RunEnded) {
			this.getWorker(event.worker).running.delete(event.id)
		}
		this.step(event)
	}

	private step(event: SchedulerEvent): void {
		for (const action of this.scheduler.step(event, this.now)) {
			this.perform(action)
		}
	}

	private perform(action: SchedulerAction): void {
		switch (action.kind) {
			case SchedulerActionKind.Load:
				this.load(action)
				return
			case SchedulerActionKind.Run:
				this.run(action.worker, action.id)
				return
			case SchedulerActionKind.Refuse:
				this.reasons.set(action.id, action.reason)
				this.end(action.id, action.kind)
				return
			case SchedulerActionKind.Wake:
				check(action.at > this.now, "wakes in the past")
				this.push(action.at, {kind: SchedulerEventKind.Tick})
		}
	}

	private load(
		action: SchedulerAction & {kind: SchedulerActionKind.Load}
	): void {
		const {worker: id, adapter, evict, load} = action
		const worker = this.getWorker(id)
		const pinned = new Set(worker.running.values())
		check(worker.isUp, "loads on a worker that is down")
		if (evict !== undefined) {
			check(!pinned.has(evict), "evicts a pinned adapter")
			check(worker.resident.delete(evict), "evicts what is not resident")
		}
		const isKnown = worker.resident.has(adapter) || worker.loading.has(adapter)
		check(!isKnown, "loads an adapter twice")
		worker.loading.set(adapter, load)
		const used = worker.resident.size + worker.loading.size
		check(used <= this.options.slots, "exceeds the slots")
		this.loads += 1
		const ok = !this.loadFails()
		const kind = SchedulerEventKind.LoadEnded
		const tookMs = this.options.loadMs
		const echo = load === undefined ? {} : {load}
		const event = {kind, worker: id, adapter, ok, tookMs, ...echo} as const
		this.push(this.now + tookMs, event)
	}

	private run(workerId: string, id: string): void {
		const worker = this.getWorker(workerId)
		const adapter = this.adapters.get(id) ?? ""
		check(worker.isUp, "runs on a worker that is down")
		check(worker.resident.has(adapter), "runs where it is not resident")
		worker.running.set(id, adapter)
		check(worker.running.size <= this.options.seats, "exceeds the seats")
		this.end(id, SchedulerActionKind.Run)
		this.runAt.set(id, this.now)
		const kind = SchedulerEventKind.RunEnded
		this.push(this.now + 500, {kind, worker: workerId, id})
	}

	private end(id: string, kind: SchedulerActionKind): void {
		check(this.adapters.has(id), "ends an unknown request")
		check(!this.ended.has(id), "ends a request twice")
		this.ended.set(id, kind)
	}

	private push(at: number, event: SchedulerEvent): void {
		this.pending.push({at, event})
	}

	private getWorker(id: string): ModelWorker {
		const worker = this.workers.get(id)
		if (!worker) throw new Error(`no worker ${id}`)
		return worker
	}
}

function check(isHeld: boolean, breach: string): void {
	if (!isHeld) throw new Error(`the scheduler ${breach}`)
}
