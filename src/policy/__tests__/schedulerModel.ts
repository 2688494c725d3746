/**
 * A model of the engines that a scheduler drives. It executes every action, keeps
 * its own record of slots, seats and pins, and throws if an action violates an
 * invariant.
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
	/** Sequence number of each load in progress, which its `LoadEnded` echoes. */
	loadNumberByAdapter: Map<string, number | undefined>
	adapterByRun: Map<string, string>
}

interface PendingEvent {
	at: number
	event: SchedulerEvent
}

export class SchedulerModel {
	now = 0
	readonly outcomes = new Map<string, SchedulerActionKind>()
	readonly reasons = new Map<string, RefusalReason>()
	readonly runAt = new Map<string, number>()
	loadCount = 0
	private readonly adapterByRequest = new Map<string, string>()
	private readonly workers = new Map<string, ModelWorker>()
	private pendingEvents: PendingEvent[] = []

	constructor(
		private readonly scheduler: Scheduler,
		private readonly options: SchedulerOptions,
		private readonly shouldFailLoad: () => boolean = () => false
	) {
		for (const id of options.workers) {
			this.workers.set(id, {
				isUp: true,
				resident: new Set(),
				loadNumberByAdapter: new Map(),
				adapterByRun: new Map()
			})
		}
	}

	arrive(draft: Draft): void {
		this.adapterByRequest.set(draft.id, draft.adapter)
		this.step({kind: SchedulerEventKind.Arrived, draft})
	}

	cancel(id: string): void {
		this.step({kind: SchedulerEventKind.Cancelled, id})
	}

	resetWorker(worker: string): void {
		const state = this.getWorker(worker)
		state.resident.clear()
		state.loadNumberByAdapter.clear()
		state.adapterByRun.clear()
		this.step({kind: SchedulerEventKind.WorkerReset, worker})
	}

	setWorkerUp(worker: string, isUp: boolean): void {
		this.getWorker(worker).isUp = isUp
		const {WorkerUp, WorkerDown} = SchedulerEventKind
		this.step({kind: isUp ? WorkerUp : WorkerDown, worker})
	}

	/** Advances the time and delivers the events that become due. */
	advance(ms: number): void {
		const until = this.now + ms
		for (;;) {
			this.pendingEvents.sort((a, b) => a.at - b.at)
			const next = this.pendingEvents[0]
			if (!next || next.at > until) break
			this.pendingEvents.shift()
			this.now = Math.max(this.now, next.at)
			this.deliver(next.event)
		}
		this.now = until
	}

	countUnresolved(): number {
		return this.adapterByRequest.size - this.outcomes.size
	}

	private deliver(event: SchedulerEvent): void {
		if (event.kind === SchedulerEventKind.LoadEnded) {
			const {loadNumberByAdapter, resident} = this.getWorker(event.worker)
			const isCurrent = loadNumberByAdapter.get(event.adapter) === event.load
			if (isCurrent) loadNumberByAdapter.delete(event.adapter)
			if (isCurrent && event.ok) resident.add(event.adapter)
		}
		if (event.kind === SchedulerEventKind.RunEnded) {
			this.getWorker(event.worker).adapterByRun.delete(event.id)
		}
		this.step(event)
	}

	private step(event: SchedulerEvent): void {
		for (const action of this.scheduler.step(event, this.now)) {
			this.execute(action)
		}
	}

	private execute(action: SchedulerAction): void {
		switch (action.kind) {
			case SchedulerActionKind.Load:
				this.startLoad(action)
				return
			case SchedulerActionKind.Run:
				this.startRun(action.worker, action.id)
				return
			case SchedulerActionKind.Refuse:
				this.reasons.set(action.id, action.reason)
				this.recordOutcome(action.id, action.kind)
				return
			case SchedulerActionKind.Wake:
				assertInvariant(action.at > this.now, "requests a tick in the past")
				this.schedule(action.at, {kind: SchedulerEventKind.Tick})
		}
	}

	private startLoad(
		action: SchedulerAction & {kind: SchedulerActionKind.Load}
	): void {
		const {worker: id, adapter, evict, load} = action
		const worker = this.getWorker(id)
		const pinned = new Set(worker.adapterByRun.values())
		assertInvariant(worker.isUp, "loads an adapter on a worker that is down")
		if (evict !== undefined) {
			assertInvariant(!pinned.has(evict), "evicts a pinned adapter")
			assertInvariant(
				worker.resident.delete(evict),
				"evicts an adapter that is not resident"
			)
		}
		const isPresent =
			worker.resident.has(adapter) || worker.loadNumberByAdapter.has(adapter)
		assertInvariant(!isPresent, "loads an adapter that is resident or loading")
		worker.loadNumberByAdapter.set(adapter, load)
		const usedSlots = worker.resident.size + worker.loadNumberByAdapter.size
		assertInvariant(
			usedSlots <= this.options.slots,
			"uses more slots than a worker has"
		)
		this.loadCount += 1
		const ok = !this.shouldFailLoad()
		const kind = SchedulerEventKind.LoadEnded
		const tookMs = this.options.loadMs
		const echo = load === undefined ? {} : {load}
		const event = {kind, worker: id, adapter, ok, tookMs, ...echo} as const
		this.schedule(this.now + tookMs, event)
	}

	private startRun(workerId: string, id: string): void {
		const worker = this.getWorker(workerId)
		const adapter = this.adapterByRequest.get(id) ?? ""
		assertInvariant(worker.isUp, "runs a request on a worker that is down")
		assertInvariant(
			worker.resident.has(adapter),
			"runs a request whose adapter is not resident"
		)
		worker.adapterByRun.set(id, adapter)
		assertInvariant(
			worker.adapterByRun.size <= this.options.seats,
			"runs more requests than a worker has seats"
		)
		this.recordOutcome(id, SchedulerActionKind.Run)
		this.runAt.set(id, this.now)
		const kind = SchedulerEventKind.RunEnded
		this.schedule(this.now + 500, {kind, worker: workerId, id})
	}

	private recordOutcome(id: string, kind: SchedulerActionKind): void {
		assertInvariant(
			this.adapterByRequest.has(id),
			"starts or refuses an unknown request"
		)
		assertInvariant(!this.outcomes.has(id), "starts or refuses a request twice")
		this.outcomes.set(id, kind)
	}

	private schedule(at: number, event: SchedulerEvent): void {
		this.pendingEvents.push({at, event})
	}

	private getWorker(id: string): ModelWorker {
		const worker = this.workers.get(id)
		if (!worker) throw new Error(`no worker ${id}`)
		return worker
	}
}

function assertInvariant(isSatisfied: boolean, violation: string): void {
	if (!isSatisfied) throw new Error(`the scheduler ${violation}`)
}
