/**
 * The order in which wanted adapters are loaded, by the time at which their
 * first request should be served and by the number of requests that wait.
 * Adapters wanted only by deferrable requests that are not yet promoted are
 * deferred: they are loaded only while no other wanted adapter can be placed.
 *
 * The slack of a request is the time from its arrival to the latest start that
 * meets its deadline.
 */
import {KeyedHeap} from "./keyedHeap.js"
import type {AdapterName, Objective} from "./types.js"

export interface LoadDemand {
	adapter: AdapterName
	/** Waiting requests. */
	count: number
	/** Earliest time at which one of them should be served. */
	readyAt: number
	/**
	 * True when one of them is not deferrable, or has been promoted to the
	 * interactive class.
	 */
	isUrgent: boolean
}

export interface NextLoadQuery {
	/** Adapters for which no slot was found in this step. */
	skipped: readonly AdapterName[]
	/** Result of `LoadBudget.isIdle`. */
	isIdle: boolean
	loadsPerSecond: number
	now: number
}

/** Time by which each further waiting request advances its adapter. */
const extraRequestCreditMs = 4000
/**
 * Part of its slack after which a non-deferrable request should be served. Such
 * a request is not held back; the time only ranks its adapter in the load order.
 */
const nonDeferrableReadyShare = 0.25
/**
 * Reduces the part of its slack that a request may wait for a load, in
 * proportion to the relative weight of load stalls. As it is above 1, that part
 * falls to `minLoadWaitShare` before stalls have all the weight.
 */
const stallWaitReduction = 1.1
/**
 * Least part of its slack that a request may wait for a load. Without it, some
 * objectives would make an idle engine refuse requests that need a load.
 */
const minLoadWaitShare = 0.1
const maxHoldShare = 0.9
/** Like `extraRequestCreditMs`, for deferred adapters. */
const extraDeferrableCreditMs = 20_000
/**
 * Number of waiting requests at which a deferred adapter is loaded before its
 * `readyAt`.
 */
const minDeferrableForEarlyLoad = 2

export class LoadOrder {
	/**
	 * Part of its slack for which a deferrable request may be held back: the
	 * relative weight of batch efficiency, up to `maxHoldShare`.
	 */
	private holdShare = 0
	private maxWaitShare = 0
	/** True when load stalls weigh at least as much as batch efficiency. */
	private prefersFewStalls = true
	private readonly urgent = new KeyedHeap<LoadDemand>()
	private readonly deferred = new KeyedHeap<LoadDemand>()
	private readonly blocked = new KeyedHeap<AdapterName>()
	/** Demands that `next` removed until `restoreSkipped`. */
	private skippedDemands: LoadDemand[] = []

	constructor(objective: Objective) {
		this.setObjective(objective)
	}

	setObjective(objective: Objective): void {
		const total = objective.loadStalls + objective.batchEfficiency
		const share = total > 0 ? objective.batchEfficiency / total : 0
		this.prefersFewStalls = objective.loadStalls >= objective.batchEfficiency
		const waitShare = 1 - stallWaitReduction * (1 - share)
		this.maxWaitShare = Math.max(minLoadWaitShare, waitShare)
		this.holdShare = Math.min(maxHoldShare, share)
	}

	/** Number of adapters that are wanted, but neither loaded nor loading. */
	get size(): number {
		return this.urgent.size + this.deferred.size
	}

	/**
	 * Part of its slack after which a request should be served. Until then a
	 * deferrable request is held back, so that it can run in a batch with others;
	 * any other request may start earlier.
	 */
	getReadyShare(isDeferrable: boolean): number {
		return isDeferrable ? this.holdShare : nonDeferrableReadyShare
	}

	/** Part of its slack that a request may wait for its load. */
	getMaxWaitShare(isDeferrable: boolean): number {
		return isDeferrable ? 1 : this.maxWaitShare
	}

