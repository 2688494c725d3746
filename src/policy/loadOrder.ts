/**
 * The order of loads: adapters by the time their requests have waited and by
 * the answers that a load gains. Adapters wanted only by deferrable requests
 * that are not due form a second order that spare capacity serves.
 */
import {KeyedHeap} from "./keyedHeap.js"
import type {AdapterName, Objective} from "./types.js"

export interface LoadDemand {
	adapter: AdapterName
	/** Waiting requests. */
	count: number
	/** Earliest time at which one of them should be served. */
	readyAt: number
	/** True when one of them no longer gives way. */
	isUrgent: boolean
}

export interface NextLoadQuery {
	/** Adapters that can't be placed now. */
	skipped: readonly AdapterName[]
	/** True when the share of loads has stood unused. */
	isIdle: boolean
	loadsPerSecond: number
	now: number
}

/** Time of waiting that each further request is worth. */
const companyMs = 4000
/** Part of the slack that a request for an answer at once may be held. */
const promptHoldShare = 0.25
/** Part of the slack that is closed to waiting when only stalls count. */
const stallCut = 1.1
/** An idle engine has to take a request that needs a load at any weights. */
const minWaitShare = 0.1
const maxHoldShare = 0.9
/** The same for deferrable requests. */
const deferrableCompanyMs = 20_000
/** Deferrable requests that are worth a spare load before they are ready. */
const minCompany = 2

export class LoadOrder {
	private holdShare = 0
	private maxWaitShare = 0
	/** True when load stalls weigh at least as much as batch efficiency. */
	private prefersStarts = true
	private readonly urgent = new KeyedHeap<LoadDemand>()
	private readonly spare = new KeyedHeap<LoadDemand>()
	private readonly blocked = new KeyedHeap<AdapterName>()
	private aside: LoadDemand[] = []

	constructor(objective: Objective) {
		this.setObjective(objective)
	}

	setObjective(objective: Objective): void {
		const total = objective.loadStalls + objective.batchEfficiency
		const share = total > 0 ? objective.batchEfficiency / total : 0
		this.prefersStarts = objective.loadStalls >= objective.batchEfficiency
		const waitShare = 1 - stallCut * (1 - share)
		this.maxWaitShare = Math.max(minWaitShare, waitShare)
		this.holdShare = Math.min(maxHoldShare, share)
	}

	/** Adapters wanted, but neither loaded nor loading. */
	get size(): number {
		return this.urgent.size + this.spare.size
	}

	/** Part of its slack for which a request waits for company. */
	getHoldShare(isDeferrable: boolean): number {
		return isDeferrable ? this.holdShare : promptHoldShare
	}

	/** Part of its slack that a request may wait for its load. */
	getMaxWaitShare(isDeferrable: boolean): number {
		return isDeferrable ? 1 : this.maxWaitShare
	}

	/** Running requests from which held ones may join a batch. */
	getFillTarget(seats: number): number {
		return Math.max(1, Math.floor(seats * this.holdShare))
	}

	set(demand: LoadDemand): void {
		const {adapter} = demand
		if (this.blocked.has(adapter)) return
		this.dropAside(adapter)
		if (demand.isUrgent) {
			this.spare.delete(adapter)
			this.urgent.set(adapter, demand, getPriority(demand))
			return
		}
		this.urgent.delete(adapter)
		this.spare.set(adapter, demand, getPriority(demand))
	}

	delete(adapter: AdapterName): void {
		this.urgent.delete(adapter)
		this.spare.delete(adapter)
		this.dropAside(adapter)
	}

	/** Keeps the adapter out of the order until `until`. */
	block(adapter: AdapterName, until: number): void {
		this.delete(adapter)
		this.blocked.set(adapter, adapter, until)
	}

	/** Adapters whose backoff ended. */
	advance(now: number): AdapterName[] {
		const ended: AdapterName[] = []
		while ((this.blocked.peekPriority() ?? Infinity) <= now) {
			const adapter = this.blocked.pop()
			if (adapter !== undefined) ended.push(adapter)
		}
		return ended
	}

	/** Time at which the next backoff ends. */
	nextAt(): number {
		return this.blocked.peekPriority() ?? Infinity
	}

	hasUrgent(): boolean {
		return this.urgent.size > 0
	}

	/** The adapter to load next, if any is worth a load now. */
	next(query: NextLoadQuery): AdapterName | undefined {
		this.setAside(query.skipped)
		const urgent = this.urgent.peek()
		if (urgent) return urgent.adapter
		const spare = this.spare.peek()
		if (!spare) return undefined
		return this.isWorthwhile(spare, query) ? spare.adapter : undefined
	}

	/** Takes back what was set aside. */
	restore(): void {
		const aside = this.aside
		this.aside = []
		aside.forEach(demand => {
			this.set(demand)
		})
	}

	/** Loads that come before one for a new request of the adapter. */
	countAhead(adapter: AdapterName, isDeferrable: boolean): number {
		const isWanted = this.urgent.has(adapter) || this.spare.has(adapter)
		const spare = isDeferrable ? this.spare.size / 2 : 0
		const ahead = this.urgent.size + spare
		return isWanted ? ahead / 2 : ahead
	}

	/** Waiting for company ends early enough for the backlog to drain. */
	private isWorthwhile(spare: LoadDemand, query: NextLoadQuery): boolean {
		const drainMs = (this.spare.size * 1000) / query.loadsPerSecond
		if (spare.readyAt - drainMs <= query.now) return true
		if (spare.count >= minCompany) return true
		return query.isIdle && this.prefersStarts
	}

	private dropAside(adapter: AdapterName): void {
		if (this.aside.length === 0) return
		this.aside = this.aside.filter(demand => demand.adapter !== adapter)
	}

	private setAside(skipped: readonly AdapterName[]): void {
		for (const heap of [this.urgent, this.spare]) {
			const demand = heap.peek()
			if (!demand || !skipped.includes(demand.adapter)) continue
			heap.pop()
			this.aside.push(demand)
		}
	}
}

function getPriority(demand: LoadDemand): number {
	const eachMs = demand.isUrgent ? companyMs : deferrableCompanyMs
	return demand.readyAt - eachMs * (demand.count - 1)
}
