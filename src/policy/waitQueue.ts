/**
 * Requests that wait, by adapter, with the timers that release, promote and
 * expire them. Every operation is logarithmic in the number of requests.
 */
import {KeyedHeap} from "./keyedHeap.js"
import {RequestClass} from "./types.js"
import type {AdapterName, Draft} from "./types.js"

export interface Waiting {
	draft: Draft
	/** Order of service; the lowest goes first. */
	rank: number
	/** Time until which it may be held back for company. */
	readyAt: number
	/** Time from which a deferrable request no longer gives way. */
	dueAt: number
	/** Latest start that still meets the deadline. */
	startBy: number
	isHeld: boolean
}

interface AdapterQueue {
	ready: KeyedHeap<Waiting>
	held: KeyedHeap<Waiting>
	/** Earliest `readyAt` of the requests since the queue was empty. */
	readyAt: number
}

/** Larger than any time in milliseconds since the Unix epoch in use. */
const rankPerClass = 1e13

/** Order of service by class, then by time. */
export function getRank(requestClass: RequestClass, at: number): number {
	return requestClass * rankPerClass + at
}

/** True for requests that don't give way, or no longer do. */
export function isUrgentRank(rank: number): boolean {
	return rank < getRank(RequestClass.Deferrable, 0)
}

export class WaitQueue {
	private readonly byId = new Map<string, Waiting>()
	private readonly byAdapter = new Map<AdapterName, AdapterQueue>()
	private readonly timers = new KeyedHeap<Waiting>()
	private readonly expiry = new KeyedHeap<Waiting>()
	private readonly byLeastRank = new KeyedHeap<Waiting>()

	get size(): number {
		return this.byId.size
	}

	get(id: string): Waiting | undefined {
		return this.byId.get(id)
	}

	all(): IterableIterator<Waiting> {
		return this.byId.values()
	}

	adapters(): IterableIterator<AdapterName> {
		return this.byAdapter.keys()
	}

	add(waiting: Waiting): void {
		const {id, adapter} = waiting.draft
		this.byId.set(id, waiting)
		const queue = this.getQueue(adapter)
		queue.readyAt = Math.min(queue.readyAt, waiting.readyAt)
		this.insert(queue, waiting)
		this.expiry.set(id, waiting, waiting.startBy)
		this.byLeastRank.set(id, waiting, -waiting.rank)
		this.setTimer(waiting)
	}

	remove(id: string): Waiting | undefined {
		const waiting = this.byId.get(id)
		if (!waiting) return undefined
		this.byId.delete(id)
		this.expiry.delete(id)
		this.byLeastRank.delete(id)
		this.timers.delete(id)
		this.detach(waiting)
		return waiting
	}

	count(adapter: AdapterName): number {
		const queue = this.byAdapter.get(adapter)
		return queue ? queue.ready.size + queue.held.size : 0
	}

	countReady(adapter: AdapterName): number {
		return this.byAdapter.get(adapter)?.ready.size ?? 0
	}

	countHeld(adapter: AdapterName): number {
		return this.byAdapter.get(adapter)?.held.size ?? 0
	}

	/** The first request that is not held back. */
	firstReady(adapter: AdapterName): Waiting | undefined {
		return this.byAdapter.get(adapter)?.ready.peek()
	}

	firstHeld(adapter: AdapterName): Waiting | undefined {
		return this.byAdapter.get(adapter)?.held.peek()
	}

	/** The first request, held back only when all are. */
	first(adapter: AdapterName): Waiting | undefined {
		return this.firstReady(adapter) ?? this.firstHeld(adapter)
	}

	/** Earliest time at which a request of the adapter should be served. */
	readyAt(adapter: AdapterName): number {
		return this.byAdapter.get(adapter)?.readyAt ?? Infinity
	}

	requestsOf(adapter: AdapterName): Waiting[] {
		const queue = this.byAdapter.get(adapter)
		return queue ? [...queue.ready.values(), ...queue.held.values()] : []
	}

	/** The request that goes last. */
	last(): Waiting | undefined {
		return this.byLeastRank.peek()
	}

	/** Releases and promotes what is due, and returns it. */
	advance(now: number): Waiting[] {
		const moved: Waiting[] = []
		while ((this.timers.peekPriority() ?? Infinity) <= now) {
			const waiting = this.timers.pop()
			if (!waiting) break
			this.promote(waiting, now)
			moved.push(waiting)
		}
		return moved
	}

	/** A request whose latest start has passed. */
	firstExpired(now: number): Waiting | undefined {
		const at = this.expiry.peekPriority() ?? Infinity
		return at < now ? this.expiry.peek() : undefined
	}

	/** Time of the next release, promotion or expiry. */
	nextAt(): number {
		const timer = this.timers.peekPriority() ?? Infinity
		const expiry = this.expiry.peekPriority() ?? Infinity
		return Math.min(timer, expiry + 1)
	}

	private promote(waiting: Waiting, now: number): void {
		const queue = this.getQueue(waiting.draft.adapter)
		this.extract(queue, waiting)
		waiting.isHeld = false
		if (now >= waiting.dueAt) {
			const at = waiting.rank % rankPerClass
			waiting.rank = getRank(RequestClass.Interactive, at)
			waiting.readyAt = waiting.dueAt
			this.byLeastRank.set(waiting.draft.id, waiting, -waiting.rank)
		}
		this.insert(queue, waiting)
		this.setTimer(waiting)
	}

	private setTimer(waiting: Waiting): void {
		const {id} = waiting.draft
		if (waiting.isHeld) this.timers.set(id, waiting, waiting.readyAt)
		else if (!isUrgentRank(waiting.rank))
			this.timers.set(id, waiting, waiting.dueAt)
	}

	private insert(queue: AdapterQueue, waiting: Waiting): void {
		const heap = waiting.isHeld ? queue.held : queue.ready
		heap.set(waiting.draft.id, waiting, waiting.rank)
	}

	private extract(queue: AdapterQueue, waiting: Waiting): void {
		const heap = waiting.isHeld ? queue.held : queue.ready
		heap.delete(waiting.draft.id)
	}

	private detach(waiting: Waiting): void {
		const {adapter} = waiting.draft
		const queue = this.getQueue(adapter)
		this.extract(queue, waiting)
		const isEmpty = queue.ready.size + queue.held.size === 0
		if (isEmpty) this.byAdapter.delete(adapter)
	}

	private getQueue(adapter: AdapterName): AdapterQueue {
		const known = this.byAdapter.get(adapter)
		if (known) return known
		const queue = {
			ready: new KeyedHeap<Waiting>(),
			held: new KeyedHeap<Waiting>(),
			readyAt: Infinity
		}
		this.byAdapter.set(adapter, queue)
		return queue
	}
}
