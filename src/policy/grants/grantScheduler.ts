/**
 * Decides which request goes to an engine next, for all gateways. One scheduler
 * owns the engine's queue, so gateways need no view of each other's requests.
 *
 * - At most `readAheadMs` of prompt reading is given out, so that the order of
 *   work is decided here until shortly before a prompt is read (a lunch-hour
 *   crowd: many prompts at once).
 * - Requests that can still be on time come before those that are late already,
 *   then the earliest objective (a backlog: without this every answer is late).
 * - Adapter slots are held by running requests, often longer than a prompt is
 *   read (rare models asked for at once: engines idle behind full slots). The
 *   wait for a slot is part of the estimate. Gateways are not told of those who
 *   wait for one as work ahead: requests for resident adapters overtake them.
 * - What can't begin while it is of use is refused on arrival.
 */
import {countTokens, GrantTable} from "./grantTable.js"
import {type AdapterDemand, slotKey} from "./orderPlan.js"
import {AdapterSlots} from "./adapterSlots.js"
import {PromptCache} from "./promptCache.js"
import {ReadingRate} from "./readingRate.js"
import {
	type EngineLimits,
	type EngineOrder,
	type EngineReport,
	GrantActionKind,
	type GrantRequest,
	type GrantStep,
	type OrderOutcome,
	RefusalReason
} from "./types.js"

export interface GrantSchedulerOptions {
	/** Reading time given out ahead, milliseconds. */
	readAheadMs?: number
	/** A value in [0, 1) that spreads the return of refused callers. */
	random: () => number
}

/** More than one prompt, so that the engine does not idle between grants; more
 * would hold adapter slots for prompts that are not being read yet. */
const defaultReadAheadMs = 150
/** Lead of each step of priority in the order of objectives. */
const priorityLeadMs = 300
/** Seats left for requests that bypass grants, as in a loss of the agent. */
const reservedSeats = 2
/** Share of the engine's memory given out; the rest absorbs estimates. */
const memoryShare = 0.9
/** Share of the memory that keeps prompt parts of ended requests. */
const cacheShare = 0.6
const minRetryAfterMs = 150
/** Time a request holds its slot, until learned. */
const initialHoldMs = 800
/** Weight of the newest sample of the time a slot is held. */
const holdSampleWeight = 0.1

interface Waiting {
	request: GrantRequest
}

export interface SchedulerView {
	isUsable: boolean
	waitMs: number
	tokensPerSecond: number
	/** Slots that can be had, less the adapters that wait for one. */
	freeSlots: number
	/** Expected time between slots becoming free. */
	slotStepMs: number
	running: number
}

export class GrantScheduler {
	readonly slots = new AdapterSlots()
	private readonly rate = new ReadingRate()
	private readonly cache = new PromptCache(0)
	private readonly waiting = new Map<string, Waiting>()
	private readonly granted = new GrantTable()
	private readonly readAheadMs: number
	private holdMs = initialHoldMs
	private readonly random: () => number
	private bornAt = 0
	/** False once the engine doesn't answer its agent. */
	private isUp = false
	/** Runs of the last report that were not granted, as before a restart. */
	private unknownRuns = 0

	constructor(options: GrantSchedulerOptions) {
		this.readAheadMs = options.readAheadMs ?? defaultReadAheadMs
		this.random = options.random
	}

	setLimits(limits: EngineLimits): void {
		this.slots.limits = limits
		this.cache.setCapacity(limits.memoryTokens * cacheShare)
	}

	/** Takes in a report; true when the engine has started anew. */
	applyReport(report: EngineReport, now: number): boolean {
		const isRestart = this.bornAt !== 0 && report.bornAt !== this.bornAt
		if (isRestart) this.forgetEngine()
		this.bornAt = report.bornAt
		this.isUp = true
		for (const key of this.granted.listEndedOrphans(report, now)) {
			this.release(key, now)
		}
		this.unknownRuns = this.granted.countUnknownRuns(report)
		this.slots.apply(report, now)
		return isRestart
	}

	/** Takes in that the engine doesn't answer its agent. */
	markDown(): void {
		this.isUp = false
	}

	/** Queues a request, or refuses it at once. */
	ask(request: GrantRequest, now: number): GrantStep[] {
		if (this.waiting.has(request.key) || this.granted.has(request.key)) {
			return []
		}
		if (!this.isUp) {
			return [this.refuse(request, RefusalReason.Unavailable, 0, now)]
		}
		const expectedMs = this.estimate(request, now)
		if (now + expectedMs > request.startBy) {
			const reason = RefusalReason.Overloaded
			return [this.refuse(request, reason, expectedMs, now)]
		}
		this.waiting.set(request.key, {request})
		return this.schedule(now)
	}

