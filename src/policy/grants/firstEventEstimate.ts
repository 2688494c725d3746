/**
 * Estimates the time to a request's first event: prefill of the prompts ahead of
 * it and of its own, the load of its base model or adapter, and the wait for an
 * adapter slot.
 *
 * - Running requests pin their slots, often for longer than a prefill takes.
 *   When many rare adapters are requested at once, the engine idles while all
 *   slots are pinned, so the wait for a slot is part of the estimate.
 * - The wait reported to gateways (`getWaitMs`) leaves out requests that wait for
 *   a slot, because requests for resident adapters overtake them.
 */
import {slotKey} from "../../contract/fleet.js"
import type {AdapterSlots} from "./adapterSlots.js"
import type {GrantTable} from "./grantTable.js"
import type {PrefillRate} from "./prefillRate.js"
import type {GrantRequest} from "./types.js"
import type {WaitingRequests} from "./waitingRequests.js"

/** Time for which a request pins its slot, before any sample. */
const initialSlotHoldMs = 800
/** Weight of the newest sample of that time. */
const slotHoldSampleWeight = 0.1

export interface FirstEventEstimateOptions {
	slots: AdapterSlots
	prefillRate: PrefillRate
	grants: GrantTable
	waiting: WaitingRequests
	/** Prompt tokens that the engine has to prefill for a request. */
	countPrefillTokens: (request: GrantRequest) => number
}

export class FirstEventEstimate {
	private slotHoldMs = initialSlotHoldMs

	constructor(private readonly options: FirstEventEstimateOptions) {}

	/** Records for how long a request pinned its slot. */
	addSlotHold(sampleMs: number): void {
		this.slotHoldMs += slotHoldSampleWeight * (sampleMs - this.slotHoldMs)
	}

	/** Expected time to the first event of a request that arrives now. */
	getFirstEventMs(request: GrantRequest, now: number): number {
		const {slots, prefillRate, grants, waiting, countPrefillTokens} =
			this.options
		let aheadTokens = grants.pendingPrefillTokens
		for (const other of waiting.listAhead(request, now))
			aheadTokens += countPrefillTokens(other)
		const prefillMs = prefillRate.getPrefillMs(
			aheadTokens + countPrefillTokens(request)
		)
		const {model, adapter} = request
		const baseMs = slots.models.getReadyMs(model, now)
		if (baseMs === undefined) return prefillMs + slots.getBaseLoadMs(model)
		if (baseMs > 0) return prefillMs + baseMs
		const loadMs = slots.getLoadMs(model, adapter, now)
		return prefillMs + loadMs + this.getSlotWaitMs(model, adapter)
	}

	/** Expected time until the prefill of a new request for a resident adapter
	 * begins. */
	getWaitMs(now: number): number {
		const {slots, prefillRate, grants, waiting, countPrefillTokens} =
			this.options
		let aheadTokens = grants.pendingPrefillTokens
		for (const request of waiting.list()) {
			if (this.isReadyForPrefill(request, now))
				aheadTokens += countPrefillTokens(request)
		}
		return (
			prefillRate.getPrefillMs(aheadTokens) +
			(slots.models.getFirstReadyMs(now) ?? 0)
		)
	}

	/** Available slots minus adapters that wait for one; may be negative. */
	countUnclaimedSlots(): number {
		return (
			this.options.slots.countAvailable() - this.listAdaptersWithoutSlot().size
		)
	}

	/** Expected interval at which slots become free. */
	getSlotStepMs(): number {
		const capacity = this.options.slots.limits?.adapterSlots ?? 1
		return this.slotHoldMs / Math.max(1, capacity)
	}

	/**
	 * Whether the request waits for prefill only. Requests for a base model that is
	 * not resident are included; `getWaitMs` adds the time until the first base model
	 * is resident, which need not be theirs.
	 */
	private isReadyForPrefill(
		{model, adapter}: GrantRequest,
		now: number
	): boolean {
		const {slots} = this.options
		if (!slots.models.residentNames.has(model)) return true
		return slots.getReadyVersion(model, adapter, now) !== undefined
	}

	/** Expected wait for a slot, behind the adapters that wait for one already. */
	private getSlotWaitMs(model: string, adapter: string): number {
		const {slots} = this.options
		const key = slotKey(model, adapter)
		if (adapter === "" || slots.hasSlot(key)) return 0
		const others = this.listAdaptersWithoutSlot()
		others.delete(key)
		const missingSlots = others.size + 1 - slots.countAvailable()
		return Math.max(0, missingSlots) * this.getSlotStepMs()
	}

	/** Adapters that waiting requests need and that have no slot. */
	private listAdaptersWithoutSlot(): Set<string> {
		const {slots, waiting} = this.options
		const adapters = new Set<string>()
		for (const {model, adapter} of waiting.list()) {
			const key = slotKey(model, adapter)
			if (adapter !== "" && !slots.hasSlot(key)) adapters.add(key)
		}
		return adapters
	}
}
