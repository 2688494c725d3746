/**
 * The default scheduler of one host's engines. It decides which request runs on
 * which engine, and which adapters are loaded and evicted. Requests for the same
 * adapter are batched, so that few loads serve many requests; deadlines and fair
 * shares keep the other requests from starvation.
 */
import {admit, clampRetryAfterMs, getDrainMs} from "./admission.js"
import type {Backlog} from "./admission.js"
import {Engines, sum} from "./engines.js"
import {Estimates} from "./estimates.js"
import {FairShare} from "./fairShare.js"
import {LoadPlanner} from "./loadPlanner.js"
import {Popularity} from "./popularity.js"
import {chooseRun} from "./runOrder.js"
import {
	Scheduler,
	SchedulerActionKind,
	SchedulerEventKind
} from "./scheduler.js"
import type {
	SchedulerAction,
	SchedulerEvent,
	SchedulerOptions,
	SchedulerSnapshot,
	SchedulerTuning
} from "./scheduler.js"
import {adoptResident, countFreeSeats, SlotState} from "./slots.js"
import type {Worker} from "./slots.js"
import {RefusalReason, RequestClass} from "./types.js"
import type {AdapterName, Draft} from "./types.js"
import {getRank, WaitQueue} from "./waitQueue.js"
import type {QueuedRequest} from "./waitQueue.js"

/** Fraction of a deferrable request's slack that is left when it is promoted to
 * the rank of an interactive one. */
const promotionSlackFraction = 0.2
/** Retry time of requests that are refused because no engine is up. */
const outageRetryAfterMs = 1000

export class AdapterScheduler extends Scheduler {
	private readonly options: SchedulerOptions
	private readonly engines: Engines
	private readonly queue = new WaitQueue()
	private readonly popularity = new Popularity()
	private readonly estimates: Estimates
	private readonly fairShare: FairShare
	private readonly loadPlanner: LoadPlanner
	/** Time of the next requested `Tick`. */
	private wakeAt = Infinity
	private actions: SchedulerAction[] = []

	constructor(options: SchedulerOptions) {
		super()
		this.options = options
		this.engines = new Engines(options)
		this.estimates = new Estimates(options)
		this.fairShare = new FairShare(options.memberWeights)
		this.loadPlanner = new LoadPlanner({
			scheduler: options,
			engines: this.engines,
			queue: this.queue,
			popularity: this.popularity,
			estimates: this.estimates,
			emit: action => {
				this.actions.push(action)
			},
			refuse: (waiting, reason, retryMs) => {
				this.refuse(waiting, reason, retryMs)
			}
		})
	}

	step(event: SchedulerEvent, now: number): SchedulerAction[] {
		this.actions = []
		this.handle(event, now)
		this.runTimers(now)
		this.startRuns(now)
		this.loadPlanner.start(now)
		this.scheduleWake(now)
		return this.actions
	}

	snapshot(): SchedulerSnapshot {
		return {
			running: this.engines.countRuns(),
			queued: this.queue.size,
			resident: this.engines.listAdapters(SlotState.Resident),
			loading: this.engines.listAdapters(SlotState.Loading),
			loadDemand: this.loadPlanner.order.size
		}
	}

	private handle(event: SchedulerEvent, now: number): void {
		switch (event.kind) {
			case SchedulerEventKind.Arrived:
				this.arrive(event.draft, now)
				return
			case SchedulerEventKind.Cancelled:
				this.cancel(event.id)
				return
			case SchedulerEventKind.LoadEnded:
				this.loadPlanner.end(event, now)
				return
			case SchedulerEventKind.RunEnded:
				this.endRun(event.worker, event.id, now)
				return
			case SchedulerEventKind.WorkerReset:
				this.resetWorker(event.worker, now)
				this.adoptResidentAdapters(event.worker, event.resident, now)
				return
			case SchedulerEventKind.WorkerUp:
				this.setWorkerUp(event.worker, true)
				this.adoptResidentAdapters(event.worker, event.resident, now)
				return
			case SchedulerEventKind.WorkerDown:
				this.setWorkerUp(event.worker, false)
				return
			case SchedulerEventKind.ShareUpdated:
				this.loadPlanner.setShare(event.share, now)
				return
			case SchedulerEventKind.Reconfigured:
				this.reconfigure(event.tuning)
				return
			case SchedulerEventKind.Tick:
				this.wakeAt = Infinity
		}
	}

