/**
 * Decides which request goes to an engine next, for all gateways. One scheduler
 * owns the engine's queue, so gateways need no view of each other's requests.
 *
 * - At most `readAheadMs` of prompt reading is given out, so that the order of
 *   work is decided here until shortly before a prompt is read (a lunch-hour
 *   crowd: many prompts at once).
 * - What can't begin while it is of use is refused on arrival.
 */
import {slotKey} from "../../contract/fleet.js"
import {countTokens, GrantTable} from "./grantTable.js"
import type {AdapterDemand} from "./orderPlan.js"
import {AdapterSlots} from "./adapterSlots.js"
import {PromptCache} from "./promptCache.js"
import {ReadingRate} from "./readingRate.js"
import {StartEstimate} from "./startEstimate.js"
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
import {WaitingRequests} from "./waitingRequests.js"

export interface GrantSchedulerOptions {
	/** Reading time given out ahead, milliseconds. */
	readAheadMs?: number
	/** A value in [0, 1) that spreads the return of refused callers. */
	random: () => number
}

/** More than one prompt, so that the engine does not idle between grants; more
 * would hold adapter slots for prompts that are not being read yet. */
const defaultReadAheadMs = 150
/** Seats left for requests that bypass grants, as in a loss of the agent. */
const reservedSeats = 2
/** Share of the engine's memory given out; the rest absorbs estimates. */
const memoryShare = 0.9
/** Share of the memory that keeps prompt parts of ended requests. */
const cacheShare = 0.6
const minRetryAfterMs = 150

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
	private readonly waiting = new WaitingRequests(request =>
		this.rate.getReadMs(this.getUnread(request))
	)
	private readonly granted = new GrantTable()
	private readonly estimate = new StartEstimate({
		slots: this.slots,
		rate: this.rate,
		granted: this.granted,
		waiting: this.waiting,
		getUnread: request => this.getUnread(request)
	})
	private readonly readAheadMs: number
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
		const expectedMs = this.estimate.getStartMs(request, now)
		if (now + expectedMs > request.startBy) {
			const reason = RefusalReason.Overloaded
			return [this.refuse(request, reason, expectedMs, now)]
		}
		this.waiting.add(request)
		return this.schedule(now)
	}

	/** The first event of a granted request arrived. */
	start(key: string, now: number): GrantStep[] {
		const granted = this.granted.start(key)
		if (granted === undefined) return []
		this.rate.addStart(granted.unread, now)
		const {model, adapter, parts} = granted.request
		this.cache.add(slotKey(model, adapter), parts)
		return this.schedule(now)
	}

	/** A request ended, was given up or moved elsewhere. */
	end(key: string, now: number): GrantStep[] {
		this.waiting.delete(key)
		const granted = this.granted.get(key)
		if (granted?.isStarted === true) {
			this.estimate.addHold(now - granted.grantedAt)
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
		this.waiting.deleteOf(owner)
		for (const key of this.granted.listOf(owner)) {
			if (this.granted.start(key) !== undefined) this.rate.dropGrant(now)
			this.granted.orphan(key, now)
		}
		return this.schedule(now)
	}

	/** Grants what can go now, and refuses what can't be served any more. */
	schedule(now: number): GrantStep[] {
		const steps: GrantStep[] = []
		for (const request of this.waiting.rank(now)) {
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
		const demands: AdapterDemand[] = this.waiting.rank(now)
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
		const {slots, estimate} = this
		const readyMs = slots.models.getFirstReadyMs(now)
		return {
			isUsable: this.isUp && readyMs !== undefined,
			waitMs: estimate.getWaitMs(now),
			tokensPerSecond: this.rate.tokensPerMs * 1000,
			freeSlots: estimate.countFreeSlots(),
			slotStepMs: estimate.getSlotStepMs(),
			running: this.granted.size
		}
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
		return this.cache.getUnread(slotKey(model, adapter), parts)
	}

	private forgetEngine(): void {
		this.slots.reset()
		this.rate.reset()
		this.cache.clear()
		this.granted.clear()
	}
}
