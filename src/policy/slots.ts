/**
 * The adapter slots and seats of the engines of one host, and which adapter
 * gives up its slot for another.
 */
import type {AdapterName, Draft} from "./types.js"

export enum SlotState {
	Loading = "loading",
	Resident = "resident"
}

export interface Slot {
	adapter: AdapterName
	state: SlotState
	/** Running requests; a slot with any is never evicted. */
	pins: number
	loadedAt: number
	/** Number of the load that fills the slot. */
	load: number
}

export interface Run {
	draft: Draft
	startedAt: number
	isCancelled: boolean
}

export interface Worker {
	id: string
	isUp: boolean
	seats: number
	capacity: number
	slots: Map<AdapterName, Slot>
	runs: Map<string, Run>
}

/** A worker with room for a load, and the adapter evicted for it. */
export interface Placement {
	worker: Worker
	evict: Slot | undefined
}

/** What a placement depends on besides the workers. */
export interface PlacementQuery {
	adapter: AdapterName
	/** Decayed use count of an adapter. */
	popularity: (adapter: AdapterName) => number
	/** Rank of the first waiting request, undefined when none waits. */
	rankOf: (adapter: AdapterName) => number | undefined
	hasFailedOn: (worker: string) => boolean
}

const waitingPenalty = 1e6
const fullPenalty = 1e9
const failedPenalty = 1e12

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
 * Takes over the adapters that an engine holds from before its scheduler knew
 * it, as far as slots are left; returns those taken over.
 */
export function adoptResident(
	worker: Worker,
	resident: readonly AdapterName[],
	now: number
): AdapterName[] {
	const unknown = resident.filter(adapter => !worker.slots.has(adapter))
	const adopted = unknown.slice(0, worker.capacity - worker.slots.size)
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

/** The worker and the victim that lose least by a load; undefined if none can. */
export function choosePlacement(
	workers: Iterable<Worker>,
	query: PlacementQuery
): Placement | undefined {
	let best: Placement | undefined
	let bestCost = Infinity
	for (const worker of workers) {
		const option = findRoom(worker, query)
		if (!option) continue
		const cost = getPlacementCost(option, query)
		if (cost >= bestCost) continue
		best = option
		bestCost = cost
	}
	return best
}

function findRoom(
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
	const failed = query.hasFailedOn(worker.id) ? failedPenalty : 0
	const full = countFreeSeats(worker) === 0 ? fullPenalty : 0
	const lost = evict ? 1 + getSlotValue(evict, query) : 0
	return failed + full + lost + worker.slots.size / (worker.capacity + 1)
}

function chooseVictim(worker: Worker, query: PlacementQuery): Slot | undefined {
	let victim: Slot | undefined
	let least = Infinity
	for (const slot of worker.slots.values()) {
		if (!isEvictable(slot, query)) continue
		const value = getSlotValue(slot, query)
		if (value >= least) continue
		victim = slot
		least = value
	}
	return victim
}

function isEvictable(slot: Slot, query: PlacementQuery): boolean {
	if (slot.state === SlotState.Loading || slot.pins > 0) return false
	const waiting = query.rankOf(slot.adapter)
	if (waiting === undefined) return true
	const rank = query.rankOf(query.adapter)
	return rank !== undefined && rank < waiting
}

function getSlotValue(slot: Slot, query: PlacementQuery): number {
	const isWaitedFor = query.rankOf(slot.adapter) !== undefined
	return query.popularity(slot.adapter) + (isWaitedFor ? waitingPenalty : 0)
}
