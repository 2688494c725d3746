/**
 * Forecasts when requests in a given order get their first events: prefills follow
 * one another, room in memory and a seat is there once enough granted requests have
 * ended, and adapters load meanwhile.
 */
import {slotKey} from "../../contract/fleet.js"
import {countUsableSeats, getGrantableTokens} from "./capacity.js"
import {countReservedTokens} from "./grantTable.js"
import type {QueueContext} from "./queueOrder.js"
import type {RequestCost} from "./requestCost.js"
import type {GrantRequest} from "./types.js"

/** A request that has taken longer than expected is assumed to go on for this part
 * of the expected time. */
const overdueFraction = 0.1

/** Room that is there from a time on. */
interface Release {
	at: number
	tokens: number
}

export class StartForecast {
	constructor(
		private readonly context: QueueContext,
		private readonly cost: RequestCost
	) {}

	/**
	 * Calls `keeps` with each request and the expected time to its first event. If it
	 * returns false, the request takes no room.
	 */
	walk(
		ranked: readonly GrantRequest[],
		now: number,
		keeps: (request: GrantRequest, expectedMs: number) => boolean
	): void {
		const {slots, grants, prefillRate, pace} = this.context
		const {limits} = slots
		const releases = this.listReleases(now)
		const newAdapters = new Set<string>()
		const availableSlots = slots.countAvailable()
		let prefillAt = now + prefillRate.getPrefillMs(grants.pendingPrefillTokens)
		let roomAt = now
		let seats = limits ? countUsableSeats(limits) - grants.size : 0
		let memory = limits ? getGrantableTokens(limits) - grants.memoryTokens : 0
		let next = 0
		let queued = 0
		for (const request of ranked) {
			const tokens = countReservedTokens(request)
			let freeSeats = seats
			let freeTokens = memory
			let at = roomAt
			let index = next
			while (freeSeats < 1 || freeTokens < tokens) {
				const release = releases[index]
				if (release === undefined) break
				index += 1
				freeSeats += 1
				freeTokens += release.tokens
				at = Math.max(at, release.at)
			}
			const prefillMs = this.cost.getPrefillMs(request)
			const startsAt = Math.max(at, prefillAt)
			const adapterMs = this.getAdapterMs(
				request,
				newAdapters,
				availableSlots,
				now
			)
			const pacedMs = pace.getWaitMs(now, queued)
			const readyAt = Math.max(startsAt, now + adapterMs, now + pacedMs)
			const firstAt = readyAt + prefillMs
			if (!keeps(request, firstAt - now)) continue
			queued += 1
			roomAt = at
			next = index
			seats = freeSeats - 1
			memory = freeTokens - tokens
			prefillAt = startsAt + prefillMs
			this.addAdapter(request, newAdapters)
			const endsAt = readyAt + this.cost.getHoldMs(request)
			insertRelease(releases, next, {at: endsAt, tokens})
		}
	}

	/** What the granted requests release at their expected ends, in that order. */
	private listReleases(now: number): Release[] {
		const releases = this.context.grants.list().map(grant => {
			const holdMs = this.cost.getHoldMs(grant.request)
			const endsAt = grant.grantedAt + holdMs
			const at = Math.max(endsAt, now + holdMs * overdueFraction)
			return {at, tokens: countReservedTokens(grant.request)}
		})
		return releases.sort((a, b) => a.at - b.at)
	}

	/** Time until the base model and adapter are resident, where `newAdapters` get
	 * their slots first. */
	private getAdapterMs(
		{model, adapter}: GrantRequest,
		newAdapters: ReadonlySet<string>,
		availableSlots: number,
		now: number
	): number {
		const {slots} = this.context
		const baseMs = slots.models.getReadyMs(model, now)
		if (baseMs === undefined) return slots.getBaseLoadMs(model)
		if (baseMs > 0 || adapter === "") return baseMs
		const loadMs = slots.getLoadMs(model, adapter, now)
		const key = slotKey(model, adapter)
		if (slots.hasSlot(key)) return loadMs
		const others = newAdapters.has(key) ? 0 : newAdapters.size
		const missing = Math.max(0, others + 1 - availableSlots)
		return loadMs + missing * this.context.getSlotStepMs()
	}

	private addAdapter(
		{model, adapter}: GrantRequest,
		newAdapters: Set<string>
	): void {
		const key = slotKey(model, adapter)
		if (adapter !== "" && !this.context.slots.hasSlot(key)) newAdapters.add(key)
	}
}

/** Inserts at the place by time, behind the releases that were used. */
function insertRelease(
	releases: Release[],
	from: number,
	release: Release
): void {
	let low = from
	let high = releases.length
	while (low < high) {
		const middle = (low + high) >> 1
		const isLater = (releases[middle]?.at ?? 0) > release.at
		if (isLater) high = middle
		else low = middle + 1
	}
	releases.splice(low, 0, release)
}
