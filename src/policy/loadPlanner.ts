/**
 * Decides when adapters are loaded, within this process's share of the weight
 * store: first adapters that requests wait for, then second copies of adapters
 * whose workers have no free seat, and last, while the share is unused, adapters
 * that an engine lost in a cold restart.
 */
import {clampRetryAfterMs} from "./admission.js"
import type {Engines, ColdRestartLosses} from "./engines.js"
import type {Estimates} from "./estimates.js"
import {LoadBudget} from "./loadBudget.js"
import {LoadFailures} from "./loadFailures.js"
import {LoadOrder} from "./loadOrder.js"
import type {Popularity} from "./popularity.js"
import {SchedulerActionKind} from "./scheduler.js"
import type {
	SchedulerAction,
	SchedulerEvent,
	SchedulerEventKind,
	SchedulerOptions
} from "./scheduler.js"
import {choosePlacement, countFreeSeats, SlotState} from "./slots.js"
import type {Placement, PlacementQuery, Worker} from "./slots.js"
import {RefusalReason} from "./types.js"
import type {AdapterName, LoadShare} from "./types.js"
import {isUrgentRank} from "./waitQueue.js"
import type {QueuedRequest, WaitQueue} from "./waitQueue.js"

export interface LoadPlannerOptions {
	scheduler: SchedulerOptions
	engines: Engines
	queue: WaitQueue
	popularity: Popularity
	estimates: Estimates
	emit: (action: SchedulerAction) => void
	refuse: (
		waiting: QueuedRequest,
		reason: RefusalReason,
		retryMs: number
	) => void
}

/** Number of adapters without a placement after which a step tries no others. */
const maxPlacementTries = 4
/** Delay before loads that found no slot are tried again. */
const placementRetryMs = 250
/** Least decayed use count of a lost adapter that is reloaded. */
const minReloadPopularity = 0.5

export class LoadPlanner {
	readonly order: LoadOrder
	private readonly options: LoadPlannerOptions
	private readonly budget: LoadBudget
	private readonly failures = new LoadFailures()
	/** Adapters that engines lost in cold restarts, the most popular last. */
	private lostAdapters: AdapterName[] = []

	constructor(options: LoadPlannerOptions) {
		this.options = options
		this.order = new LoadOrder(options.scheduler.objective)
		this.budget = new LoadBudget(options.scheduler)
	}

	get loadsPerSecond(): number {
		return this.budget.loadsPerSecond
	}

	setShare(share: LoadShare, now: number): void {
		this.budget.setShare(share, now)
	}

	/** Updates the load order after the adapter's queue or copies have changed. */
	updateDemand(adapter: AdapterName): void {
		const {queue, engines} = this.options
		const count = queue.count(adapter)
		if (count === 0 || engines.hasCopy(adapter)) {
			this.order.delete(adapter)
			return
		}
		const first = queue.getFirstReady(adapter)
		const isUrgent = first !== undefined && isUrgentRank(first.rank)
		const readyAt = isUrgent ? first.readyAt : queue.getReadyAt(adapter)
		this.order.setDemand({adapter, count, readyAt, isUrgent})
	}

	/** Adds adapters back to the load order once their backoff has ended. */
	advance(now: number): void {
		for (const adapter of this.order.takeUnblocked(now))
			this.updateDemand(adapter)
	}

	start(now: number): void {
		this.loadWanted(now)
		this.loadSecondCopies(now)
		this.reloadLost(now)
	}

	/** Handles the end of a load; ignores loads from before a worker's reset. */
	end(
		event: SchedulerEvent & {kind: SchedulerEventKind.LoadEnded},
		now: number
	): void {
		const {adapter} = event
		const worker = this.options.engines.get(event.worker)
		const slot = worker?.slots.get(adapter)
		if (!worker || slot?.state !== SlotState.Loading) return
		if (event.load !== undefined && event.load !== slot.load) return
		this.budget.end()
		if (!event.ok) {
			worker.slots.delete(adapter)
			this.handleFailure(adapter, worker, now)
			return
		}
		slot.state = SlotState.Resident
		slot.loadedAt = now
		this.failures.clear(adapter)
		this.options.estimates.addLoad(event.tookMs)
	}

	/** Handles the loss of an engine's adapters and loads in a cold restart. */
	handleEngineReset({adapters, loads}: ColdRestartLosses, now: number): void {
		for (let load = 0; load < loads; load++) this.budget.end()
		const all = [...new Set([...this.lostAdapters, ...adapters])]
		const read = (adapter: AdapterName): number =>
			this.options.popularity.read(adapter, now)
		all.sort((a, b) => read(a) - read(b))
		const {slots, workers} = this.options.scheduler
		this.lostAdapters = all.slice(-slots * workers.length)
		for (const adapter of adapters) this.updateDemand(adapter)
	}

	/** Earliest time at which a load may start that can't start now. */
	nextAt(now: number): number {
		return Math.min(this.order.nextAt(), this.getNextStartAt(now))
	}

