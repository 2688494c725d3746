/**
 * What requests of each urgency ask for and get.
 *
 * - Less urgent requests leave a reserve of memory, seats and adapter slots: what the
 *   more urgent arrivals of the last seconds occupy in steady state (arrival rate
 *   times time in the engine), less what such requests hold already. Otherwise a
 *   burst of long answers fills the engine until they end.
 * - A kind that is served far less often than all kinds together, or less often than
 *   a less urgent one, is due some grants before the others.
 */
import {slotKey} from "../../contract/fleet.js"
import {DecayingSum} from "./decayingSum.js"
import {countReservedTokens} from "./grantTable.js"
import type {EngineLimits, GrantRequest} from "./types.js"

/** Averaging time of the arrivals that a reserve is for. */
const reserveAverageMs = 3000
/** Without an arrival for this long, nothing is reserved. */
const reserveMemoryMs = 3000
/** Covers the variation of arrivals; the reserve is at most `maxReservedFraction`. */
const reserveHeadroom = 1.25
const maxReservedFraction = 0.5
/** Averaging time of the part of a kind that is served. */
const servedAverageMs = 10_000
/** A kind is to be served at least a quarter as often as all kinds together; grants
 * are due somewhat earlier, as they take time to have an effect. */
const minServedPart = 0.35
/** Adapters asked for within this time may need a slot before a long answer that is
 * granted now ends. A longer time keeps slots idle under a steady load. */
const slotMemoryMs = 1000
/** Part by which a kind may be served less often than a less urgent one before grants
 * are due to it; callers notice 0.05. Less urgent kinds may wait longer, and so gain
 * from each pause in the load. */
const maxLagPart = 0.02
/** Arrivals of a kind from which its served part counts for others. */
const minSampleCount = 5
const maxAdapters = 256
/** Priorities beyond this count as equal. */
const maxPriority = 99
const priorityBase = maxPriority + 1

interface UrgencyClass {
	asked: DecayingSum
	granted: DecayingSum
	/** Time in the engine that arrivals ask for: seats, and tokens of memory. */
	seatMs: DecayingSum
	tokenMs: DecayingSum
	lastArrivalAt: number
	heldSeats: number
	heldTokens: number
}

export interface Reserve {
	seats: number
	tokens: number
	slots: number
}

/** Order of urgency: by the Member's priority, then by the route's. */
export function getUrgency({memberPriority, priority}: GrantRequest): number {
	const first = Math.min(maxPriority, memberPriority ?? priority)
	return first * priorityBase + Math.min(maxPriority, priority)
}

export class UrgencyDemand {
	private readonly classes = new Map<number, UrgencyClass>()
	/** Adapters that were asked for, oldest first. */
	private readonly adapters = new Map<string, {urgency: number; at: number}>()
	private readonly held = new Map<string, {urgency: number; tokens: number}>()
	private readonly asked = new DecayingSum(servedAverageMs)
	private readonly granted = new DecayingSum(servedAverageMs)

	/** `holdMs`: expected time that the request spends in the engine. */
	addArrival(request: GrantRequest, holdMs: number, now: number): void {
		const urgency = getUrgency(request)
		const known = this.getClass(urgency, now)
		known.lastArrivalAt = now
		known.asked.add(1, now)
		known.seatMs.add(holdMs, now)
		known.tokenMs.add(holdMs * countReservedTokens(request), now)
		this.asked.add(1, now)
		if (request.adapter !== "") this.addAdapter(request, urgency, now)
	}

	addGrant(request: GrantRequest, now: number): void {
		const urgency = getUrgency(request)
		const known = this.getClass(urgency, now)
		const tokens = countReservedTokens(request)
		known.granted.add(1, now)
		known.heldSeats += 1
		known.heldTokens += tokens
		this.granted.add(1, now)
		this.held.set(request.key, {urgency, tokens})
	}

	removeGrant(key: string): void {
		const held = this.held.get(key)
		if (held === undefined) return
		this.held.delete(key)
		const known = this.classes.get(held.urgency)
		if (known === undefined) return
		known.heldSeats -= 1
		known.heldTokens -= held.tokens
	}

	/** Grants that the kind is to get before more urgent ones. */
	countDue(urgency: number, now: number): number {
		const known = this.classes.get(urgency)
		const asked = this.asked.get(now)
		if (known === undefined || asked === 0) return 0
		const servedPart = Math.min(1, this.granted.get(now) / asked)
		const duePart = servedPart * minServedPart
		const missing = known.asked.get(now) * duePart - known.granted.get(now)
		return Math.max(0, Math.ceil(missing))
	}