	/** The first event of a granted request arrived. */
	start(key: string, now: number): GrantStep[] {
		const granted = this.granted.start(key)
		if (granted === undefined) return []
		this.rate.addStart(granted.unread, now)
		const {model, adapter, parts} = granted.request
		this.cache.add(`${model}/${adapter}`, parts)
		return this.schedule(now)
	}

	/** A request ended, was given up or moved elsewhere. */
	end(key: string, now: number): GrantStep[] {
		this.waiting.delete(key)
		const granted = this.granted.get(key)
		if (granted?.isStarted === true) {
			const heldMs = now - granted.grantedAt
			this.holdMs += holdSampleWeight * (heldMs - this.holdMs)
		}
		this.release(key, now)
		return this.schedule(now)
	}

	/**
	 * A gateway is gone, and with it all that it waits for. What it was granted
	 * may be on its way still or run on, so that its adapter stays in use until a
	 * report shows otherwise (gateways that freeze or are cut off under load).
	 */
	dropOwner(owner: string, now: number): GrantStep[] {
		for (const [key, {request}] of this.waiting) {
			if (request.owner === owner) this.waiting.delete(key)
		}
		for (const key of this.granted.listOf(owner)) {
			if (this.granted.start(key) !== undefined) this.rate.dropGrant(now)
			this.granted.orphan(key, now)
		}
		return this.schedule(now)
	}

	/** Grants what can go now, and refuses what can't be served any more. */
	schedule(now: number): GrantStep[] {
		const steps: GrantStep[] = []
		for (const {request} of this.rank(now)) {
			const baseMs = this.slots.models.getReadyMs(request.model, now) ?? 0
			const neededMs = this.rate.getReadMs(this.getUnread(request)) + baseMs
			if (!this.isUp || now + neededMs > request.startBy) {
				this.waiting.delete(request.key)
				const reason = this.isUp
					? RefusalReason.Deadline
					: RefusalReason.Unavailable
				steps.push(this.refuse(request, reason, neededMs, now))
				continue
			}
			const step = this.tryGrant(request, now)
			if (step !== undefined) steps.push(step)
		}
		return steps
	}

	/** The next order for the engine, if one is needed and possible. */
	planOrder(now: number): EngineOrder | undefined {
		const demands: AdapterDemand[] = this.rank(now).map(({request}) => request)
		return this.slots.planOrder(demands, now, this.unknownRuns === 0)
	}

	/** Whether an eviction waits for a report that shows runs to have ended. */
	get isHeldBack(): boolean {
		if (this.waiting.size === 0) return false
		return this.unknownRuns > 0 || this.granted.hasOrphans
	}

	endOrder(outcome: OrderOutcome, now: number): void {
		this.slots.endOrder(outcome, now)
	}

	get waitingCount(): number {
		return this.waiting.size
	}

	getView(now: number): SchedulerView {
		let queued = 0
		for (const {request} of this.waiting.values()) {
			if (this.isServable(request, now)) queued += this.getUnread(request)
		}
		const baseMs = this.slots.models.getFirstReadyMs(now)
		const readMs = this.rate.getReadMs(this.granted.unreadTokens + queued)
		return {
			isUsable: this.isUp && baseMs !== undefined,
			waitMs: readMs + (baseMs ?? 0),
			tokensPerSecond: this.rate.tokensPerMs * 1000,
			freeSlots: this.slots.countOpen() - this.listWantedSlots().size,
			slotStepMs: this.getSlotStepMs(),
			running: this.granted.size
		}
	}

	/** Expected time to the first event of a request that asks now. */
	private estimate(request: GrantRequest, now: number): number {
		let ahead = this.granted.unreadTokens
		const rank = this.getRank(request, now)
		for (const waiting of this.waiting.values()) {
			if (this.getRank(waiting.request, now) > rank) continue
			ahead += this.getUnread(waiting.request)
		}
		const readMs = this.rate.getReadMs(ahead + this.getUnread(request))
		const {model, adapter} = request
		const baseMs = this.slots.models.getReadyMs(model, now)
		if (baseMs === undefined) {
			return readMs + this.slots.getBaseLoadMs(model)
		}
		if (baseMs > 0) return readMs + baseMs
		const loadMs = this.slots.getLoadMs(model, adapter, now)
		return readMs + loadMs + this.getSlotWaitMs(model, adapter)
	}