	private getNextStartAt(now: number): number {
		const isWanted = this.order.size > 0 || this.lostAdapters.length > 0
		if (!isWanted) return Infinity
		const at = this.budget.nextAt(now) ?? Infinity
		if (at > now) return at
		const idleAt = this.budget.nextIdleAt(now) ?? Infinity
		const retryAt = now + placementRetryMs
		return idleAt > now ? Math.min(idleAt, retryAt) : retryAt
	}

	private loadWanted(now: number): void {
		const skipped: AdapterName[] = []
		while (this.budget.canStart(now) && skipped.length < maxPlacementTries) {
			const adapter = this.order.next({
				skipped,
				isIdle: this.budget.isIdle(now),
				loadsPerSecond: this.budget.loadsPerSecond,
				now
			})
			if (adapter === undefined) break
			if (this.refuseTooLate(adapter, now)) continue
			if (!this.tryLoad(adapter, now)) skipped.push(adapter)
		}
		this.order.restoreSkipped()
	}

	/**
	 * Refuses the adapter's requests that could not start in time even if the
	 * load began now. Returns true when no request is left.
	 */
	private refuseTooLate(adapter: AdapterName, now: number): boolean {
		const {queue, estimates, refuse} = this.options
		const loadedAt = now + estimates.loadMs
		for (const waiting of queue.listRequests(adapter)) {
			if (waiting.startBy >= loadedAt) continue
			refuse(waiting, RefusalReason.Deadline, clampRetryAfterMs(0))
		}
		return queue.count(adapter) === 0
	}

	private tryLoad(adapter: AdapterName, now: number): boolean {
		const query = this.createQuery(adapter, now)
		const placement = choosePlacement(this.options.engines.all(), query)
		if (!placement) return false
		this.startLoad(adapter, placement, now)
		return true
	}

	private createQuery(adapter: AdapterName, now: number): PlacementQuery {
		const {popularity, queue} = this.options
		return {
			adapter,
			getPopularity: name => popularity.read(name, now),
			getRank: name => queue.getFirst(name)?.rank,
			hasFailedOn: worker => this.failures.hasFailedOn(adapter, worker)
		}
	}

	private startLoad(
		adapter: AdapterName,
		{worker, evict}: Placement,
		now: number
	): void {
		const {engines, emit} = this.options
		const {load} = engines.startLoad(worker, adapter, evict?.adapter)
		this.budget.start(now)
		this.updateDemand(adapter)
		if (evict) this.updateDemand(evict.adapter)
		emit({
			kind: SchedulerActionKind.Load,
			worker: worker.id,
			adapter,
			evict: evict?.adapter,
			load
		})
	}

	private handleFailure(
		adapter: AdapterName,
		worker: Worker,
		now: number
	): void {
		const {engines, queue, refuse} = this.options
		const up = engines.listUp()
		const shouldRefuse = this.failures.add(adapter, worker.id, up, now)
		const retryAt = this.failures.retryAt(adapter)
		if (shouldRefuse && !engines.hasCopy(adapter)) {
			const retryMs = clampRetryAfterMs(retryAt - now)
			for (const waiting of queue.listRequests(adapter)) {
				refuse(waiting, RefusalReason.LoadFailed, retryMs)
			}
		}
		this.order.block(adapter, retryAt)
	}

	/** Loads another copy of adapters whose workers have no free seat. */
	private loadSecondCopies(now: number): void {
		const {engines} = this.options
		if (engines.size < 2 || this.order.hasUrgent()) return
		if (engines.countFreeSeats() === 0) return
		for (const adapter of this.findSeatBound()) {
			if (!this.budget.canStart(now)) return
			this.tryLoad(adapter, now)
		}
	}

	private findSeatBound(): Set<AdapterName> {
		const found = new Set<AdapterName>()
		for (const worker of this.options.engines.listUp()) {
			if (countFreeSeats(worker) > 0) continue
			for (const {adapter} of worker.slots.values()) {
				if (this.isSeatBound(adapter)) found.add(adapter)
			}
		}
		return found
	}

	/** True when the adapter's queue takes longer to run than a load takes. */
	private isSeatBound(adapter: AdapterName): boolean {
		const {queue, engines, estimates, scheduler} = this.options
		const first = queue.getFirstReady(adapter)
		if (!first || engines.isLoading(adapter)) return false
		const serviceMs = estimates.getTypicalServiceMs(first.draft)
		const waitMs = (queue.count(adapter) * serviceMs) / scheduler.seats
		return waitMs > estimates.loadMs
	}

	/** Reloads lost adapters into empty slots while the load budget is idle. */
	private reloadLost(now: number): void {
		const {engines, popularity} = this.options
		while (this.lostAdapters.length > 0 && this.canReload(now)) {
			const adapter = this.lostAdapters.pop()
			if (adapter === undefined || engines.hasCopy(adapter)) continue
			if (popularity.read(adapter, now) < minReloadPopularity) continue
			const query = this.createQuery(adapter, now)
			const placement = choosePlacement(engines.all(), query)
			if (!placement || placement.evict) return
			this.startLoad(adapter, placement, now)
		}
	}

	private canReload(now: number): boolean {
		return !this.order.hasUrgent() && this.budget.isIdle(now)
	}
}
