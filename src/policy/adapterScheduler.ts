/**
 * The scheduler of one host's engines. It decides which request runs where,
 * and which adapter is loaded or evicted, so that few loads serve many requests
 * while late ones are not starved.
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
import type {Waiting} from "./waitQueue.js"

/** Part of a deferrable request's slack that remains when it is due. */
const dueShare = 0.2
const outageRetryMs = 1000

export class AdapterScheduler extends Scheduler {
	private readonly options: SchedulerOptions
	private readonly engines: Engines
	private readonly queue = new WaitQueue()
	private readonly popularity = new Popularity()
	private readonly estimates: Estimates
	private readonly fairShare: FairShare
	private readonly loads: LoadPlanner
	private wakeAt = Infinity
	private actions: SchedulerAction[] = []

	constructor(options: SchedulerOptions) {
		super()
		this.options = options
		this.engines = new Engines(options)
		this.estimates = new Estimates(options)
		this.fairShare = new FairShare(options.memberWeights)
		this.loads = new LoadPlanner({
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
		this.advance(now)
		this.startRuns(now)
		this.loads.start(now)
		this.scheduleWake(now)
		return this.actions
	}

	snapshot(): SchedulerSnapshot {
		return {
			running: this.engines.countRuns(),
			queued: this.queue.size,
			resident: this.engines.listAdapters(SlotState.Resident),
			loading: this.engines.listAdapters(SlotState.Loading),
			loadDemand: this.loads.order.size
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
				this.loads.end(event, now)
				return
			case SchedulerEventKind.RunEnded:
				this.endRun(event.worker, event.id, now)
				return
			case SchedulerEventKind.WorkerReset:
				this.resetWorker(event.worker, now)
				this.adopt(event.worker, event.resident, now)
				return
			case SchedulerEventKind.WorkerUp:
				this.setWorkerUp(event.worker, true)
				this.adopt(event.worker, event.resident, now)
				return
			case SchedulerEventKind.WorkerDown:
				this.setWorkerUp(event.worker, false)
				return
			case SchedulerEventKind.ShareUpdated:
				this.loads.setShare(event.share, now)
				return
			case SchedulerEventKind.Reconfigured:
				this.reconfigure(event.tuning)
				return
			case SchedulerEventKind.Tick:
				this.wakeAt = Infinity
		}
	}

	/** A request that is waiting or running already is not taken twice. */
	/** Requests that wait keep the rank and deadlines they were given. */
	private reconfigure(tuning: SchedulerTuning): void {
		this.engines.resize(tuning.slots, tuning.seats)
		this.estimates.configure(tuning)
		this.fairShare.setWeights(tuning.memberWeights)
		this.loads.order.setObjective(tuning.objective)
	}

	private arrive(draft: Draft, now: number): void {
		if (this.queue.get(draft.id) || this.engines.hasRun(draft.id)) return
		this.popularity.add(draft.adapter, now)
		if (!this.engines.isAnyUp()) {
			this.pushRefusal(draft.id, RefusalReason.Overloaded, outageRetryMs)
			return
		}
		const backlog = this.getBacklog(draft)
		const verdict = admit(draft, backlog, now)
		if (!verdict.isAdmitted) {
			if (verdict.waitMs === 0) this.estimates.probe()
			const {retryAfterMs} = verdict
			this.pushRefusal(draft.id, RefusalReason.Deadline, retryAfterMs)
			return
		}
		const waiting = this.createWaiting(draft, backlog.serviceMs, now)
		if (this.makeRoom(waiting, backlog)) this.enqueue(waiting, now)
	}

	private createWaiting(draft: Draft, serviceMs: number, now: number): Waiting {
		const startBy = draft.deadline - serviceMs
		const slackMs = Math.max(0, startBy - now)
		const isDeferrable = draft.class === RequestClass.Deferrable
		const holdMs = slackMs * this.loads.order.getHoldShare(isDeferrable)
		return {
			draft,
			rank: getRank(draft.class, draft.deadline),
			readyAt: now + holdMs,
			dueAt: startBy - slackMs * dueShare,
			startBy,
			isHeld: isDeferrable && holdMs > 0
		}
	}

	/** Refuses the request with least to lose when the queue is full. */
	private makeRoom(waiting: Waiting, backlog: Backlog): boolean {
		if (this.queue.size < this.options.maxQueued) return true
		const last = this.queue.last()
		const retryAfterMs = getDrainMs(backlog, 1)
		if (!last || last.rank <= waiting.rank) {
			const {id} = waiting.draft
			this.pushRefusal(id, RefusalReason.Overloaded, retryAfterMs)
			return false
		}
		this.refuse(last, RefusalReason.Overloaded, retryAfterMs)
		return true
	}

	private enqueue(waiting: Waiting, now: number): void {
		const {draft} = waiting
		this.estimates.addAdmitted(draft)
		const serviceMs = draft.deadline - waiting.startBy
		const seats = this.engines.countSeats()
		const lagMs = this.fairShare.enter(draft.member, serviceMs, seats, now)
		waiting.rank += lagMs
		this.queue.add(waiting)
		this.loads.refresh(draft.adapter)
	}

	/** Frees what waits; a run ends by its own event. */
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
		if (worker) this.loads.lose(this.engines.reset(worker), now)
	}

	private adopt(
		id: string,
		resident: readonly AdapterName[] | undefined,
		now: number
	): void {
		const worker = this.engines.get(id)
		if (!worker) return
		for (const adapter of adoptResident(worker, resident ?? [], now)) {
			this.loads.refresh(adapter)
		}
	}

	private setWorkerUp(id: string, isUp: boolean): void {
		const worker = this.engines.get(id)
		if (!worker || worker.isUp === isUp) return
		worker.isUp = isUp
		for (const adapter of worker.slots.keys()) this.loads.refresh(adapter)
		if (!this.engines.isAnyUp()) this.refuseImpatient()
	}

	/** Ends at once what other hosts may still serve in time. */
	private refuseImpatient(): void {
		for (const waiting of [...this.queue.all()]) {
			if (waiting.draft.class === RequestClass.Deferrable) continue
			this.refuse(waiting, RefusalReason.Overloaded, outageRetryMs)
		}
	}

	private advance(now: number): void {
		for (const waiting of this.queue.advance(now)) {
			this.loads.refresh(waiting.draft.adapter)
		}
		this.loads.advance(now)
		for (;;) {
			const late = this.queue.firstExpired(now)
			if (!late) return
			this.refuse(late, RefusalReason.Deadline, clampRetryAfterMs(0))
		}
	}

	private startRuns(now: number): void {
		for (const worker of this.engines.all()) {
			while (countFreeSeats(worker) > 0) {
				const waiting = chooseRun(worker, this.queue, {
					fillTarget: this.loads.order.getFillTarget(worker.seats),
					isSlotWanted: this.loads.order.size > 0
				})
				if (!waiting) break
				this.startRun(worker, waiting, now)
			}
		}
	}

	private startRun(worker: Worker, waiting: Waiting, now: number): void {
		const {draft} = waiting
		this.leaveQueue(waiting)
		this.engines.startRun(worker, draft, now)
		this.actions.push({
			kind: SchedulerActionKind.Run,
			worker: worker.id,
			id: draft.id,
			loadStallMs: this.engines.getLoadStallMs(draft)
		})
	}

	private refuse(
		waiting: Waiting,
		reason: RefusalReason,
		retryAfterMs: number
	): void {
		this.leaveQueue(waiting)
		this.pushRefusal(waiting.draft.id, reason, retryAfterMs)
	}

	private leaveQueue(waiting: Waiting): void {
		this.queue.remove(waiting.draft.id)
		this.fairShare.leave(waiting.draft.member)
		this.loads.refresh(waiting.draft.adapter)
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
		const {engines, loads, estimates} = this
		const {adapter} = draft
		const isDeferrable = draft.class === RequestClass.Deferrable
		return {
			seats: engines.countSeats(),
			freeSeats: engines.countFreeSeats(),
			runnable: sum(engines.up(), worker => this.countRunnable(worker)),
			loadsAhead: loads.order.countAhead(adapter, isDeferrable),
			loadsPerSecond: loads.loadsPerSecond,
			loadMs: estimates.loadMs,
			maxLoadWaitShare: loads.order.getMaxWaitShare(isDeferrable),
			isResident: engines.isResident(adapter),
			isLoading: engines.isLoading(adapter),
			serviceMs: estimates.serviceMs(draft),
			typicalServiceMs: estimates.typicalServiceMs(draft)
		}
	}

	private countRunnable(worker: Worker): number {
		return sum(worker.slots.values(), ({state, adapter}) =>
			state === SlotState.Resident ? this.queue.countReady(adapter) : 0
		)
	}

	private scheduleWake(now: number): void {
		const nextAt = Math.min(this.queue.nextAt(), this.loads.nextAt(now))
		const at = Math.max(now + 1, nextAt)
		const isPending = this.wakeAt > now && this.wakeAt <= at
		if (at === Infinity || isPending) return
		this.wakeAt = at
		this.actions.push({kind: SchedulerActionKind.Wake, at})
	}
}
