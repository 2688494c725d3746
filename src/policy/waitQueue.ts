/**
 * The queued requests by adapter, with timers that release requests held back
 * for batching, promote deferrable ones and expire late ones. Every operation is
 * logarithmic in the number of requests.
 */
import {KeyedHeap} from "./keyedHeap.js"
import {RequestClass} from "./types.js"
import type {AdapterName, Draft} from "./types.js"

/** A queued request. */
export interface QueuedRequest {
	draft: Draft
	/** Order of service; the lowest rank runs first. */
	rank: number
	/** Time at which the request should be served; adapters are loaded in the order
	 * of this time. A deferrable request may be held back until then, to be batched
	 * with other requests for its adapter. */
	readyAt: number
	/** Time at which a deferrable request is promoted to the interactive class. */
	promoteAt: number
	/** Latest start that can meet the deadline; the request expires after it. */
	startBy: number
	/** True until `readyAt` for a deferrable request that waits for a batch. */
	isHeldBack: boolean
}

interface AdapterQueue {
	ready: KeyedHeap<QueuedRequest>
	heldBack: KeyedHeap<QueuedRequest>
	/** Earliest `readyAt` on arrival of any request since the adapter's queue was
	 * last empty. */
	readyAt: number
}

/** Larger than any deadline in Unix milliseconds (until the year 2286) plus the
 * fair-share lag, so that classes don't overlap. */
const classRankSpan = 1e13

/** Rank by class, then by deadline. */
export function getRank(requestClass: RequestClass, deadline: number): number {
	return requestClass * classRankSpan + deadline
}

/** True for every class but deferrable, and for promoted deferrable requests. */
export function isUrgentRank(rank: number): boolean {
	return rank < getRank(RequestClass.Deferrable, 0)
}

export class WaitQueue {
	private readonly byId = new Map<string, QueuedRequest>()
	private readonly byAdapter = new Map<AdapterName, AdapterQueue>()
	private readonly dueTimers = new KeyedHeap<QueuedRequest>()
	private readonly expiryTimers = new KeyedHeap<QueuedRequest>()
	private readonly byDescendingRank = new KeyedHeap<QueuedRequest>()

	get size(): number {
		return this.byId.size
	}

	get(id: string): QueuedRequest | undefined {
		return this.byId.get(id)
	}

	all(): IterableIterator<QueuedRequest> {
		return this.byId.values()
	}

	adapters(): IterableIterator<AdapterName> {
		return this.byAdapter.keys()
	}

	add(waiting: QueuedRequest): void {
		const {id, adapter} = waiting.draft
		this.byId.set(id, waiting)
		const queue = this.getQueue(adapter)
		queue.readyAt = Math.min(queue.readyAt, waiting.readyAt)
		this.addToHeap(queue, waiting)
		this.expiryTimers.set(id, waiting, waiting.startBy)
		this.byDescendingRank.set(id, waiting, -waiting.rank)
		this.setTimer(waiting)
	}

	remove(id: string): QueuedRequest | undefined {
		const waiting = this.byId.get(id)
		if (!waiting) return undefined
		this.byId.delete(id)
		this.expiryTimers.delete(id)
		this.byDescendingRank.delete(id)
		this.dueTimers.delete(id)
		this.removeFromAdapter(waiting)
		return waiting
	}

	count(adapter: AdapterName): number {
		const queue = this.byAdapter.get(adapter)
		return queue ? queue.ready.size + queue.heldBack.size : 0
	}

	countReady(adapter: AdapterName): number {
		return this.byAdapter.get(adapter)?.ready.size ?? 0
	}

	countHeldBack(adapter: AdapterName): number {
		return this.byAdapter.get(adapter)?.heldBack.size ?? 0
	}

	/** The first request that is not held back. */
	getFirstReady(adapter: AdapterName): QueuedRequest | undefined {
		return this.byAdapter.get(adapter)?.ready.peek()
	}

	getFirstHeldBack(adapter: AdapterName): QueuedRequest | undefined {
		return this.byAdapter.get(adapter)?.heldBack.peek()
	}

