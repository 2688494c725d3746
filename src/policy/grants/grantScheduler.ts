/**
 * Decides which request is sent to an engine next. The engine's agent runs one
 * scheduler, which queues the requests of all gateways, so that gateways need
 * not know of each other's requests.
 *
 * - Admission control: a request whose expected first event is later than its
 *   `startBy` is refused on arrival.
 * - At most `maxPendingPrefillMs` of prefill work is granted ahead; a longer prompt
 *   is granted when no other prefill is pending. In a burst of requests the rest
 *   wait here, where they can still be reordered, and not in the engine.
 * - While the engine states a limit on its requests, grants are spaced by it, and
 *   requests that would wait too long for their turn are refused.
 */
import {slotKey} from "../../contract/fleet.js"
import {countReservedTokens, GrantTable} from "./grantTable.js"
import type {AdapterDemand} from "./orderPlan.js"
import {AdapterSlots} from "./adapterSlots.js"
import {GrantPace, LimitSource} from "./grantPace.js"
import {PrefixCache} from "./prefixCache.js"
import {PrefillRate} from "./prefillRate.js"
import {RemainingWork} from "./remainingWork.js"
import {FirstEventEstimate} from "./firstEventEstimate.js"
import {
	type EngineLimits,
	type EngineOrder,
	type EngineReport,
	GrantDecisionKind,
	type GrantSchedulerView,
	type GrantRequest,
	type GrantDecision,
	type OrderOutcome,
	GrantRefusalReason
} from "./types.js"
import {WaitingRequests} from "./waitingRequests.js"

export interface GrantSchedulerOptions {
	/** Limit on the total pending prefill time of granted prompts. One that alone
	 * exceeds it is granted when no other prefill is pending. */
	maxPendingPrefillMs?: number
	/** Returns a value in [0, 1); jitters the retry times of refused callers. */
	random: () => number
}

/** Covers more than one prompt, so that the engine does not idle between grants.
 * A higher limit would pin adapter slots for prompts not yet in prefill. */
const defaultMaxPendingPrefillMs = 150
/** Seats kept free for requests sent without a grant, as gateways do when they
 * have lost the agent. */
const reservedSeats = 2
/** Fraction of the engine's KV cache that grants may reserve; the rest absorbs
 * errors of the token estimates. */
const grantableMemoryFraction = 0.9
/** Fraction of the engine's KV cache assumed to hold prompts of ended
 * requests. */
const prefixCacheFraction = 0.6
const minRetryAfterMs = 150

export class GrantScheduler {
	readonly slots = new AdapterSlots()
	private readonly prefillRate = new PrefillRate()
	private readonly prefixCache = new PrefixCache(0)
	private readonly waiting = new WaitingRequests(request =>
		this.prefillRate.getPrefillMs(this.countPrefillTokens(request))
	)
	private readonly grants = new GrantTable()
	private readonly pace = new GrantPace()
	private readonly work = new RemainingWork()
	private readonly estimate = new FirstEventEstimate({
		slots: this.slots,
		prefillRate: this.prefillRate,
		grants: this.grants,
		waiting: this.waiting,
		countPrefillTokens: request => this.countPrefillTokens(request)
	})
	private readonly maxPendingPrefillMs: number
	private readonly random: () => number
	/** `bornAt` of the last report; 0 when unknown. */
	private engineStartedAt = 0
	/** False until the first report, and while the engine does not answer. */
	private isEngineUp = false
	/** Whether the engine stated that it is leaving; until it restarts. */
	private isLeaving = false
	/** Runs of the last report without a grant here, as after an agent restart. */
	private untrackedRuns = 0

	constructor(options: GrantSchedulerOptions) {
		this.maxPendingPrefillMs =
			options.maxPendingPrefillMs ?? defaultMaxPendingPrefillMs
		this.random = options.random
	}

	/** Start time that the engine reported last, Unix milliseconds; 0 when unknown. */
	get engineBornAt(): number {
		return this.engineStartedAt
	}

	setLimits(limits: EngineLimits): void {
		this.slots.limits = limits
		this.prefixCache.setCapacity(limits.memoryTokens * prefixCacheFraction)
	}

	/**
	 * Updates the state from an engine report. Returns true if the report shows that
	 * the engine has restarted. Grants, slots and the prefill estimates are then
	 * discarded; queued requests stay.
	 */
	applyReport(report: EngineReport, now: number): boolean {
		const isRestart =
			this.engineStartedAt !== 0 && report.bornAt !== this.engineStartedAt
		if (isRestart) this.resetEngineState()
		this.engineStartedAt = report.bornAt
		this.isEngineUp = true
		for (const key of this.grants.listEndedOrphans(report, now)) {
			this.releaseGrant(key, now)
		}
		this.untrackedRuns = this.grants.countUntrackedRuns(report)
		this.pace.setLimit(LimitSource.Report, report.requestsPerSecond, now)
		this.slots.apply(report, now)
		return isRestart
	}

	/**
	 * Records that the engine does not answer. Until the next report, new requests
	 * are refused, and queued ones at the next `schedule`.
	 */
	markDown(): void {
		this.isEngineUp = false
	}