	/** Whether the engine reads the prompt as soon as it gets to it. */
	private isServable({model, adapter}: GrantRequest, now: number): boolean {
		if (!this.slots.models.names.has(model)) return true
		return this.slots.getReadyVersion(model, adapter, now) !== undefined
	}

	/** Expected wait for a slot, behind the adapters that want one already. */
	private getSlotWaitMs(model: string, adapter: string): number {
		const key = slotKey(model, adapter)
		if (adapter === "" || this.slots.hasSlot(key)) return 0
		const wanted = this.listWantedSlots()
		wanted.delete(key)
		const missing = wanted.size + 1 - this.slots.countOpen()
		return Math.max(0, missing) * this.getSlotStepMs()
	}

	/** Adapters of waiting requests that have no slot. */
	private listWantedSlots(): Set<string> {
		const wanted = new Set<string>()
		for (const {request} of this.waiting.values()) {
			const key = slotKey(request.model, request.adapter)
			if (request.adapter !== "" && !this.slots.hasSlot(key)) wanted.add(key)
		}
		return wanted
	}

	private getSlotStepMs(): number {
		const capacity = this.slots.limits?.adapterSlots ?? 1
		return this.holdMs / Math.max(1, capacity)
	}

	private rank(now: number): Waiting[] {
		const ranked = [...this.waiting.values()].map(waiting => ({
			waiting,
			rank: this.getRank(waiting.request, now)
		}))
		ranked.sort((a, b) => a.rank - b.rank)
		return ranked.map(({waiting}) => waiting)
	}

	private getRank(request: GrantRequest, now: number): number {
		const readMs = this.rate.getReadMs(this.getUnread(request))
		const isLate = now + readMs > request.objectiveAt
		const rank = request.objectiveAt + request.priority * priorityLeadMs
		// Behind every request that can be on time.
		return isLate ? rank + lateRank : rank
	}

	private tryGrant(request: GrantRequest, now: number): GrantStep | undefined {
		const {model, adapter} = request
		const version = this.slots.getReadyVersion(model, adapter, now)
		if (version === undefined) return undefined
		const unread = this.getUnread(request)
		if (!this.hasRoom(unread, countTokens(request))) return undefined
		this.waiting.delete(request.key)
		this.granted.add(request, unread, now)
		this.rate.addGrant(now)
		this.slots.pin(model, adapter, now)
		return {
			kind: GrantActionKind.Grant,
			request,
			version,
			expectedMs: this.rate.getReadMs(this.granted.unreadTokens)
		}
	}

	private hasRoom(unread: number, tokens: number): boolean {
		const limits = this.slots.limits
		if (limits === undefined) return false
		if (this.granted.size >= limits.seats - reservedSeats) return false
		const memory = limits.memoryTokens * memoryShare
		const {size, memoryTokens, unreadTokens} = this.granted
		if (size > 0 && memoryTokens + tokens > memory) return false
		if (unreadTokens === 0) return true
		const readMs = this.rate.getReadMs(unreadTokens + unread)
		return readMs <= this.readAheadMs
	}

	private release(key: string, now: number): void {
		const granted = this.granted.remove(key)
		if (granted === undefined) return
		if (!granted.isStarted) this.rate.dropGrant(now)
		this.slots.unpin(granted.request.model, granted.request.adapter)
	}

	private refuse(
		request: GrantRequest,
		reason: RefusalReason,
		expectedMs: number,
		now: number
	): GrantStep {
		return {
			kind: GrantActionKind.Refuse,
			request,
			reason,
			expectedMs,
			retryAfterMs: this.getRetryAfterMs(request, expectedMs, now)
		}
	}

	/** Time until the request would fit, spread so that callers return apart. */
	private getRetryAfterMs(
		request: GrantRequest,
		expectedMs: number,
		now: number
	): number {
		const affordableMs = request.startBy - now
		const excessMs = Math.max(minRetryAfterMs, expectedMs - affordableMs)
		return excessMs * (1 + this.random())
	}

	private getUnread(request: GrantRequest): number {
		const {model, adapter, parts, promptTokens} = request
		if (parts.length === 0) return promptTokens
		return this.cache.getUnread(`${model}/${adapter}`, parts)
	}

	private forgetEngine(): void {
		this.slots.reset()
		this.rate.reset()
		this.cache.clear()
		this.granted.clear()
	}
}

const lateRank = 1e9
