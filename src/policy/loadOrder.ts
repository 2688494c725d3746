/**
 * The order of loads: adapters by the time their requests have waited and by
 * the answers that a load gains. Adapters whose requests are all held back for
 * company form a second order that only spare capacity serves.
 */
import {KeyedHeap} from "./keyedHeap.js"
import type {AdapterName, Objective} from "./types.js"

export interface LoadDemand {
	adapter: AdapterName
	/** Waiting requests. */
	count: number
	/** Earliest time at which one of them should be served. */
	readyAt: number
	/** False when all are held back. */
	isReady: boolean
}

/** Time of waiting that each further request is worth. */
const companyMs = 4000
/** Part of the slack that a request for an answer at once may be held. */
const promptHoldShare = 0.25
const maxHoldShare = 0.9
/** Held requests that deserve a load of their own. */
const minCompany = 2

export class LoadOrder {
	private readonly holdShare: number
	private readonly ready = new KeyedHeap<LoadDemand>()
	private readonly held = new KeyedHeap<LoadDemand>()
	private readonly blocked = new KeyedHeap<AdapterName>()
	private aside: LoadDemand[] = []

	constructor(objective: Objective) {
		const total = objective.loadStalls + objective.batchEfficiency
		const share = total > 0 ? objective.batchEfficiency / total : 0
		this.holdShare = Math.min(maxHoldShare, share)
	}

	/** Adapters wanted, but neither loaded nor loading. */
	get size(): number {
		return this.ready.size + this.held.size
	}

	/** Part of its slack for which a request waits for company. */
	getHoldShare(isDeferrable: boolean): number {
		return isDeferrable ? this.holdShare : promptHoldShare
	}

	/** Running requests from which held ones may join a batch. */
	getFillTarget(seats: number): number {
		return Math.max(1, Math.floor(seats * this.holdShare))
	}

	set(demand: LoadDemand): void {
		const {adapter} = demand
		if (this.blocked.has(adapter)) return
		this.dropAside(adapter)
		if (demand.isReady) {
			this.held.delete(adapter)
			this.ready.set(adapter, demand, getPriority(demand))
			return
		}
		this.ready.delete(adapter)
		this.held.set(adapter, demand, getPriority(demand))
	}

	delete(adapter: AdapterName): void {
		this.ready.delete(adapter)
		this.held.delete(adapter)
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

	hasReady(): boolean {
		return this.ready.size > 0
	}

	/** The adapter to load next; `skipped` can't be placed now. */
	next(
		skipped: readonly AdapterName[],
		hasSpareLoads: boolean
	): AdapterName | undefined {
		this.setAside(skipped)
		const demand = this.ready.peek()
		if (demand) return demand.adapter
		const held = this.held.peek()
		const isWorthwhile = held !== undefined && held.count >= minCompany
		return hasSpareLoads && isWorthwhile ? held.adapter : undefined
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
	countAhead(adapter: AdapterName): number {
		return this.ready.has(adapter) ? this.ready.size / 2 : this.ready.size
	}

	private dropAside(adapter: AdapterName): void {
		if (this.aside.length === 0) return
		this.aside = this.aside.filter(demand => demand.adapter !== adapter)
	}

	private setAside(skipped: readonly AdapterName[]): void {
		for (const heap of [this.ready, this.held]) {
			const demand = heap.peek()
			if (!demand || !skipped.includes(demand.adapter)) continue
			heap.pop()
			this.aside.push(demand)
		}
	}
}

function getPriority(demand: LoadDemand): number {
	return demand.readyAt - companyMs * (demand.count - 1)
}