	/**
	 * Records that the engine stated that it is leaving. Queued and new requests are
	 * refused, and granted ones go on, until it restarts. `bornAt` is that of the
	 * incarnation that stated it; 0 when unknown.
	 */
	markLeaving(bornAt: number, now: number): GrantDecision[] {
		const isOther = bornAt !== 0 && bornAt !== this.engineStartedAt
		if (isOther && this.engineStartedAt !== 0) return []
		this.isLeaving = true
		return this.schedule(now)
	}

	/**
	 * Sets the requests a second that the engine stated in its answers to gateways;
	 * undefined if it states none. Requests that would now wait too long are refused.
	 */
	setRequestLimit(perSecond: number | undefined, now: number): GrantDecision[] {
		this.pace.setLimit(LimitSource.Answer, perSecond, now)
		return this.schedule(now)
	}

	/**
	 * Queues a request, or refuses it if the engine is down or the expected first
	 * event is too late. A key that is queued or granted already is ignored.
	 */
	submit(request: GrantRequest, now: number): GrantDecision[] {
		if (this.waiting.has(request.key) || this.grants.has(request.key)) {
			return []
		}
		if (!this.isAvailable) {
			return [this.refuse(request, GrantRefusalReason.Unavailable, 0, now)]
		}
		const expectedMs = this.estimate.getFirstEventMs(request, now)
		if (now + expectedMs > request.startBy) {
			const reason = GrantRefusalReason.Overloaded
			return [this.refuse(request, reason, expectedMs, now)]
		}
		const limitedMs = expectedMs + this.pace.getWaitMs(now, this.waiting.size)
		if (now + limitedMs > request.startBy) {
			const reason = GrantRefusalReason.Limit
			return [this.refuse(request, reason, limitedMs, now)]
		}
		this.waiting.add(request)
		return this.schedule(now)
	}

	/** Records that a granted request sent its first event: prefill is done. */
	markStarted(key: string, now: number): GrantDecision[] {
		const grant = this.grants.endPrefill(key)
		if (grant === undefined) return []
		this.work.start(key, now)
		this.prefillRate.addPrefilled(grant.prefillTokens, now)
		const {model, adapter, parts} = grant.request
		this.prefixCache.add(slotKey(model, adapter), parts)
		return this.schedule(now)
	}

	/** Removes a request that ended, was cancelled or moved to another engine. */
	markEnded(key: string, now: number): GrantDecision[] {
		this.waiting.delete(key)
		const grant = this.grants.get(key)
		if (grant?.isPrefillEnded === true) {
			this.estimate.addSlotHold(now - grant.grantedAt)
			this.work.end(key, now, true)
		}
		this.releaseGrant(key, now)
		return this.schedule(now)
	}

	/**
	 * Drops the queued requests of a lost gateway connection. Its granted requests
	 * may still reach the engine or go on running, as when a gateway freezes or is
	 * partitioned under load. Their adapters stay pinned until a report shows that
	 * the requests have ended.
	 */
	dropOwner(owner: string, now: number): GrantDecision[] {
		this.waiting.deleteByOwner(owner)
		for (const key of this.grants.listKeysOfOwner(owner)) {
			// No first event will be reported: stop counting the prefill as pending.
			const grant = this.grants.endPrefill(key)
			if (grant !== undefined)
				this.prefillRate.dropGrant(now, grant.prefillTokens)
			this.grants.markOrphaned(key, now)
		}
		return this.schedule(now)
	}

	/**
	 * Grants queued requests, in the order of service, whose adapter is resident and
	 * for which the engine has capacity. Refuses those that can no longer start by
	 * `startBy`, and all while the engine is down.
	 */
	schedule(now: number): GrantDecision[] {
		const decisions: GrantDecision[] = []
		let queued = 0
		for (const request of this.waiting.rank(now)) {
			const baseMs = this.slots.models.getReadyMs(request.model, now) ?? 0
			const neededMs =
				this.prefillRate.getPrefillMs(this.countPrefillTokens(request)) + baseMs
			if (!this.isAvailable || now + neededMs > request.startBy) {
				this.waiting.delete(request.key)
				const reason = this.isAvailable
					? GrantRefusalReason.Deadline
					: GrantRefusalReason.Unavailable
				decisions.push(this.refuse(request, reason, neededMs, now))
				continue
			}
			const limitedMs = neededMs + this.pace.getWaitMs(now, queued)
			if (now + limitedMs > request.startBy) {
				this.waiting.delete(request.key)
				const reason = GrantRefusalReason.Limit
				decisions.push(this.refuse(request, reason, limitedMs, now))
				continue
			}
			const decision = this.tryGrant(request, now)
			if (decision === undefined) queued += 1
			else decisions.push(decision)
		}
		return decisions
	}

	/** Plans the next order; undefined if none is needed or possible now. */
	planOrder(now: number): EngineOrder | undefined {
		const demands: AdapterDemand[] = this.waiting.rank(now)
		return this.slots.planOrder(demands, now, this.untrackedRuns === 0)
	}

