/** Exponential backoff between calls to the platform after failures. */

export interface PlatformBackoffOptions {
	/**
	 * Delay after the first failure, doubled after each further one up to
	 * `retryMaxMs`; `jitter` reduces it by up to half.
	 */
	retryBaseMs: number
	retryMaxMs: number
	/**
	 * A number in [0, 1); if it differs between processes, so do their retries. A
	 * backoff lasts half of its full delay at 0 and nearly all of it at 1.
	 */
	jitter: number
}

/** Consecutive failures after which the platform counts as down. */
const downAfterFailures = 2

export class PlatformBackoff {
	/** Time before which no call to the platform is started. */
	retryAt = -Infinity
	/** Consecutive failures. */
	private failures = 0

	constructor(private readonly options: PlatformBackoffOptions) {}

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

	/**
	 * Delays the next call by `retryBaseMs`, as the platform returned an outdated
	 * state. It did answer, so this does not count as a failure.
	 */
	recordStaleRead(now: number): void {
		this.retryAt = now + this.options.retryBaseMs
	}

	/** Delay after which a caller that is refused now should retry. */
	retryAfterMs(now: number): number {
		return Math.max(this.options.retryBaseMs, this.retryAt - now)
	}
}
