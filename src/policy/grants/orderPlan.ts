/**
 * Plans the next order for an engine from what is believed of it: the base model
 * first, then versions that are due, then adapters that requests wait for.
 */
import {slotKey} from "../../contract/fleet.js"
import {type EngineLimits, type EngineOrder, OrderKind} from "./types.js"

/** Limit of the platform's engines on adapters in transit. */
const maxIncoming = 4
/** Runs of the old version may start for this long after a newer is known. */
export const versionGraceMs = 1500

/** An adapter slot of the engine, with what it holds or is about to hold. */
export interface AdapterSlot {
	model: string
	adapter: string
	version: number
	isReady: boolean
	/** Expected end of the load. */
	readyAt: number
	loadStartedAt: number
	isFromStore: boolean
	isUnloading: boolean
}

export interface NewestVersion {
	version: number
	/** Time at which it became known. */
	at: number
}

/** An adapter that a request waits for. */
export interface AdapterDemand {
	model: string
	adapter: string
}

/** What a plan is made from. */
export interface PlanView {
	sequence: number
	limits: EngineLimits | undefined
	/** Base models that the engine holds. */
	models: ReadonlySet<string>
	slots: ReadonlyMap<string, AdapterSlot>
	newest: ReadonlyMap<string, NewestVersion>
	isPinned(key: string): boolean
	/** Decayed count of recent uses. */
	countUses(key: string): number
}

export interface PlanOptions {
	now: number
	mayEvict: boolean
}

/** The next order, or undefined when none is needed or possible. */
export function planOrder(
	view: PlanView,
	demands: readonly AdapterDemand[],
	{now, mayEvict}: PlanOptions
): EngineOrder | undefined {
	const order = planBaseLoad(view, demands) ?? planReplacement(view, now)
	return order ?? planAdapterLoad(view, demands, mayEvict)
}

function planBaseLoad(
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

function planReplacement(view: PlanView, now: number): EngineOrder | undefined {
	for (const [key, slot] of view.slots) {
		const newest = view.newest.get(key)
		if (newest === undefined || !slot.isReady || slot.isUnloading) continue
		if (slot.version >= newest.version) continue
		const isDue = !view.isPinned(key) || now > newest.at + versionGraceMs
		if (!isDue || countIncoming(view) >= maxIncoming) continue
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
		if (countIncoming(view) >= maxIncoming) return undefined
		if (view.slots.size < capacity) {
			const version = view.newest.get(key)?.version ?? 0
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

/** The least used adapter that nothing uses or waits for. */
function findVictim(
	view: PlanView,
	demands: readonly AdapterDemand[]
): AdapterSlot | undefined {
	// One that is leaving already frees its slot soon.
	if ([...view.slots.values()].some(p => p.isUnloading)) return undefined
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

function countIncoming({slots}: PlanView): number {
	let count = 0
	for (const slot of slots.values()) if (!slot.isReady) count += 1
	return count
}