	/** Grants that the kind lacks to be served as often as a less urgent one. */
	countLagging(urgency: number, now: number): number {
		const known = this.classes.get(urgency)
		if (known === undefined) return 0
		const part = this.getLessUrgentPart(urgency, now) - maxLagPart
		const missing = known.asked.get(now) * part - known.granted.get(now)
		return Math.max(0, Math.ceil(missing))
	}

	/** Largest part that is granted of a less urgent kind. */
	private getLessUrgentPart(urgency: number, now: number): number {
		let largest = 0
		for (const [other, {asked, granted}] of this.classes) {
			const count = asked.get(now)
			if (other <= urgency || count < minSampleCount) continue
			largest = Math.max(largest, granted.get(now) / count)
		}
		return Math.min(1, largest)
	}

	/** Part of all arrivals that are of this urgency. */
	getAskedPart(urgency: number, now: number): number {
		const asked = this.asked.get(now)
		const own = this.classes.get(urgency)?.asked.get(now) ?? 0
		return asked === 0 ? 1 : own / asked
	}

	/** What requests of this urgency leave to more urgent ones. */
	getReserve(
		urgency: number,
		limits: EngineLimits,
		isPinned: (adapter: string) => boolean,
		now: number
	): Reserve {
		let seats = 0
		let tokens = 0
		for (const [other, known] of this.classes) {
			if (other >= urgency) continue
			if (now - known.lastArrivalAt > reserveMemoryMs) continue
			const neededSeats = known.seatMs.getPerMs(now) * reserveHeadroom
			const neededTokens = known.tokenMs.getPerMs(now) * reserveHeadroom
			seats += Math.max(0, neededSeats - known.heldSeats)
			tokens += Math.max(0, neededTokens - known.heldTokens)
		}
		let slots = 0
		for (const [adapter, {urgency: other, at}] of this.adapters) {
			const isRecent = now - at <= slotMemoryMs
			if (other < urgency && isRecent && !isPinned(adapter)) slots += 1
		}
		return {
			seats: Math.min(seats, limits.seats * maxReservedFraction),
			tokens: Math.min(tokens, limits.memoryTokens * maxReservedFraction),
			slots: Math.min(
				slots,
				Math.floor(limits.adapterSlots * maxReservedFraction)
			)
		}
	}

	/** Forgets what an engine held that has restarted. */
	clearHeld(): void {
		this.held.clear()
		for (const known of this.classes.values()) {
			known.heldSeats = 0
			known.heldTokens = 0
		}
	}

	/** Kinds that are kept in mind, with the part of each that is granted. */
	listServed(now: number): {urgency: number; part: number}[] {
		return [...this.classes].map(([urgency, {asked, granted}]) => ({
			urgency,
			part: granted.get(now) / Math.max(1e-9, asked.get(now))
		}))
	}

	private getClass(urgency: number, now: number): UrgencyClass {
		const known = this.classes.get(urgency)
		if (known !== undefined) return known
		this.sweep(now)
		const created: UrgencyClass = {
			asked: new DecayingSum(servedAverageMs),
			granted: new DecayingSum(servedAverageMs),
			seatMs: new DecayingSum(reserveAverageMs),
			tokenMs: new DecayingSum(reserveAverageMs),
			lastArrivalAt: now,
			heldSeats: 0,
			heldTokens: 0
		}
		this.classes.set(urgency, created)
		return created
	}

	/** Deletes kinds that neither arrived for long nor hold anything. */
	private sweep(now: number): void {
		for (const [urgency, {lastArrivalAt, heldSeats}] of this.classes) {
			const isIdle = now - lastArrivalAt > 6 * servedAverageMs
			if (isIdle && heldSeats === 0) this.classes.delete(urgency)
		}
	}

	private addAdapter(
		{model, adapter}: GrantRequest,
		urgency: number,
		now: number
	): void {
		const key = slotKey(model, adapter)
		const known = this.adapters.get(key)
		const isKnownRecent =
			known !== undefined && now - known.at <= reserveMemoryMs
		const most = isKnownRecent ? Math.min(known.urgency, urgency) : urgency
		this.adapters.delete(key)
		this.adapters.set(key, {urgency: most, at: now})
		const [oldest] = this.adapters.keys()
		if (this.adapters.size > maxAdapters && oldest !== undefined)
			this.adapters.delete(oldest)
	}
}
