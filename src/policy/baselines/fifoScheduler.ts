/**
 * A baseline scheduler for comparisons. It runs requests and loads adapters in
 * the order of arrival and evicts the least recently used adapter. It does not
 * hold requests back for batching, and has no admission control: requests are
 * refused only if the queue is full, their deadline has passed, or they are
 * cancelled.
 */
import {KeyedHeap} from "../keyedHeap.js"
import {LoadBudget} from "../loadBudget.js"
import {
	Scheduler,
	SchedulerActionKind,
	SchedulerEventKind
} from "../scheduler.js"
import type {
	SchedulerAction,
	SchedulerEvent,
	SchedulerOptions,
	SchedulerSnapshot
} from "../scheduler.js"
import {
	adoptResident,
	countFreeSeats,
	createWorker,
	isResident,
	SlotState
} from "../slots.js"
import type {Slot, Worker} from "../slots.js"
import {RefusalReason} from "../types.js"
import type {AdapterName, Draft} from "../types.js"

const retryAfterMs = 1000
/** While requests wait, the next tick is requested after at least this time. */
const minWakeDelayMs = 100

export class FifoScheduler extends Scheduler {
	private readonly workers = new Map<string, Worker>()
	private readonly waiting = new Map<string, Draft>()
	/** Queued requests of each adapter; both maps are in the order of arrival. */
	private readonly byAdapter = new Map<AdapterName, Map<string, Draft>>()
	private readonly byDeadline = new KeyedHeap<Draft>()
	private readonly lastUsedAt = new Map<AdapterName, number>()
	private readonly loadBudget: LoadBudget
	private readonly maxQueued: number
	private nextLoadNumber = 1
	private actions: SchedulerAction[] = []

	constructor(options: SchedulerOptions) {
		super()
		this.loadBudget = new LoadBudget(options)
		this.maxQueued = options.maxQueued
		for (const id of options.workers) {
			this.workers.set(id, createWorker(id, options.slots, options.seats))
		}
	}

	step(event: SchedulerEvent, now: number): SchedulerAction[] {
		this.actions = []
		this.handle(event, now)
		this.refuseExpired(now)
		this.startRuns(now)
		this.startLoads(now)
		if (this.waiting.size > 0) {
			const at = Math.max(
				now + minWakeDelayMs,
				this.loadBudget.nextAt(now) ?? 0
			)
			this.actions.push({kind: SchedulerActionKind.Wake, at})
		}
		return this.actions
	}

	snapshot(): SchedulerSnapshot {
		const workers = [...this.workers.values()].filter(worker => worker.isUp)
		const slots = workers.flatMap(worker => [...worker.slots.values()])
		const listAdaptersIn = (state: SlotState): AdapterName[] =>
			slots.filter(slot => slot.state === state).map(slot => slot.adapter)
		const requested = [...this.byAdapter.keys()]
		const missing = requested.filter(adapter => !this.hasCopy(adapter))
		return {
			running: workers.reduce((sum, worker) => sum + worker.runs.size, 0),
			queued: this.waiting.size,
			resident: listAdaptersIn(SlotState.Resident),
			loading: listAdaptersIn(SlotState.Loading),
			loadDemand: missing.length
		}
	}

	private handle(event: SchedulerEvent, now: number): void {
		switch (event.kind) {
			case SchedulerEventKind.Arrived:
				this.arrive(event.draft)
				return
			case SchedulerEventKind.Cancelled:
				if (this.waiting.has(event.id))
					this.refuse(event.id, RefusalReason.Cancelled)
				return
			case SchedulerEventKind.LoadEnded:
				this.endLoad(event, now)
				return
			case SchedulerEventKind.RunEnded:
				this.endRun(event.worker, event.id)
				return
			case SchedulerEventKind.WorkerReset:
				this.resetWorker(event.worker)
				this.adoptResidentAdapters(event.worker, event.resident, now)
				return
			case SchedulerEventKind.WorkerUp:
				this.setWorkerUp(event.worker, event.kind)
				this.adoptResidentAdapters(event.worker, event.resident, now)
				return
			case SchedulerEventKind.WorkerDown:
				this.setWorkerUp(event.worker, event.kind)
				return
			case SchedulerEventKind.ShareUpdated:
				this.loadBudget.setShare(event.share, now)
				return
			case SchedulerEventKind.Reconfigured:
				for (const worker of this.workers.values()) {
					worker.capacity = event.tuning.slots
					worker.seats = event.tuning.seats
				}
				return
			case SchedulerEventKind.Tick:
		}
	}

	private arrive(draft: Draft): void {
		this.enqueue(draft)
		if (this.waiting.size > this.maxQueued)
			this.refuse(draft.id, RefusalReason.Overloaded)
	}

	private enqueue(draft: Draft): void {
		const {id, adapter, deadline} = draft
		this.waiting.set(id, draft)
		this.byDeadline.set(id, draft, deadline)
		const queue = this.byAdapter.get(adapter) ?? new Map<string, Draft>()
		queue.set(id, draft)
		this.byAdapter.set(adapter, queue)
	}

