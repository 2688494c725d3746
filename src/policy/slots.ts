/**
 * Adapter slots and seats of the engines of one host, and the choice of an
 * engine, and of an adapter to evict, for a load.
 */
import type {AdapterName, Draft} from "./types.js"

export enum SlotState {
	Loading = "loading",
	Resident = "resident"
}

export interface Slot {
	adapter: AdapterName
	state: SlotState
	/** Running requests of the adapter; a slot with any is never evicted. */
	pins: number
	/** Infinite while the adapter is loading. */
	loadedAt: number
	/** Sequence number of the load into the slot; 0 for an adopted adapter. */
	load: number
}

export interface Run {
	draft: Draft
	startedAt: number
	isCancelled: boolean
}

/** One engine: its slots, seats and running requests. */
export interface Worker {
	id: string
	isUp: boolean
	seats: number
	capacity: number
	slots: Map<AdapterName, Slot>
	runs: Map<string, Run>
}

/** The worker for a load, and the slot to evict if none is free. */
export interface Placement {
	worker: Worker
	evict: Slot | undefined
}

/** The adapter to place, and the data that rank workers and victims. */
export interface PlacementQuery {
	adapter: AdapterName
	/** Decayed use count of an adapter. */
	getPopularity: (adapter: AdapterName) => number
	/** Rank of the adapter's first queued request; undefined if it has none. */
	getRank: (adapter: AdapterName) => number | undefined
	hasFailedOn: (worker: string) => boolean
}

// Placement costs, each of which outweighs the smaller ones and the popularity.
const waitedForPenalty = 1e6
const noFreeSeatPenalty = 1e9
const failedLoadPenalty = 1e12

export function createWorker(
	id: string,
	capacity: number,
	seats: number
): Worker {
	return {
		id,
		isUp: true,
		seats,
		capacity,
		slots: new Map(),
		runs: new Map()
	}
}

/**
 * Adds slots for adapters that the engine reports as loaded and that have none
 * here, as after a restart of this process; only free slots are filled. Returns
 * the adapters added.
 */
export function adoptResident(
	worker: Worker,
	resident: readonly AdapterName[],
	now: number
): AdapterName[] {
	const unrecorded = resident.filter(adapter => !worker.slots.has(adapter))
	const adopted = unrecorded.slice(0, worker.capacity - worker.slots.size)
	for (const adapter of adopted) {
		const state = SlotState.Resident
		worker.slots.set(adapter, {adapter, state, pins: 0, loadedAt: now, load: 0})
	}
	return adopted
}

export function countFreeSeats(worker: Worker): number {
	return worker.isUp ? Math.max(0, worker.seats - worker.runs.size) : 0
}

export function isResident(worker: Worker, adapter: AdapterName): boolean {
	return worker.slots.get(adapter)?.state === SlotState.Resident
}

/** The placement with the lowest cost; undefined if no worker has a usable slot. */
export function choosePlacement(
	workers: Iterable<Worker>,
	query: PlacementQuery
): Placement | undefined {
	let best: Placement | undefined
	let bestCost = Infinity
	for (const worker of workers) {
		const option = findPlacement(worker, query)
		if (!option) continue
		const cost = getPlacementCost(option, query)
		if (cost >= bestCost) continue
		best = option
		bestCost = cost
	}
	return best
}

function findPlacement(
	worker: Worker,
	query: PlacementQuery
): Placement | undefined {
	if (!worker.isUp || worker.slots.has(query.adapter)) return undefined
	if (worker.slots.size < worker.capacity) return {worker, evict: undefined}
	const evict = chooseVictim(worker, query)
	return evict ? {worker, evict} : undefined
}

function getPlacementCost(option: Placement, query: PlacementQuery): number {
	const {worker, evict} = option
	const failureCost = query.hasFailedOn(worker.id) ? failedLoadPenalty : 0
	const seatCost = countFreeSeats(worker) === 0 ? noFreeSeatPenalty : 0
	const evictionCost = evict ? 1 + getEvictionCost(evict, query) : 0
	return (
		failureCost +
		seatCost +
		evictionCost +
		worker.slots.size / (worker.capacity + 1)
	)
}

function chooseVictim(worker: Worker, query: PlacementQuery): Slot | undefined {
	let victim: Slot | undefined
	let lowestCost = Infinity
	for (const slot of worker.slots.values()) {
		if (!isEvictable(slot, query)) continue
		const cost = getEvictionCost(slot, query)
		if (cost >= lowestCost) continue
		victim = slot
		lowestCost = cost
	}
	return victim
}

/** Pinned and loading adapters are not evictable. One that queued requests need is
 * evictable only if the new adapter's first request ranks before theirs. */
function isEvictable(slot: Slot, query: PlacementQuery): boolean {
	if (slot.state === SlotState.Loading || slot.pins > 0) return false
	const residentRank = query.getRank(slot.adapter)
	if (residentRank === undefined) return true
	const rank = query.getRank(query.adapter)
	return rank !== undefined && rank < residentRank
}

function getEvictionCost(slot: Slot, query: PlacementQuery): number {
	const isWaitedFor = query.getRank(slot.adapter) !== undefined
	return (
		query.getPopularity(slot.adapter) + (isWaitedFor ? waitedForPenalty : 0)
	)
}
