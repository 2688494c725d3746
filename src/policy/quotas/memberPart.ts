/**
 * One part of a Member's quota: a bucket that is filled evenly and may go into debt,
 * and a window that bounds what is sent, and what is taken and not sent yet.
 */
import {ReturnSchedule} from "../limits/index.js"
import {SentWindow} from "./sentWindow.js"
import {
	getPartLimits,
	type PartLimits,
	type QuotaBounds,
	quotaPartCount,
	type QuotaTerms
} from "./types.js"

/** Since when the bucket has been filling. */
export interface BucketStart {
	at: number
	/** Whether another holder may have given the Member much right before. */
	hasPredecessor: boolean
}

export interface QuotaQuery {
	/** What the request counts where the quota counts tokens; it is 1 otherwise. */
	tokens: number
	/** Deadline of the request, to give each refused caller a turn of its own. */
	deadline: number
	/** Whether to give the caller its turn; another part does otherwise. */
	isLast: boolean
	/** Shortest wait that other parts stated. */
	otherWaitMs: number
}

export interface QuotaRefusal {
	/** Time until the part may have as much, unless others take it. */
	waitMs: number
	/** Time after which the caller may return. */
	retryAfterMs: number
}

/**
 * Largest request that an earlier holder is assumed to have given right before it
 * lost the part: four times the usual request, rounded up.
 */
const largestTokens = 10_000
const largestRequests = 1
/** Share of the tolerance that a change of the holder may use up. */
const usedTolerance = 0.9
/** Wait that is stated when it depends on when other requests are sent. */
const unsentWaitMs = 1000
const maxWaitMs = 30_000

export class MemberPart {
	/** Time of the last ask. */
	askedAt: number
	/** Whether the last ask was refused. */
	isOver = false
	private limits: PartLimits
	private level: number
	private filledAt: number
	/** Taken and neither sent nor returned yet. */
	private taken = 0
	private readonly sent: SentWindow
	private readonly returns = new ReturnSchedule()
	/** Largest cost asked for while no debt is allowed. */
	private largestCost = 0

	constructor(
		private terms: QuotaTerms,
		private readonly bounds: QuotaBounds,
		private readonly start: BucketStart,
		now: number
	) {
		this.limits = getPartLimits(terms, bounds)
		this.sent = new SentWindow(bounds.windowMs)
		this.askedAt = now
		this.filledAt = now
		this.level = this.getFirstLevel(now)
	}

	get countsRequests(): boolean {
		return this.terms.countsRequests
	}

	/** Version of the configuration that the quota is from. */
	get version(): number {
		return this.terms.version
	}

	/** Recent use in percent of this part of the quota. */
	getUsePercent(now: number): number {
		const {windowMs} = this.bounds
		const knownMs = now - this.start.at
		const spanMs = Math.min(windowMs, Math.max(windowMs / 4, knownMs))
		const share = this.getUsed(now) / (this.limits.perMs * spanMs)
		return Math.round(share * 100)
	}

	/** Applies the quota that a gateway states, unless a newer one is known. */
	applyTerms(terms: QuotaTerms, now: number): void {
		if (terms.version <= this.terms.version) return
		this.refill(now)
		this.terms = terms
		this.limits = getPartLimits(terms, this.bounds)
		const {capacity, perMs} = this.limits
		// A debt from a higher quota is not paid off for longer than the window, which
		// bounds what is sent anyway.
		const lowest = -perMs * this.bounds.windowMs
		this.level = Math.max(lowest, Math.min(this.level, capacity))
	}

	/** Amount in the unit of the quota. */
	getCost({tokens}: Pick<QuotaQuery, "tokens">): number {
		return this.terms.countsRequests ? 1 : tokens
	}

	/** Takes the amount; returns the refusal if the quota is used up. */
	take(query: QuotaQuery, now: number): QuotaRefusal | undefined {
		const cost = this.getCost(query)
		this.askedAt = now
		this.refill(now)
		const waitMs = Math.max(
			this.getBucketWaitMs(cost, now),
			this.getWindowWaitMs(cost, now)
		)
		this.isOver = waitMs > 0
		if (this.isOver) {
			const retryAfterMs = this.assignTurn(query, waitMs, now)
			return {waitMs, retryAfterMs}
		}
		this.level -= cost
		this.taken += cost
		return undefined
	}

	markSent(amount: number, at: number): void {
		this.taken -= amount
		this.sent.add(at, amount)
	}

	giveBack(amount: number, now: number): void {
		this.refill(now)
		this.taken -= amount
		this.level = Math.min(this.getLargestLevel(now), this.level + amount)
	}

	/** What was sent within the window, or is taken and not sent yet. */
	getUsed(now: number): number {
		return this.sent.getSum(now) + this.taken
	}

	/** Inputs of the last decision, for the log. */
	getFields(now: number): Record<string, number> {
		return {
			level: Math.round(this.level),
			used: Math.round(this.getUsed(now)),
			limit: Math.round(this.limits.windowLimit)
		}
	}

	/**
	 * Negative while amounts of an earlier holder may still be sent, and where one
	 * large request of that holder would exceed what is tolerated.
	 */
	private getFirstLevel(now: number): number {
		const {capacity, reserve, perMs, tolerance} = this.limits
		const {hasPredecessor, at} = this.start
		if (!hasPredecessor) return capacity
		const largest = this.terms.countsRequests ? largestRequests : largestTokens
		const debt = largest - Math.min(largest / quotaPartCount, capacity)
		const excess = reserve + debt - tolerance * usedTolerance
		return Math.min(capacity, (now - at) * perMs - Math.max(0, excess))
	}

	/** After a change of the holder nothing is given on credit for one window. */
	private isRestricted(now: number): boolean {
		const {hasPredecessor, at} = this.start
		return hasPredecessor && now < at + this.bounds.windowMs
	}

	private getLargestLevel(now: number): number {
		const {capacity} = this.limits
		return this.isRestricted(now)
			? Math.max(capacity, this.largestCost)
			: capacity
	}

	private refill(now: number): void {
		const added = (now - this.filledAt) * this.limits.perMs
		this.filledAt = now
		this.level = Math.min(this.getLargestLevel(now), this.level + added)
	}

	/**
	 * A part needs its share of the cost only, since one of the parts has that if all
	 * of them together have the whole cost. The rest is its debt.
	 */
	private getBucketWaitMs(cost: number, now: number): number {
		const {capacity, perMs} = this.limits
		const isRestricted = this.isRestricted(now)
		if (isRestricted) this.largestCost = Math.max(this.largestCost, cost)
		const share = Math.min(cost / quotaPartCount, capacity)
		const needed = isRestricted ? cost : share
		return Math.max(0, (needed - this.level) / perMs)
	}

	private getWindowWaitMs(cost: number, now: number): number {
		const excess = this.getUsed(now) + cost - this.limits.windowLimit
		if (excess <= 0) return 0
		return this.sent.getWaitMs(excess, now) ?? unsentWaitMs
	}

	private assignTurn(
		query: QuotaQuery,
		ownWaitMs: number,
		now: number
	): number {
		const {deadline, isLast, otherWaitMs} = query
		const waitMs = Math.min(maxWaitMs, ownWaitMs)
		if (!isLast) return waitMs
		const intervalMs = this.getCost(query) / this.limits.perMs
		const refused = {
			waitMs: Math.min(waitMs, otherWaitMs),
			intervalMs,
			deadline
		}
		return this.returns.assign(refused, now)
	}
}
