/**
 * A token bucket that limits retries to a ratio of recent requests, so that
 * retries can't amplify an overload. A small rate is added regardless of
 * requests, so that retries are possible under low load.
 */
export interface RetryBudgetOptions {
	/** Retries permitted per recent request. */
	ratio?: number
	/** Retries permitted per second regardless of requests. */
	minPerSecond?: number
	/**
	 * Largest number of retries that accumulate without requests. The default
	 * is the retries of one second, at least one.
	 */
	burst?: number
}

const defaultRatio = 0.1
const defaultMinPerSecond = 1
/**
 * Time constant with which the request count decays. The bucket's capacity
 * shrinks with it, so unused retries expire.
 */
const decayTimeMs = 10_000

export class RetryBudget {
	private readonly ratio: number
	private minPerSecond: number
	private burst: number
	private tokens: number
	/** Exponentially decayed count of requests. */
	private recentRequests = 0
	private refilledAt: number | undefined

	constructor(options: RetryBudgetOptions = {}) {
		this.ratio = options.ratio ?? defaultRatio
		this.minPerSecond = options.minPerSecond ?? defaultMinPerSecond
		this.burst = options.burst ?? Math.max(1, this.minPerSecond)
		this.tokens = options.burst ?? this.minPerSecond
	}

	/**
	 * Changes the rate and the burst that are permitted regardless of requests.
	 * Unused retries above the new capacity are lost; none are added.
	 */
	adjust(minPerSecond: number, burst: number): void {
		this.minPerSecond = minPerSecond
		this.burst = burst
		this.tokens = Math.min(this.tokens, this.getCapacity())
	}

	/** Counts a request that is not a retry and adds its share of a retry. */
	addRequest(now: number): void {
		this.refill(now)
		this.recentRequests += 1
		this.tokens = Math.min(this.getCapacity(), this.tokens + this.ratio)
	}

	/** Spends one retry; returns false when none is available. */
	tryRetry(now: number): boolean {
		this.refill(now)
		if (this.tokens < 1) return false
		this.tokens -= 1
		return true
	}

	/** Number of retries that could be spent now. */
	getAvailable(now: number): number {
		this.refill(now)
		return Math.floor(this.tokens)
	}

	private refill(now: number): void {
		const elapsedMs = Math.max(0, now - (this.refilledAt ?? now))
		this.refilledAt = Math.max(now, this.refilledAt ?? now)
		this.recentRequests *= Math.exp(-elapsedMs / decayTimeMs)
		const gained = (elapsedMs * this.minPerSecond) / 1000
		this.tokens = Math.min(this.getCapacity(), this.tokens + gained)
	}

	private getCapacity(): number {
		return this.burst + this.ratio * this.recentRequests
	}
}