	/**
	 * Whether requests wait while the engine may have runs, untracked or orphaned,
	 * whose end only a report shows. They may block an eviction.
	 */
	get hasUnconfirmedRuns(): boolean {
		if (this.waiting.size === 0) return false
		return this.untrackedRuns > 0 || this.grants.hasOrphans
	}

	endOrder(outcome: OrderOutcome, now: number): void {
		this.slots.endOrder(outcome, now)
	}

	/** Whether the engine answers and takes new requests. */
	private get isAvailable(): boolean {
		return this.isEngineUp && !this.isLeaving
	}

	get waitingCount(): number {
		return this.waiting.size
	}

	getView(now: number): GrantSchedulerView {
		const {slots, estimate} = this
		this.prefillRate.update(now)
		const readyMs = slots.models.getFirstReadyMs(now)
		return {
			isUsable: this.isAvailable && readyMs !== undefined,
			waitMs: Math.max(
				estimate.getWaitMs(now),
				this.pace.getWaitMs(now, this.waiting.size)
			),
			tokensPerSecond: this.prefillRate.tokensPerMs * 1000,
			freeSlots: estimate.countUnclaimedSlots(),
			slotStepMs: estimate.getSlotStepMs(),
			running: this.grants.size,
			work: this.work.getView(
				slots.limits,
				this.waiting.list(),
				{running: this.grants.size, reservedTokens: this.grants.memoryTokens},
				now
			),
			lastingTokensPerSecond: this.prefillRate.lastingTokensPerMs * 1000
		}
	}

	private tryGrant(
		request: GrantRequest,
		now: number
	): GrantDecision | undefined {
		const {model, adapter} = request
		const version = this.slots.getReadyVersion(model, adapter, now)
		if (version === undefined) return undefined
		const prefillTokens = this.countPrefillTokens(request)
		if (!this.hasCapacity(prefillTokens, countReservedTokens(request)))
			return undefined
		if (!this.pace.tryTake(now)) return undefined
		this.waiting.delete(request.key)
		this.grants.add(request, prefillTokens, now)
		this.prefillRate.addGrant(now, prefillTokens)
		if ((request.expectedOutputTokens ?? 0) > 0)
			this.prefillRate.followClosely()
		this.work.add(request)
		this.slots.pin(model, adapter, now)
		return {
			kind: GrantDecisionKind.Grant,
			request,
			version,
			expectedMs: this.prefillRate.getPrefillMs(
				this.grants.pendingPrefillTokens
			)
		}
	}

	private hasCapacity(prefillTokens: number, reservedTokens: number): boolean {
		const limits = this.slots.limits
		if (limits === undefined) return false
		if (this.grants.size >= limits.seats - reservedSeats) return false
		const grantableTokens = limits.memoryTokens * grantableMemoryFraction
		const {size, memoryTokens, pendingPrefillTokens} = this.grants
		// A request that alone exceeds one of these limits is granted while nothing
		// else counts towards it; otherwise it could never be granted.
		if (size > 0 && memoryTokens + reservedTokens > grantableTokens)
			return false
		if (pendingPrefillTokens === 0) return true
		const pendingMs = this.prefillRate.getPrefillMs(
			pendingPrefillTokens + prefillTokens
		)
		return pendingMs <= this.maxPendingPrefillMs
	}

	private releaseGrant(key: string, now: number): void {
		const grant = this.grants.remove(key)
		this.work.end(key, now, false)
		if (grant === undefined) return
		if (!grant.isPrefillEnded)
			this.prefillRate.dropGrant(now, grant.prefillTokens)
		this.slots.unpin(grant.request.model, grant.request.adapter)
	}

	private refuse(
		request: GrantRequest,
		reason: GrantRefusalReason,
		expectedMs: number,
		now: number
	): GrantDecision {
		return {
			kind: GrantDecisionKind.Refuse,
			request,
			reason,
			expectedMs,
			retryAfterMs: this.getRetryAfterMs(request, expectedMs, now)
		}
	}

	/**
	 * A turn of its own while the engine states a limit, else the excess of the
	 * expected time over the time left, with jitter against retry bursts.
	 */
	private getRetryAfterMs(
		request: GrantRequest,
		expectedMs: number,
		now: number
	): number {
		const returnMs = this.pace.assignReturn(
			request.deadline,
			now,
			this.waiting.size
		)
		if (returnMs !== undefined) return Math.max(minRetryAfterMs, returnMs)
		const affordableMs = request.startBy - now
		const excessMs = Math.max(minRetryAfterMs, expectedMs - affordableMs)
		return excessMs * (1 + this.random())
	}

	private countPrefillTokens(request: GrantRequest): number {
		const {model, adapter, parts, promptTokens} = request
		if (parts.length === 0) return promptTokens
		return this.prefixCache.countUncachedTokens(slotKey(model, adapter), parts)
	}

	private resetEngineState(): void {
		this.isLeaving = false
		this.slots.reset()
		this.prefillRate.reset()
		this.work.clear()
		this.prefixCache.clear()
		this.grants.clear()
		this.pace.reset()
	}
}