	/** The first request that is not held back, or else the first held-back one. */
	getFirst(adapter: AdapterName): QueuedRequest | undefined {
		return this.getFirstReady(adapter) ?? this.getFirstHeldBack(adapter)
	}

	/** Earliest `readyAt` on arrival of any request since the adapter's queue was
	 * last empty; infinite if it is empty now. */
	getReadyAt(adapter: AdapterName): number {
		return this.byAdapter.get(adapter)?.readyAt ?? Infinity
	}

	listRequests(adapter: AdapterName): QueuedRequest[] {
		const queue = this.byAdapter.get(adapter)
		return queue ? [...queue.ready.values(), ...queue.heldBack.values()] : []
	}

	/** The request with the highest rank, which would run last. */
	getLast(): QueuedRequest | undefined {
		return this.byDescendingRank.peek()
	}

	/** Releases or promotes the requests whose timers are due, and returns them. */
	releaseDue(now: number): QueuedRequest[] {
		const moved: QueuedRequest[] = []
		while ((this.dueTimers.peekPriority() ?? Infinity) <= now) {
			const waiting = this.dueTimers.pop()
			if (!waiting) break
			this.releaseOrPromote(waiting, now)
			moved.push(waiting)
		}
		return moved
	}

	/** A request whose latest start has passed. */
	getFirstExpired(now: number): QueuedRequest | undefined {
		const at = this.expiryTimers.peekPriority() ?? Infinity
		return at < now ? this.expiryTimers.peek() : undefined
	}

	/** Time at which the next release, promotion or expiry is due. */
	getNextTimerAt(): number {
		const timer = this.dueTimers.peekPriority() ?? Infinity
		const expiry = this.expiryTimers.peekPriority() ?? Infinity
		return Math.min(timer, expiry + 1)
	}

	private releaseOrPromote(waiting: QueuedRequest, now: number): void {
		const queue = this.getQueue(waiting.draft.adapter)
		this.removeFromHeap(queue, waiting)
		waiting.isHeldBack = false
		if (now >= waiting.promoteAt) {
			const deadlineWithLag = waiting.rank % classRankSpan
			waiting.rank = getRank(RequestClass.Interactive, deadlineWithLag)
			waiting.readyAt = waiting.promoteAt
			this.byDescendingRank.set(waiting.draft.id, waiting, -waiting.rank)
		}
		this.addToHeap(queue, waiting)
		this.setTimer(waiting)
	}

	private setTimer(waiting: QueuedRequest): void {
		const {id} = waiting.draft
		if (waiting.isHeldBack) this.dueTimers.set(id, waiting, waiting.readyAt)
		else if (!isUrgentRank(waiting.rank))
			this.dueTimers.set(id, waiting, waiting.promoteAt)
	}

	private addToHeap(queue: AdapterQueue, waiting: QueuedRequest): void {
		const heap = waiting.isHeldBack ? queue.heldBack : queue.ready
		heap.set(waiting.draft.id, waiting, waiting.rank)
	}

	private removeFromHeap(queue: AdapterQueue, waiting: QueuedRequest): void {
		const heap = waiting.isHeldBack ? queue.heldBack : queue.ready
		heap.delete(waiting.draft.id)
	}

	private removeFromAdapter(waiting: QueuedRequest): void {
		const {adapter} = waiting.draft
		const queue = this.getQueue(adapter)
		this.removeFromHeap(queue, waiting)
		const isEmpty = queue.ready.size + queue.heldBack.size === 0
		if (isEmpty) this.byAdapter.delete(adapter)
	}

	private getQueue(adapter: AdapterName): AdapterQueue {
		const known = this.byAdapter.get(adapter)
		if (known) return known
		const queue = {
			ready: new KeyedHeap<QueuedRequest>(),
			heldBack: new KeyedHeap<QueuedRequest>(),
			readyAt: Infinity
		}
		this.byAdapter.set(adapter, queue)
		return queue
	}
}
