/**
 * Plans the next order for an engine: first a missing base model, then newer
 * versions of resident adapters, then adapters that requests wait for.
 */
import {slotKey} from "../../contract/fleet.js"
import {type EngineLimits, type EngineOrder, OrderKind} from "./types.js"

/** Limit of the platform's engines on adapters that load at the same time. */
const maxLoadingAdapters = 4
/** For this long after a newer version is announced, requests may still start on
 * the resident one. */
export const outdatedVersionGraceMs = 1500

/** An occupied slot of the engine; its adapter is resident or loading. */
export interface AdapterSlot {
	model: string
	adapter: string
	version: number
	isReady: boolean
	/** Expected end of the load. */
	readyAt: number
	loadStartedAt: number
	isFromWeightStore: boolean
	isUnloading: boolean
}

export interface NewestVersion {
	version: number
	/** Earliest time at which it was announced, as far as gateways know. */
	announcedAt: number
}

/** The adapter, or with an empty name the base model, that a request needs. */
export interface AdapterDemand {
	model: string
	adapter: string
}

/** State of the engine that a plan depends on. */
export interface PlanView {
	sequence: number
	limits: EngineLimits | undefined
	/** Resident base models. */
	models: ReadonlySet<string>
	slots: ReadonlyMap<string, AdapterSlot>
	newestVersions: ReadonlyMap<string, NewestVersion>
	isPinned(key: string): boolean
	/** Decayed count of recent uses. */
	countUses(key: string): number
}

export interface PlanOptions {
	now: number
	mayEvict: boolean
}

/** The next order, or undefined if none is needed or possible. */
export function planOrder(
	view: PlanView,
	demands: readonly AdapterDemand[],
	{now, mayEvict}: PlanOptions
): EngineOrder | undefined {
	const order = planBaseModelLoad(view, demands) ?? planVersionUpdate(view, now)
	return order ?? planAdapterLoad(view, demands, mayEvict)
}

function planBaseModelLoad(
	{limits, models, sequence}: PlanView,
	demands: readonly AdapterDemand[]
): EngineOrder | undefined {
	if (limits === undefined) return undefined
	const wanted = demands.find(({model}) => !models.has(model))?.model
	const first = models.size > 0 ? undefined : limits.models[0]?.name
	const model = limits.models.find(({name}) => name === (wanted ?? first))
	if (model === undefined) return undefined
	const loadedMb = limits.models
		.filter(({name}) => models.has(name))
		.reduce((sum, {weightsMb}) => sum + weightsMb, 0)
	const adaptersMb = limits.adapterSlots * model.adapterMb
	const neededMb = loadedMb + model.weightsMb + adaptersMb
	if (neededMb > limits.weightsMb) return undefined
	return {
		kind: OrderKind.Load,
		model: model.name,
		adapter: "",
		version: 0,
		expectedSequence: sequence
	}
}

function planVersionUpdate(
	view: PlanView,
	now: number
): EngineOrder | undefined {
	for (const [key, slot] of view.slots) {
		const newest = view.newestVersions.get(key)
		if (newest === undefined || !slot.isReady || slot.isUnloading) continue
		if (slot.version >= newest.version) continue
		// Within the grace period only an unpinned adapter is replaced. After it, no
		// requests are granted on the old version, and the engine replaces it once its
		// runs have ended.
		const isDue =
			!view.isPinned(key) || now > newest.announcedAt + outdatedVersionGraceMs
		if (!isDue || countLoading(view) >= maxLoadingAdapters) continue
		const {model, adapter} = slot
		const {version} = newest
		const expectedSequence = view.sequence
		return {kind: OrderKind.Load, model, adapter, version, expectedSequence}
	}
	return undefined
}

function planAdapterLoad(
	view: PlanView,
	demands: readonly AdapterDemand[],
	mayEvict: boolean
): EngineOrder | undefined {
	const capacity = view.limits?.adapterSlots ?? 0
	const expectedSequence = view.sequence
	for (const {model, adapter} of demands) {
		if (adapter === "" || !view.models.has(model)) continue
		const key = slotKey(model, adapter)
		if (view.slots.has(key)) continue
		if (countLoading(view) >= maxLoadingAdapters) return undefined
		if (view.slots.size < capacity) {
			const version = view.newestVersions.get(key)?.version ?? 0
			return {kind: OrderKind.Load, model, adapter, version, expectedSequence}
		}
		const victim = mayEvict ? findVictim(view, demands) : undefined
		if (victim === undefined) return undefined
		return {
			kind: OrderKind.Unload,
			model: victim.model,
			adapter: victim.adapter,
			version: 0,
			expectedSequence
		}
	}
	return undefined
}

/** The least used resident adapter that no request has pinned or waits for. */
function findVictim(
	view: PlanView,
	demands: readonly AdapterDemand[]
): AdapterSlot | undefined {
	// An unload in progress will free a slot, so no second victim is needed.
	if ([...view.slots.values()].some(slot => slot.isUnloading)) return undefined
	const wanted = new Set(demands.map(d => slotKey(d.model, d.adapter)))
	let victim: AdapterSlot | undefined
	let least = Number.POSITIVE_INFINITY
	for (const [key, slot] of view.slots) {
		if (!slot.isReady || view.isPinned(key) || wanted.has(key)) continue
		const uses = view.countUses(key)
		if (uses >= least) continue
		least = uses
		victim = slot
	}
	return victim
}

function countLoading({slots}: PlanView): number {
	let count = 0
	for (const slot of slots.values()) if (!slot.isReady) count += 1
	return count
}
