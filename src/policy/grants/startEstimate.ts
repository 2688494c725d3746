/**
 * Expected time to the first event of a request: the prompts that are read
 * before its own, and the adapter it needs.
 *
 * - Adapter slots are held by running requests, often longer than a prompt is
 *   read (rare models asked for at once: engines idle behind full slots). The
 *   wait for a slot is part of the estimate. Gateways are not told of those who
 *   wait for one as work ahead: requests for resident adapters overtake them.
 */
import {slotKey} from "../../contract/fleet.js"
import type {AdapterSlots} from "./adapterSlots.js"
import type {GrantTable} from "./grantTable.js"
import type {ReadingRate} from "./readingRate.js"
import type {GrantRequest} from "./types.js"
import type {WaitingRequests} from "./waitingRequests.js"

/** Time a request holds its slot, until learned. */
const initialHoldMs = 800
/** Weight of the newest sample of the time a slot is held. */
const holdSampleWeight = 0.1

export interface StartEstimateOptions {
	slots: AdapterSlots
	rate: ReadingRate
	granted: GrantTable
	waiting: WaitingRequests
	/** Prompt tokens that the engine has to read for a request. */
	getUnread: (request: GrantRequest) => number
}

export class StartEstimate {
	private holdMs = initialHoldMs

	constructor(private readonly options: StartEstimateOptions) {}

	/** Takes in for how long a request held its slot. */
	addHold(heldMs: number): void {
		this.holdMs += holdSampleWeight * (heldMs - this.holdMs)
	}

	/** Expected time to the first event of a request that asks now. */
	getStartMs(request: GrantRequest, now: number): number {
		const {slots, rate, granted, waiting, getUnread} = this.options
		let ahead = granted.unreadTokens
		for (const each of waiting.listAhead(request, now)) ahead += getUnread(each)
		const readMs = rate.getReadMs(ahead + getUnread(request))
		const {model, adapter} = request
		const baseMs = slots.models.getReadyMs(model, now)
		if (baseMs === undefined) return readMs + slots.getBaseLoadMs(model)
		if (baseMs > 0) return readMs + baseMs
		const loadMs = slots.getLoadMs(model, adapter, now)
		return readMs + loadMs + this.getSlotWaitMs(model, adapter)
	}

	/** Expected wait of any request before its own prompt is read. */
	getWaitMs(now: number): number {
		const {slots, rate, granted, waiting, getUnread} = this.options
		let ahead = granted.unreadTokens
		for (const request of waiting.list()) {
			if (this.isServable(request, now)) ahead += getUnread(request)
		}
		return rate.getReadMs(ahead) + (slots.models.getFirstReadyMs(now) ?? 0)
	}

	/** Slots that can be had, less the adapters that wait for one. */
	countFreeSlots(): number {
		return this.options.slots.countOpen() - this.listWantedSlots().size
	}

	/** Expected time between slots becoming free. */
	getSlotStepMs(): number {
		const capacity = this.options.slots.limits?.adapterSlots ?? 1
		return this.holdMs / Math.max(1, capacity)
	}

	/** Whether the engine reads the prompt as soon as it gets to it. */
	private isServable({model, adapter}: GrantRequest, now: number): boolean {
		const {slots} = this.options
		if (!slots.models.names.has(model)) return true
		return slots.getReadyVersion(model, adapter, now) !== undefined
	}

	/** Expected wait for a slot, behind the adapters that want one already. */
	private getSlotWaitMs(model: string, adapter: string): number {
		const {slots} = this.options
		const key = slotKey(model, adapter)
		if (adapter === "" || slots.hasSlot(key)) return 0
		const wanted = this.listWantedSlots()
		wanted.delete(key)
		const missing = wanted.size + 1 - slots.countOpen()
		return Math.max(0, missing) * this.getSlotStepMs()
	}

	/** Adapters of waiting requests that have no slot. */
	private listWantedSlots(): Set<string> {
		const {slots, waiting} = this.options
		const wanted = new Set<string>()
		for (const {model, adapter} of waiting.list()) {
			const key = slotKey(model, adapter)
			if (adapter !== "" && !slots.hasSlot(key)) wanted.add(key)
		}
		return wanted
	}
}
