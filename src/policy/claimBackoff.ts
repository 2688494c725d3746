/** Exponential backoff between calls to the platform after failures. */

export interface ClaimBackoffOptions {
	/** Shortest and longest delay before the platform is called again. */
	retryBaseMs: number
	retryMaxMs: number
	/** A number in [0, 1) per process; spreads the retries of processes. */
	jitter: number
}

/** Consecutive failures after which the platform counts as down. */
const downAfterFailures = 2

export class ClaimBackoff {
	retryAt = -Infinity
	/** Consecutive failures. */
	private failures = 0

	constructor(private readonly options: ClaimBackoffOptions) {}

	get isDown(): boolean {
		return this.failures >= downAfterFailures
	}

	recordSuccess(): void {
		this.failures = 0
	}

	recordFailure(now: number): void {
		this.failures += 1
		const {retryBaseMs, retryMaxMs, jitter} = this.options
		const doubled = retryBaseMs * 2 ** (this.failures - 1)
		const waitMs = Math.min(doubled, retryMaxMs) * (0.5 + jitter / 2)
		this.retryAt = now + waitMs
	}

	/** Delays the next read after one that returned an outdated state. */
	recordStaleRead(now: number): void {
		this.retryAt = now + this.options.retryBaseMs
	}

	/** Delay after which a caller that is refused now should retry. */
	retryAfterMs(now: number): number {
		return Math.max(this.options.retryBaseMs, this.retryAt - now)
	}
}
