/**
 * The adapter slots of one engine: what it holds, what is on its way, and the
 * next order that is safe to give.
 *
 * Orders are planned one at a time, each for the engine's current sequence. An
 * order whose answer was lost can only be carried out while no other order was,
 * so it is given again until the sequence has moved: whichever of the two comes
 * first makes the other one invalid. An adapter that such an order may still
 * evict is not used meanwhile.
 */
import {slotKey} from "../../contract/fleet.js"
import {Popularity} from "../popularity.js"
import {BaseModels} from "./baseModels.js"
import {
	type AdapterDemand,
	type NewestVersion,
	type AdapterSlot,
	planOrder,
	versionGraceMs
} from "./orderPlan.js"
import {RecentSet} from "./recentSet.js"
import {
	type EngineLimits,
	type EngineOrder,
	type EngineReport,
	OrderKind,
	OrderOutcome
} from "./types.js"

/** Time an adapter takes that the engine keeps at hand, until learned. */
const initialRecentLoadMs = 30
/** Time an adapter takes from the weight store, until learned. */
const initialStoreLoadMs = 260
/** Time that a base model takes which the configuration does not name. */
const defaultBaseLoadMs = 1000
/** Adapters assumed to be kept at hand by the engine besides those in its slots. */
const recentCapacity = 30
/** Popularity forgets a shift of demand within a few seconds. */
const popularityHalfLifeMs = 8000

export class AdapterSlots {
	limits: EngineLimits | undefined
	private sequence = -1
	private isBusy = false
	private orderInFlight: EngineOrder | undefined
	/** An order without an answer, until the sequence has moved past it. */
	private unsettled: EngineOrder | undefined
	readonly models = new BaseModels()
	private readonly slots = new Map<string, AdapterSlot>()
	private readonly pins = new Map<string, number>()
	private readonly recent = new RecentSet(recentCapacity)
	private readonly newest = new Map<string, NewestVersion>()
	private readonly popularity = new Popularity({
		halfLifeMs: popularityHalfLifeMs
	})
	private recentLoadMs = initialRecentLoadMs
	private storeLoadMs = initialStoreLoadMs

	get isKnown(): boolean {
		return this.sequence >= 0
	}

	/** Takes in a fresh report, which replaces what was believed. */
	apply(report: EngineReport, now: number): void {
		this.sequence = report.sequence
		if (this.unsettled?.expectedSequence !== report.sequence) {
			this.unsettled = undefined
		}
		this.isBusy = report.isBusy
		this.models.apply(report.models.map(({name}) => name))
		const held = new Map<string, {version: number; isReady: boolean}>()
		for (const {name, adapters} of report.models) {
			for (const {adapter, version} of adapters) {
				held.set(slotKey(name, adapter), {version, isReady: true})
			}
		}
		for (const {model, adapter, version} of report.incoming) {
			held.set(slotKey(model, adapter), {version, isReady: false})
		}
		for (const key of this.slots.keys()) {
			if (!held.has(key)) this.slots.delete(key)
		}
		for (const [key, {version, isReady}] of held) {
			this.applySlot(key, version, isReady, now)
		}
	}

	/** Forgets all: the engine started anew. */
	reset(): void {
		this.sequence = -1
		this.models.reset()
		this.slots.clear()
		this.pins.clear()
		this.recent.clear()
		this.orderInFlight = undefined
		this.unsettled = undefined
	}

	/** Takes in that `version` of the adapter is the newest; false if known. */
	announce(
		model: string,
		adapter: string,
		version: number,
		now: number
	): boolean {
		const key = slotKey(model, adapter)
		const known = this.newest.get(key)
		if (known !== undefined && known.version >= version) return false
		this.newest.set(key, {version, at: now})
		return true
	}

	/** Version that may serve now; undefined when none may. */
	getReadyVersion(
		model: string,
		adapter: string,
		now: number
	): number | undefined {
		if (!this.models.names.has(model)) return undefined
		if (adapter === "") return 0
		const key = slotKey(model, adapter)
		const slot = this.slots.get(key)
		if (slot === undefined || !slot.isReady || slot.isUnloading) {
			return undefined
		}
		if (this.mayBeLeaving(key)) return undefined
		const newest = this.newest.get(key)
		const isStale = newest !== undefined && slot.version < newest.version
		if (isStale && now > newest.at + versionGraceMs) return undefined
		return slot.version
	}

	/** Time that the configuration states for a load of the base model. */
	getBaseLoadMs(model: string): number {
		const spec = this.limits?.models.find(({name}) => name === model)
		return spec?.loadMs ?? defaultBaseLoadMs
	}

	/** Expected time until the adapter can serve, with a free slot. */
	getLoadMs(model: string, adapter: string, now: number): number {
		if (this.getReadyVersion(model, adapter, now) !== undefined) return 0
		const key = slotKey(model, adapter)
		const slot = this.slots.get(key)
		if (slot !== undefined && !slot.isReady) {
			return Math.max(0, slot.readyAt - now)
		}
		return this.recent.has(key) ? this.recentLoadMs : this.storeLoadMs
	}

	hasSlot(key: string): boolean {
		return this.slots.has(key)
	}

