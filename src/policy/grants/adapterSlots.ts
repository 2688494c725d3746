/**
 * The agent's view of one engine's adapter slots: which adapters are resident,
 * loading or unloading, and which order can safely be sent next.
 *
 * Orders are planned one at a time, each for the engine's current sequence, and
 * the engine rejects an order whose expected sequence differs. An order whose
 * answer was lost is therefore sent again until a report shows another sequence:
 * the copy that arrives first invalidates the other. While the lost order is an
 * eviction, no request is granted on its adapter.
 */
import {slotKey, splitSlotKey} from "../../contract/fleet.js"
import {Popularity} from "../popularity.js"
import {BaseModels} from "./baseModels.js"
import {
	type AdapterDemand,
	type NewestVersion,
	type AdapterSlot,
	planOrder,
	outdatedVersionGraceMs
} from "./orderPlan.js"
import {LruSet} from "./lruSet.js"
import {
	type EngineLimits,
	type EngineOrder,
	type EngineReport,
	OrderKind,
	OrderOutcome
} from "./types.js"

/** Load time of an adapter from the host's local cache, before any sample. */
const initialRecentLoadMs = 30
/** Load time of an adapter from the weight store, before any sample. */
const initialStoreLoadMs = 260
/** Load time of a base model that the configuration does not list. */
const defaultBaseLoadMs = 1000
/** Last seen adapters, resident ones included, that the engine's host is assumed
 * to keep in its local cache. */
export const recentAdapterCapacity = 30
/** Short, so that use counts follow a shift of demand within a few seconds. */
const popularityHalfLifeMs = 8000

export class AdapterSlots {
	limits: EngineLimits | undefined
	/** Restarts of the engine so far; each leaves its local cache empty. */
	restarts = 0
	/** Engine's count of accepted orders; -1 while unknown: until the first report,
	 * and after some outcomes (see `endOrder`) until the next one. */
	private sequence = -1
	private isBusy = false
	private orderInFlight: EngineOrder | undefined
	/** Order whose answer was lost, until a report shows another sequence. */
	private unansweredOrder: EngineOrder | undefined
	readonly models = new BaseModels()
	private readonly slots = new Map<string, AdapterSlot>()
	private readonly pins = new Map<string, number>()
	private readonly recent = new LruSet(recentAdapterCapacity)
	private readonly newestVersions = new Map<string, NewestVersion>()
	private readonly popularity = new Popularity({
		halfLifeMs: popularityHalfLifeMs
	})
	private recentLoadMs = initialRecentLoadMs
	private storeLoadMs = initialStoreLoadMs

	get hasSequence(): boolean {
		return this.sequence >= 0
	}

	/** Replaces the view of models, slots and sequence by that of a report. */
	apply(report: EngineReport, now: number): void {
		this.sequence = report.sequence
		if (this.unansweredOrder?.expectedSequence !== report.sequence) {
			this.unansweredOrder = undefined
		}
		this.isBusy = report.isBusy
		this.models.apply(report.models.map(({name}) => name))
		const reported = new Map<string, {version: number; isReady: boolean}>()
		for (const {name, adapters} of report.models) {
			for (const {adapter, version} of adapters) {
				reported.set(slotKey(name, adapter), {version, isReady: true})
			}
		}
		for (const {model, adapter, version} of report.incoming) {
			reported.set(slotKey(model, adapter), {version, isReady: false})
		}
		for (const key of this.slots.keys()) {
			if (!reported.has(key)) this.slots.delete(key)
		}
		for (const [key, {version, isReady}] of reported) {
			this.applyReportedSlot(key, version, isReady, now)
		}
	}

	/** Discards the view of an engine that has restarted. */
	reset(): void {
		this.restarts += 1
		this.sequence = -1
		this.models.reset()
		this.slots.clear()
		this.pins.clear()
		this.recent.clear()
		this.orderInFlight = undefined
		this.unansweredOrder = undefined
	}

	/**
	 * Records that `version` of the adapter was announced at that time, or before: the
	 * earliest time that a gateway states counts, since this agent or a gateway may
	 * have heard of it late. Returns false if that version or a newer one is known.
	 */
	announce(
		model: string,
		adapter: string,
		version: number,
		announcedAt: number
	): boolean {
		const key = slotKey(model, adapter)
		const known = this.newestVersions.get(key)
		if (known !== undefined && known.version > version) return false
		if (known?.version === version) {
			known.announcedAt = Math.min(known.announcedAt, announcedAt)
			return false
		}
		this.newestVersions.set(key, {version, announcedAt})
		return true
	}

	/**
	 * Version of the adapter that requests may be sent to now; 0 for the base model
	 * itself. Undefined while the base model or the adapter is not resident, while an
	 * unload of the adapter is in flight, unanswered or in progress, and once the
	 * version is outdated beyond the grace period.
	 */
	getReadyVersion(
		model: string,
		adapter: string,
		now: number
	): number | undefined {
		if (!this.models.residentNames.has(model)) return undefined
		if (adapter === "") return 0
		const key = slotKey(model, adapter)
		const slot = this.slots.get(key)
		if (slot === undefined || !slot.isReady || slot.isUnloading) {
			return undefined
		}
		if (this.isEvictionPending(key)) return undefined
		const newest = this.newestVersions.get(key)
		const isStale = newest !== undefined && slot.version < newest.version
		if (isStale && now > newest.announcedAt + outdatedVersionGraceMs)
			return undefined
		return slot.version
	}