	/** Applies new settings; queued requests keep their rank and deadlines. */
	private reconfigure(tuning: SchedulerTuning): void {
		this.engines.resize(tuning.slots, tuning.seats)
		this.estimates.configure(tuning)
		this.fairShare.setWeights(tuning.memberWeights)
		this.loadPlanner.order.setObjective(tuning.objective)
	}

	/** Queues or refuses a request; one that is queued or running is ignored. */
	private arrive(draft: Draft, now: number): void {
		if (this.queue.get(draft.id) || this.engines.hasRun(draft.id)) return
		this.popularity.add(draft.adapter, now)
		if (!this.engines.isAnyUp()) {
			this.pushRefusal(draft.id, RefusalReason.Overloaded, outageRetryAfterMs)
			return
		}
		const backlog = this.getBacklog(draft)
		const verdict = admit(draft, backlog, now)
		if (!verdict.isAdmitted) {
			if (verdict.waitMs === 0) this.estimates.decayAfterRefusal()
			const {retryAfterMs} = verdict
			this.pushRefusal(draft.id, RefusalReason.Deadline, retryAfterMs)
			return
		}
		const waiting = this.createWaiting(draft, backlog.serviceMs, now)
		if (this.ensureQueueCapacity(waiting, backlog)) this.enqueue(waiting, now)
	}

	private createWaiting(
		draft: Draft,
		serviceMs: number,
		now: number
	): QueuedRequest {
		const startBy = draft.deadline - serviceMs
		const slackMs = Math.max(0, startBy - now)
		const isDeferrable = draft.class === RequestClass.Deferrable
		const holdMs = slackMs * this.loadPlanner.order.getReadyShare(isDeferrable)
		return {
			draft,
			rank: getRank(draft.class, draft.deadline),
			readyAt: now + holdMs,
			promoteAt: startBy - slackMs * promotionSlackFraction,
			startBy,
			isHeldBack: isDeferrable && holdMs > 0
		}
	}

	/**
	 * If the queue is full, refuses the request that would run last (highest rank):
	 * the last queued one, or else the new one. Returns whether the new one can be
	 * queued.
	 */
	private ensureQueueCapacity(
		waiting: QueuedRequest,
		backlog: Backlog
	): boolean {
		if (this.queue.size < this.options.maxQueued) return true
		const last = this.queue.getLast()
		const retryAfterMs = getDrainMs(backlog, 1)
		if (!last || last.rank <= waiting.rank) {
			const {id} = waiting.draft
			this.pushRefusal(id, RefusalReason.Overloaded, retryAfterMs)
			return false
		}
		this.refuse(last, RefusalReason.Overloaded, retryAfterMs)
		return true
	}

	private enqueue(waiting: QueuedRequest, now: number): void {
		const {draft} = waiting
		this.estimates.addAdmitted(draft)
		const serviceMs = draft.deadline - waiting.startBy
		const seats = this.engines.countSeats()
		const lagMs = this.fairShare.addRequest(draft.member, serviceMs, seats, now)
		waiting.rank += lagMs
		this.queue.add(waiting)
		this.loadPlanner.updateDemand(draft.adapter)
	}

	/**
	 * Refuses the request if it is queued. If it runs, its seat stays taken until
	 * the `RunEnded` event.
	 */
	private cancel(id: string): void {
		const waiting = this.queue.get(id)
		if (waiting) this.refuse(waiting, RefusalReason.Cancelled, 0)
		else this.engines.cancelRun(id)
	}

	private endRun(workerId: string, id: string, now: number): void {
		const run = this.engines.endRun(workerId, id)
		if (!run || run.isCancelled) return
		this.estimates.addRun(run.draft, now - run.startedAt)
	}

	private resetWorker(id: string, now: number): void {
		const worker = this.engines.get(id)
		if (worker)
			this.loadPlanner.handleEngineReset(this.engines.reset(worker), now)
	}

	private adoptResidentAdapters(
		id: string,
		resident: readonly AdapterName[] | undefined,
		now: number
	): void {
		const worker = this.engines.get(id)
		if (!worker) return
		for (const adapter of adoptResident(worker, resident ?? [], now)) {
			this.loadPlanner.updateDemand(adapter)
		}
	}

