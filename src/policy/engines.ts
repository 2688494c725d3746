/**
 * The scheduler's state of the engines of one host: which of them are up, the
 * adapters that are resident or loading on each, and the running requests.
 */
import {countFreeSeats, createWorker, isResident, SlotState} from "./slots.js"
import type {Run, Slot, Worker} from "./slots.js"
import type {AdapterName, Draft} from "./types.js"

export interface EnginesOptions {
	workers: readonly string[]
	slots: number
	seats: number
}

/** Adapters and unfinished loads that were lost in an engine's cold restart. */
export interface ColdRestartLosses {
	adapters: AdapterName[]
	/** Number of loads that were in progress. */
	loads: number
}

export class Engines {
	private readonly workers = new Map<string, Worker>()
	private nextLoadNumber = 1

	constructor(options: EnginesOptions) {
		for (const id of options.workers) {
			this.workers.set(id, createWorker(id, options.slots, options.seats))
		}
	}

	get size(): number {
		return this.workers.size
	}

	get(id: string): Worker | undefined {
		return this.workers.get(id)
	}

	all(): IterableIterator<Worker> {
		return this.workers.values()
	}

	listUp(): Worker[] {
		return [...this.workers.values()].filter(worker => worker.isUp)
	}

	isAnyUp(): boolean {
		for (const worker of this.workers.values()) if (worker.isUp) return true
		return false
	}

	/** Sets slots and seats of every engine; runs and loaded adapters stay. */
	resize(slots: number, seats: number): void {
		for (const worker of this.workers.values()) {
			worker.capacity = slots
			worker.seats = seats
		}
	}

	/** Whether the adapter is resident or loading on a worker that is up. */
	hasCopy(adapter: AdapterName): boolean {
		for (const worker of this.workers.values()) {
			if (worker.isUp && worker.slots.has(adapter)) return true
		}
		return false
	}

	isResident(adapter: AdapterName): boolean {
		return this.listUp().some(worker => isResident(worker, adapter))
	}

	isLoading(adapter: AdapterName): boolean {
		return this.listUp().some(
			worker => worker.slots.get(adapter)?.state === SlotState.Loading
		)
	}

	countSeats(): number {
		return sum(this.listUp(), worker => worker.seats)
	}

	countFreeSeats(): number {
		return sum(this.workers.values(), countFreeSeats)
	}

	countRuns(): number {
		return sum(this.workers.values(), worker => worker.runs.size)
	}

	/** Adapters with a slot in `state` on any worker that is up. */
	listAdapters(state: SlotState): AdapterName[] {
		const slots = this.listUp().flatMap(worker => [...worker.slots.values()])
		const chosen = slots.filter(slot => slot.state === state)
		return [...new Set(chosen.map(slot => slot.adapter))]
	}

	/** Time from the arrival until the first copy of the adapter was resident. */
	getLoadStallMs(draft: Draft): number {
		let residentAt = Infinity
		for (const worker of this.workers.values()) {
			if (!worker.isUp || !isResident(worker, draft.adapter)) continue
			const loadedAt = worker.slots.get(draft.adapter)?.loadedAt ?? Infinity
			residentAt = Math.min(residentAt, loadedAt)
		}
		return Math.max(0, residentAt - draft.arrivedAt)
	}

	startRun(worker: Worker, draft: Draft, now: number): void {
		const slot = worker.slots.get(draft.adapter)
		if (slot) slot.pins += 1
		worker.runs.set(draft.id, {draft, startedAt: now, isCancelled: false})
	}

	/** Frees the run's seat and pin; undefined if there is no such run. */
	endRun(workerId: string, id: string): Run | undefined {
		const worker = this.workers.get(workerId)
		const run = worker?.runs.get(id)
		if (!worker || !run) return undefined
		worker.runs.delete(id)
		const slot = worker.slots.get(run.draft.adapter)
		if (slot) slot.pins -= 1
		return run
	}

	hasRun(id: string): boolean {
		for (const worker of this.workers.values()) {
			if (worker.runs.has(id)) return true
		}
		return false
	}

	/** Marks a run as cancelled, which keeps its time out of the estimates. */
	cancelRun(id: string): void {
		for (const worker of this.workers.values()) {
			const run = worker.runs.get(id)
			if (run) run.isCancelled = true
		}
	}

	/** Removes the evicted adapter and adds a loading slot for the new one. */
	startLoad(
		worker: Worker,
		adapter: AdapterName,
		evict: AdapterName | undefined
	): Slot {
		if (evict !== undefined) worker.slots.delete(evict)
		const slot = {
			adapter,
			state: SlotState.Loading,
			pins: 0,
			loadedAt: Infinity,
			load: this.nextLoadNumber++
		}
		worker.slots.set(adapter, slot)
		return slot
	}

	/** Clears the slots and runs of a worker after a cold restart. */
	reset(worker: Worker): ColdRestartLosses {
		const slots = [...worker.slots.values()]
		const loading = slots.filter(slot => slot.state === SlotState.Loading)
		worker.slots.clear()
		worker.runs.clear()
		return {adapters: slots.map(slot => slot.adapter), loads: loading.length}
	}
}

export function sum<T>(
	items: Iterable<T>,
	measure: (item: T) => number
): number {
	let total = 0
	for (const item of items) total += measure(item)
	return total
}
