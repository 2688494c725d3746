/**
 * The order of runs on one worker: by class, then by deadline and fair share.
 * Deferrable requests that are held back start when they fill a batch, when
 * their adapter was loaded for them, or when its slot is wanted.
 */
import {SlotState} from "./slots.js"
import type {Worker} from "./slots.js"
import type {Waiting, WaitQueue} from "./waitQueue.js"

export interface RunQuery {
	/** Running requests from which held ones may join a batch. */
	fillTarget: number
	/** True when other adapters wait for a slot. */
	isSlotWanted: boolean
}

/** The request to start next on the worker, if any should start. */
export function chooseRun(
	worker: Worker,
	queue: WaitQueue,
	query: RunQuery
): Waiting | undefined {
	let first: Waiting | undefined
	let held: Waiting | undefined
	let countHeld = 0
	for (const slot of worker.slots.values()) {
		if (slot.state !== SlotState.Resident) continue
		first = getFirst(first, queue.firstReady(slot.adapter))
		held = getFirst(held, queue.firstHeld(slot.adapter))
		countHeld += queue.countHeld(slot.adapter)
	}
	if (first || !held) return first
	if (query.isSlotWanted || isLoadedFor(worker, held)) return held
	const batch = Math.min(worker.seats, worker.runs.size + countHeld)
	return batch >= query.fillTarget ? held : undefined
}

function isLoadedFor(worker: Worker, held: Waiting): boolean {
	const slot = worker.slots.get(held.draft.adapter)
	return slot !== undefined && slot.loadedAt > held.draft.arrivedAt
}

function getFirst(
	a: Waiting | undefined,
	b: Waiting | undefined
): Waiting | undefined {
	if (!a || !b) return a ?? b
	return b.rank < a.rank ? b : a
}
