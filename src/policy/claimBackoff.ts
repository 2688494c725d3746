/** How long to leave the platform alone after it failed. */

export interface ClaimBackoffOptions {
	/** First and longest wait between attempts. */
	retryBaseMs: number
	retryMaxMs: number
	/** A number in [0, 1) that spreads retries of different processes. */
	jitter: number
}

/** Failures in a row after which the platform counts as down. */
const downAfterFailures = 2

export class ClaimBackoff {
	retryAt = -Infinity
	private failures = 0

	constructor(private readonly options: ClaimBackoffOptions) {}

	get isDown(): boolean {
		return this.failures >= downAfterFailures
	}

	noteSuccess(): void {
		this.failures = 0
	}

	noteFailure(now: number): void {
		this.failures += 1
		const {retryBaseMs, retryMaxMs, jitter} = this.options
		const doubled = retryBaseMs * 2 ** (this.failures - 1)
		const waitMs = Math.min(doubled, retryMaxMs) * (0.5 + jitter / 2)
		this.retryAt = now + waitMs
	}

	/** Tries again soon: the platform answered with an old state. */
	noteStale(now: number): void {
		this.retryAt = now + this.options.retryBaseMs
	}

	/** What to tell a caller that is refused now. */
	retryAfterMs(now: number): number {
		return Math.max(this.options.retryBaseMs, this.retryAt - now)
	}
}