	private setWorkerUp(id: string, isUp: boolean): void {
		const worker = this.engines.get(id)
		if (!worker || worker.isUp === isUp) return
		worker.isUp = isUp
		for (const adapter of worker.slots.keys())
			this.loadPlanner.updateDemand(adapter)
		if (!this.engines.isAnyUp()) this.refuseNonDeferrable()
	}

	/**
	 * With no engine up, refuses all but deferrable requests at once, so that
	 * another host may still serve them within their deadline.
	 */
	private refuseNonDeferrable(): void {
		for (const waiting of [...this.queue.all()]) {
			if (waiting.draft.class === RequestClass.Deferrable) continue
			this.refuse(waiting, RefusalReason.Overloaded, outageRetryAfterMs)
		}
	}

	private runTimers(now: number): void {
		for (const waiting of this.queue.releaseDue(now)) {
			this.loadPlanner.updateDemand(waiting.draft.adapter)
		}
		this.loadPlanner.advance(now)
		for (;;) {
			const expired = this.queue.getFirstExpired(now)
			if (!expired) return
			this.refuse(expired, RefusalReason.Deadline, clampRetryAfterMs(0))
		}
	}

	private startRuns(now: number): void {
		for (const worker of this.engines.all()) {
			while (countFreeSeats(worker) > 0) {
				const waiting = chooseRun(worker, this.queue, {
					minBatchSize: this.loadPlanner.order.getMinBatchSize(worker.seats),
					hasLoadDemand: this.loadPlanner.order.size > 0
				})
				if (!waiting) break
				this.startRun(worker, waiting, now)
			}
		}
	}

	private startRun(worker: Worker, waiting: QueuedRequest, now: number): void {
		const {draft} = waiting
		this.dequeue(waiting)
		this.engines.startRun(worker, draft, now)
		this.actions.push({
			kind: SchedulerActionKind.Run,
			worker: worker.id,
			id: draft.id,
			loadStallMs: this.engines.getLoadStallMs(draft)
		})
	}

	private refuse(
		waiting: QueuedRequest,
		reason: RefusalReason,
		retryAfterMs: number
	): void {
		this.dequeue(waiting)
		this.pushRefusal(waiting.draft.id, reason, retryAfterMs)
	}

	private dequeue(waiting: QueuedRequest): void {
		this.queue.remove(waiting.draft.id)
		this.fairShare.removeRequest(waiting.draft.member)
		this.loadPlanner.updateDemand(waiting.draft.adapter)
	}

	private pushRefusal(
		id: string,
		reason: RefusalReason,
		retryAfterMs: number
	): void {
		const kind = SchedulerActionKind.Refuse
		this.actions.push({kind, id, reason, retryAfterMs})
	}

	private getBacklog(draft: Draft): Backlog {
		const {engines, loadPlanner, estimates} = this
		const {adapter} = draft
		const isDeferrable = draft.class === RequestClass.Deferrable
		return {
			seats: engines.countSeats(),
			freeSeats: engines.countFreeSeats(),
			runnable: sum(engines.listUp(), worker => this.countRunnable(worker)),
			loadsAhead: loadPlanner.order.countAhead(adapter, isDeferrable),
			loadsPerSecond: loadPlanner.loadsPerSecond,
			loadMs: estimates.loadMs,
			maxLoadWaitShare: loadPlanner.order.getMaxWaitShare(isDeferrable),
			isResident: engines.isResident(adapter),
			isLoading: engines.isLoading(adapter),
			serviceMs: estimates.getServiceMs(draft),
			typicalServiceMs: estimates.getTypicalServiceMs(draft)
		}
	}

	private countRunnable(worker: Worker): number {
		return sum(worker.slots.values(), ({state, adapter}) =>
			state === SlotState.Resident ? this.queue.countReady(adapter) : 0
		)
	}

	private scheduleWake(now: number): void {
		const nextAt = Math.min(
			this.queue.getNextTimerAt(),
			this.loadPlanner.nextAt(now)
		)
		const at = Math.max(now + 1, nextAt)
		const isPending = this.wakeAt > now && this.wakeAt <= at
		if (at === Infinity || isPending) return
		this.wakeAt = at
		this.actions.push({kind: SchedulerActionKind.Wake, at})
	}
}
