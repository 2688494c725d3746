/**
 * Chooses the next request to run on a worker: by class, then by deadline and
 * fair share. Deferrable requests that are held back for batching run only if no
 * other request can and one of these holds: they and the running requests make up
 * a batch, their adapter was loaded after they arrived, or other adapters wait to
 * be loaded.
 */
import {SlotState} from "./slots.js"
import type {Worker} from "./slots.js"
import type {QueuedRequest, WaitQueue} from "./waitQueue.js"

export interface RunQuery {
	/** Number of running plus held-back requests at which held-back ones start. */
	minBatchSize: number
	/** True when other adapters wait to be loaded. */
	hasLoadDemand: boolean
}

/** The request to start next on the worker, if any should start. */
export function chooseRun(
	worker: Worker,
	queue: WaitQueue,
	query: RunQuery
): QueuedRequest | undefined {
	let first: QueuedRequest | undefined
	let heldBack: QueuedRequest | undefined
	let heldBackCount = 0
	for (const slot of worker.slots.values()) {
		if (slot.state !== SlotState.Resident) continue
		first = getLowerRank(first, queue.getFirstReady(slot.adapter))
		heldBack = getLowerRank(heldBack, queue.getFirstHeldBack(slot.adapter))
		heldBackCount += queue.countHeldBack(slot.adapter)
	}
	if (first || !heldBack) return first
	if (query.hasLoadDemand || isLoadedFor(worker, heldBack)) return heldBack
	const batchSize = Math.min(worker.seats, worker.runs.size + heldBackCount)
	return batchSize >= query.minBatchSize ? heldBack : undefined
}

/** Whether the adapter became resident after the request had arrived. */
function isLoadedFor(worker: Worker, waiting: QueuedRequest): boolean {
	const slot = worker.slots.get(waiting.draft.adapter)
	return slot !== undefined && slot.loadedAt > waiting.draft.arrivedAt
}

function getLowerRank(
	a: QueuedRequest | undefined,
	b: QueuedRequest | undefined
): QueuedRequest | undefined {
	if (!a || !b) return a ?? b
	return b.rank < a.rank ? b : a
}
