/**
 * Bounds retries to a share of recent requests, plus a few a second for quiet
 * times, so that retries can't multiply an overload.
 */
export interface RetryBudgetOptions {
	/** Retries for each request. */
	ratio?: number
	/** Retries always permitted per second. */
	minPerSecond?: number
	/** Retries that quiet times save up; those of a second when absent. */
	burst?: number
}

const defaultRatio = 0.1
const defaultMinPerSecond = 1
/** Time for which unused retries are kept. */
const windowMs = 10_000

export class RetryBudget {
	private readonly ratio: number
	private minPerSecond: number
	private burst: number
	private tokens: number
	/** Requests of the window, decayed. */
	private recent = 0
	private filledAt: number | undefined

	constructor(options: RetryBudgetOptions = {}) {
		this.ratio = options.ratio ?? defaultRatio
		this.minPerSecond = options.minPerSecond ?? defaultMinPerSecond
		this.burst = options.burst ?? Math.max(1, this.minPerSecond)
		this.tokens = options.burst ?? this.minPerSecond
	}

	/** Changes what is always permitted; nothing is gained at once. */
	adjust(minPerSecond: number, burst: number): void {
		this.minPerSecond = minPerSecond
		this.burst = burst
		this.tokens = Math.min(this.tokens, this.getCapacity())
	}

	/** Counts a request that is not a retry. */
	addRequest(now: number): void {
		this.fill(now)
		this.recent += 1
		this.tokens = Math.min(this.getCapacity(), this.tokens + this.ratio)
	}

	/** Takes one retry from the budget; false when there is none. */
	tryRetry(now: number): boolean {
		this.fill(now)
		if (this.tokens < 1) return false
		this.tokens -= 1
		return true
	}

	/** Retries permitted at once. */
	getAvailable(now: number): number {
		this.fill(now)
		return Math.floor(this.tokens)
	}

	private fill(now: number): void {
		const elapsedMs = Math.max(0, now - (this.filledAt ?? now))
		this.filledAt = Math.max(now, this.filledAt ?? now)
		this.recent *= Math.exp(-elapsedMs / windowMs)
		const gained = (elapsedMs * this.minPerSecond) / 1000
		this.tokens = Math.min(this.getCapacity(), this.tokens + gained)
	}

	private getCapacity(): number {
		return this.burst + this.ratio * this.recent
	}
}