	/** Number of running and held-back requests that make up a batch. */
	getMinBatchSize(seats: number): number {
		return Math.max(1, Math.floor(seats * this.holdShare))
	}

	setDemand(demand: LoadDemand): void {
		const {adapter} = demand
		if (this.blocked.has(adapter)) return
		this.deleteSkipped(adapter)
		if (demand.isUrgent) {
			this.deferred.delete(adapter)
			this.urgent.set(adapter, demand, getPriority(demand))
			return
		}
		this.urgent.delete(adapter)
		this.deferred.set(adapter, demand, getPriority(demand))
	}

	delete(adapter: AdapterName): void {
		this.urgent.delete(adapter)
		this.deferred.delete(adapter)
		this.deleteSkipped(adapter)
	}

	/** Removes the adapter and ignores its demand until its backoff has ended. */
	block(adapter: AdapterName, until: number): void {
		this.delete(adapter)
		this.blocked.set(adapter, adapter, until)
	}

	/** Removes and returns the blocked adapters whose backoff has ended. */
	takeUnblocked(now: number): AdapterName[] {
		const ended: AdapterName[] = []
		while ((this.blocked.peekPriority() ?? Infinity) <= now) {
			const adapter = this.blocked.pop()
			if (adapter !== undefined) ended.push(adapter)
		}
		return ended
	}

	/** Time at which the next backoff ends; infinite when there is none. */
	nextAt(): number {
		return this.blocked.peekPriority() ?? Infinity
	}

	hasUrgent(): boolean {
		return this.urgent.size > 0
	}

	/** Returns the adapter to load next; undefined if none should be loaded now. */
	next(query: NextLoadQuery): AdapterName | undefined {
		this.removeSkipped(query.skipped)
		const urgent = this.urgent.peek()
		if (urgent) return urgent.adapter
		const deferred = this.deferred.peek()
		if (!deferred) return undefined
		return this.isWorthLoading(deferred, query) ? deferred.adapter : undefined
	}

	/** Restores the demands that `next` removed because they were skipped. */
	restoreSkipped(): void {
		const skipped = this.skippedDemands
		this.skippedDemands = []
		skipped.forEach(demand => {
			this.setDemand(demand)
		})
	}

	/** Estimates the loads that precede one for a new request of the adapter. */
	countAhead(adapter: AdapterName, isDeferrable: boolean): number {
		const isWanted = this.urgent.has(adapter) || this.deferred.has(adapter)
		const deferred = isDeferrable ? this.deferred.size / 2 : 0
		const ahead = this.urgent.size + deferred
		return isWanted ? ahead / 2 : ahead
	}

	/**
	 * True when a deferred adapter should be loaded now: when loading all deferred
	 * adapters would take until its `readyAt` or longer, when enough requests wait
	 * for it, or when the load budget is idle and stalls weigh at least as much as
	 * batch efficiency.
	 */
	private isWorthLoading(demand: LoadDemand, query: NextLoadQuery): boolean {
		const drainMs = (this.deferred.size * 1000) / query.loadsPerSecond
		if (demand.readyAt - drainMs <= query.now) return true
		if (demand.count >= minDeferrableForEarlyLoad) return true
		return query.isIdle && this.prefersFewStalls
	}

	private deleteSkipped(adapter: AdapterName): void {
		if (this.skippedDemands.length === 0) return
		this.skippedDemands = this.skippedDemands.filter(
			demand => demand.adapter !== adapter
		)
	}

	private removeSkipped(skipped: readonly AdapterName[]): void {
		for (const heap of [this.urgent, this.deferred]) {
			const demand = heap.peek()
			if (!demand || !skipped.includes(demand.adapter)) continue
			heap.pop()
			this.skippedDemands.push(demand)
		}
	}
}

function getPriority(demand: LoadDemand): number {
	const creditMs = demand.isUrgent
		? extraRequestCreditMs
		: extraDeferrableCreditMs
	return demand.readyAt - creditMs * (demand.count - 1)
}