	/** Slots that are free or whose adapter no request uses. */
	countOpen(): number {
		const capacity = this.limits?.adapterSlots ?? 0
		let used = 0
		for (const [key, slot] of this.slots) {
			if (!slot.isReady || slot.isUnloading || this.isPinned(key)) used += 1
		}
		return Math.max(0, capacity - used)
	}

	pin(model: string, adapter: string, now: number): void {
		const key = slotKey(model, adapter)
		this.pins.set(key, (this.pins.get(key) ?? 0) + 1)
		this.popularity.add(key, now)
	}

	unpin(model: string, adapter: string): void {
		const key = slotKey(model, adapter)
		const count = this.pins.get(key) ?? 0
		if (count <= 1) this.pins.delete(key)
		else this.pins.set(key, count - 1)
	}

	listResident(): string[] {
		return [...this.slots].filter(([, p]) => p.isReady).map(([key]) => key)
	}

	listRecent(): string[] {
		return this.recent.list().filter(key => !this.slots.has(key))
	}

	/** Time of the next expected change at the engine. */
	getNextReadyAt(): number {
		let next = Number.POSITIVE_INFINITY
		for (const slot of this.slots.values()) {
			if (!slot.isReady) next = Math.min(next, slot.readyAt)
		}
		return next
	}

	get isChanging(): boolean {
		if (this.isBusy || this.orderInFlight !== undefined) return true
		return [...this.slots.values()].some(p => !p.isReady || p.isUnloading)
	}

	/** The next order to give, or undefined when none is needed or possible. */
	planOrder(
		demands: readonly AdapterDemand[],
		now: number,
		mayEvict: boolean
	): EngineOrder | undefined {
		if (!this.isKnown || this.isBusy || this.orderInFlight !== undefined) {
			return undefined
		}
		if (this.unsettled !== undefined) {
			const isEviction = this.unsettled.kind === OrderKind.Unload
			return isEviction && !mayEvict ? undefined : this.unsettled
		}
		return planOrder(
			{
				sequence: this.sequence,
				limits: this.limits,
				models: this.models.names,
				slots: this.slots,
				newest: this.newest,
				isPinned: key => this.isPinned(key),
				countUses: key => this.popularity.read(key, now)
			},
			demands,
			{now, mayEvict}
		)
	}

	beginOrder(order: EngineOrder): void {
		this.orderInFlight = order
	}

	/** Takes in how the order in flight ended; a report settles the rest. */
	endOrder(outcome: OrderOutcome, now: number): void {
		const order = this.orderInFlight
		this.orderInFlight = undefined
		if (order === undefined) return
		this.unsettled = outcome === OrderOutcome.Lost ? order : undefined
		if (outcome === OrderOutcome.Accepted) this.applyAccepted(order, now)
		else if (
			outcome === OrderOutcome.Holds &&
			order.kind === OrderKind.Unload
		) {
			this.sequence += 1
			this.slots.delete(slotKey(order.model, order.adapter))
		} else this.sequence = -1
	}

	private applyAccepted(order: EngineOrder, now: number): void {
		this.sequence += 1
		if (order.adapter === "") {
			this.isBusy = true
			this.models.beginLoad(order.model, this.getBaseLoadMs(order.model), now)
			return
		}
		const key = slotKey(order.model, order.adapter)
		const slot = this.slots.get(key)
		if (order.kind === OrderKind.Unload) {
			if (slot !== undefined) slot.isUnloading = true
			return
		}
		const isFromStore = !this.recent.has(key) || slot !== undefined
		const loadMs = isFromStore ? this.storeLoadMs : this.recentLoadMs
		this.slots.set(key, {
			model: order.model,
			adapter: order.adapter,
			version: order.version,
			isReady: false,
			readyAt: now + loadMs,
			loadStartedAt: now,
			isFromStore,
			isUnloading: false
		})
	}

	private applySlot(
		key: string,
		version: number,
		isReady: boolean,
		now: number
	): void {
		const known = this.slots.get(key)
		if (known !== undefined && !known.isReady && isReady) {
			this.learnLoad(known, now)
		}
		const {model, adapter} = splitKey(key)
		const readyAt = known?.readyAt ?? now + this.storeLoadMs
		this.slots.set(key, {
			model,
			adapter,
			version,
			isReady,
			readyAt: isReady ? now : Math.max(now, readyAt),
			loadStartedAt: known?.loadStartedAt ?? now,
			isFromStore: known?.isFromStore ?? true,
			isUnloading: known?.isUnloading ?? false
		})
		this.recent.add(key)
	}

	private learnLoad(slot: AdapterSlot, now: number): void {
		const elapsedMs = Math.max(1, now - slot.loadStartedAt)
		const weight = 0.25
		if (slot.isFromStore) {
			this.storeLoadMs += weight * (elapsedMs - this.storeLoadMs)
		} else this.recentLoadMs += weight * (elapsedMs - this.recentLoadMs)
	}

	/** Whether an eviction of the adapter is in flight or without an answer. */
	private mayBeLeaving(key: string): boolean {
		return [this.orderInFlight, this.unsettled].some(
			order =>
				order?.kind === OrderKind.Unload &&
				slotKey(order.model, order.adapter) === key
		)
	}

	private isPinned(key: string): boolean {
		return this.pins.has(key)
	}
}

function splitKey(key: string): {model: string; adapter: string} {
	const separator = key.lastIndexOf("/")
	return {model: key.slice(0, separator), adapter: key.slice(separator + 1)}
}