	/** Load time of the base model, as configured. */
	getBaseLoadMs(model: string): number {
		const spec = this.limits?.models.find(({name}) => name === model)
		return spec?.loadMs ?? defaultBaseLoadMs
	}

	/** Expected time until the adapter is resident, given a free slot. */
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

	/** Number of slots that are empty or hold an unpinned resident adapter. */
	countAvailable(): number {
		const capacity = this.limits?.adapterSlots ?? 0
		let unavailable = 0
		for (const [key, slot] of this.slots) {
			if (!slot.isReady || slot.isUnloading || this.isPinned(key))
				unavailable += 1
		}
		return Math.max(0, capacity - unavailable)
	}

	/** Protects the adapter from eviction until the matching `unpin`. */
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
		return [...this.slots]
			.filter(([, slot]) => slot.isReady)
			.map(([key]) => key)
	}

	/** Adapters without a slot that the host's local cache is assumed to hold. */
	listRecent(): string[] {
		return this.recent.list().filter(key => !this.slots.has(key))
	}

	/** Earliest expected end of an adapter load; infinite if none is loading. */
	getNextReadyAt(): number {
		let next = Number.POSITIVE_INFINITY
		for (const slot of this.slots.values()) {
			if (!slot.isReady) next = Math.min(next, slot.readyAt)
		}
		return next
	}

	/** Whether an order is in flight or the engine is executing one. */
	get hasPendingChange(): boolean {
		if (this.isBusy || this.orderInFlight !== undefined) return true
		return [...this.slots.values()].some(
			slot => !slot.isReady || slot.isUnloading
		)
	}

	/**
	 * The next order to send: first the one whose answer was lost, then a new one.
	 * Undefined if none is needed, while another order is in flight or the engine is
	 * busy, or while the sequence is unknown. Evictions need `mayEvict`, which is
	 * false while untracked runs may use any adapter.
	 */
	planOrder(
		demands: readonly AdapterDemand[],
		now: number,
		mayEvict: boolean
	): EngineOrder | undefined {
		if (!this.hasSequence || this.isBusy || this.orderInFlight !== undefined) {
			return undefined
		}
		if (this.unansweredOrder !== undefined) {
			const isEviction = this.unansweredOrder.kind === OrderKind.Unload
			return isEviction && !mayEvict ? undefined : this.unansweredOrder
		}
		return planOrder(
			{
				sequence: this.sequence,
				limits: this.limits,
				models: this.models.residentNames,
				slots: this.slots,
				newestVersions: this.newestVersions,
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

	/**
	 * Applies the outcome of the order in flight. Unless the engine accepted it, or
	 * it is an unload that is in effect, no order is planned until the next report.
	 */
	endOrder(outcome: OrderOutcome, now: number): void {
		const order = this.orderInFlight
		this.orderInFlight = undefined
		if (order === undefined) return
		this.unansweredOrder =
			outcome === OrderOutcome.Unanswered ? order : undefined
		if (outcome === OrderOutcome.Accepted) this.applyAcceptedOrder(order, now)
		else if (
			outcome === OrderOutcome.InEffect &&
			order.kind === OrderKind.Unload
		) {
			this.sequence += 1
			this.slots.delete(slotKey(order.model, order.adapter))
		} else this.sequence = -1
	}

	private applyAcceptedOrder(order: EngineOrder, now: number): void {
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
		// A load into an occupied slot fetches a new version, which is not cached.
		const isFromWeightStore = !this.recent.has(key) || slot !== undefined
		const loadMs = isFromWeightStore ? this.storeLoadMs : this.recentLoadMs
		this.slots.set(key, {
			model: order.model,
			adapter: order.adapter,
			version: order.version,
			isReady: false,
			readyAt: now + loadMs,
			loadStartedAt: now,
			isFromWeightStore,
			isUnloading: false
		})
	}

	private applyReportedSlot(
		key: string,
		version: number,
		isReady: boolean,
		now: number
	): void {
		const known = this.slots.get(key)
		if (known !== undefined && !known.isReady && isReady) {
			this.recordLoadTime(known, now)
		}
		const {model, adapter} = splitSlotKey(key)
		const readyAt = known?.readyAt ?? now + this.storeLoadMs
		this.slots.set(key, {
			model,
			adapter,
			version,
			isReady,
			readyAt: isReady ? now : Math.max(now, readyAt),
			loadStartedAt: known?.loadStartedAt ?? now,
			isFromWeightStore: known?.isFromWeightStore ?? true,
			isUnloading: known?.isUnloading ?? false
		})
		this.recent.add(key)
	}

	private recordLoadTime(slot: AdapterSlot, now: number): void {
		const elapsedMs = Math.max(1, now - slot.loadStartedAt)
		const sampleWeight = 0.25
		if (slot.isFromWeightStore) {
			this.storeLoadMs += sampleWeight * (elapsedMs - this.storeLoadMs)
		} else this.recentLoadMs += sampleWeight * (elapsedMs - this.recentLoadMs)
	}

	/** Whether an eviction of the adapter is in flight or was left unanswered. */
	private isEvictionPending(key: string): boolean {
		return [this.orderInFlight, this.unansweredOrder].some(
			order =>
				order?.kind === OrderKind.Unload &&
				slotKey(order.model, order.adapter) === key
		)
	}

	private isPinned(key: string): boolean {
		return this.pins.has(key)
	}
}