	private dequeue(id: string): void {
		const adapter = this.waiting.get(id)?.adapter
		this.waiting.delete(id)
		this.byDeadline.delete(id)
		if (adapter === undefined) return
		const queue = this.byAdapter.get(adapter)
		queue?.delete(id)
		if (queue?.size === 0) this.byAdapter.delete(adapter)
	}

	private refuse(id: string, reason: RefusalReason): void {
		this.dequeue(id)
		const kind = SchedulerActionKind.Refuse
		this.actions.push({kind, id, reason, retryAfterMs})
	}

	private refuseExpired(now: number): void {
		while ((this.byDeadline.peekPriority() ?? Infinity) < now) {
			const draft = this.byDeadline.peek()
			if (draft) this.refuse(draft.id, RefusalReason.Deadline)
		}
	}

	private endLoad(
		event: SchedulerEvent & {kind: SchedulerEventKind.LoadEnded},
		now: number
	): void {
		const worker = this.workers.get(event.worker)
		const slot = worker?.slots.get(event.adapter)
		if (!worker || slot?.state !== SlotState.Loading) return
		if (event.load !== undefined && event.load !== slot.load) return
		this.loadBudget.end()
		if (!event.ok) {
			worker.slots.delete(event.adapter)
			return
		}
		slot.state = SlotState.Resident
		slot.loadedAt = now
	}

	private endRun(workerId: string, id: string): void {
		const worker = this.workers.get(workerId)
		const run = worker?.runs.get(id)
		if (!worker || !run) return
		worker.runs.delete(id)
		const slot = worker.slots.get(run.draft.adapter)
		if (slot) slot.pins -= 1
	}

	private resetWorker(id: string): void {
		const worker = this.workers.get(id)
		if (!worker) return
		for (const slot of worker.slots.values()) {
			if (slot.state === SlotState.Loading) this.loadBudget.end()
		}
		worker.slots.clear()
		worker.runs.clear()
	}

	private adoptResidentAdapters(
		id: string,
		resident: readonly AdapterName[] | undefined,
		now: number
	): void {
		const worker = this.workers.get(id)
		if (worker) adoptResident(worker, resident ?? [], now)
	}

	private setWorkerUp(id: string, kind: SchedulerEventKind): void {
		const worker = this.workers.get(id)
		if (worker) worker.isUp = kind === SchedulerEventKind.WorkerUp
	}

	private startRuns(now: number): void {
		for (const worker of this.workers.values()) {
			while (countFreeSeats(worker) > 0) {
				const draft = this.findFirstRunnable(worker)
				if (!draft) break
				this.startRun(worker, draft, now)
			}
		}
	}

	/** The earliest queued request whose adapter is resident on the worker. */
	private findFirstRunnable(worker: Worker): Draft | undefined {
		let first: Draft | undefined
		for (const adapter of worker.slots.keys()) {
			if (!isResident(worker, adapter)) continue
			const draft = this.byAdapter.get(adapter)?.values().next().value
			if (!draft) continue
			if (!first || draft.arrivedAt < first.arrivedAt) first = draft
		}
		return first
	}

	private startRun(worker: Worker, draft: Draft, now: number): void {
		const slot = worker.slots.get(draft.adapter)
		if (!slot) return
		this.dequeue(draft.id)
		this.lastUsedAt.set(draft.adapter, now)
		slot.pins += 1
		worker.runs.set(draft.id, {draft, startedAt: now, isCancelled: false})
		this.actions.push({
			kind: SchedulerActionKind.Run,
			worker: worker.id,
			id: draft.id,
			loadStallMs: Math.max(0, slot.loadedAt - draft.arrivedAt)
		})
	}

	private startLoads(now: number): void {
		for (const adapter of this.byAdapter.keys()) {
			if (!this.loadBudget.canStart(now)) return
			if (!this.hasCopy(adapter)) this.startLoad(adapter, now)
		}
	}

	private startLoad(adapter: AdapterName, now: number): void {
		for (const worker of this.workers.values()) {
			if (!worker.isUp) continue
			const isFull = worker.slots.size >= worker.capacity
			const evict = isFull ? this.findLeastRecentlyUsed(worker) : undefined
			if (isFull && !evict) continue
			if (evict) worker.slots.delete(evict.adapter)
			const state = SlotState.Loading
			const load = this.nextLoadNumber++
			const slot = {adapter, state, pins: 0, loadedAt: Infinity, load}
			worker.slots.set(adapter, slot)
			this.loadBudget.start(now)
			this.actions.push({
				kind: SchedulerActionKind.Load,
				worker: worker.id,
				adapter,
				evict: evict?.adapter,
				load
			})
			return
		}
	}

	private findLeastRecentlyUsed(worker: Worker): Slot | undefined {
		const evictable = [...worker.slots.values()].filter(
			slot => slot.pins === 0 && slot.state === SlotState.Resident
		)
		const getLastUsedAt = (slot: Slot): number =>
			this.lastUsedAt.get(slot.adapter) ?? 0
		return evictable.sort((a, b) => getLastUsedAt(a) - getLastUsedAt(b))[0]
	}

	private hasCopy(adapter: AdapterName): boolean {
		return [...this.workers.values()].some(
			worker => worker.isUp && worker.slots.has(adapter)
		)
	}
}
