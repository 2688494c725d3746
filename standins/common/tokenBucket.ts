/**
 * Token bucket whose capacity is the number of tokens that it gains in one
 * second, but at least one.
 */

const msPerSecond = 1_000

export class TokenBucket {
	private tokens: number
	private refilledAtMs = performance.now()

	constructor(private ratePerSecond: number) {
		this.tokens = ratePerSecond
	}

	setRate(ratePerSecond: number): void {
		this.refill()
		this.ratePerSecond = ratePerSecond
		this.tokens = Math.min(this.tokens, this.capacity)
	}

	/** Takes a token if one is available; returns whether it did. */
	tryTake(): boolean {
		this.refill()
		if (this.tokens < 1) return false
		this.tokens -= 1
		return true
	}

	/**
	 * Takes a token even if none is available. The balance may become negative;
	 * `tryTake` then fails until it has been refilled.
	 */
	forceTake(): void {
		this.refill()
		this.tokens -= 1
	}

	/** Time until the next token is available; 0 when one is available now. */
	get waitMs(): number {
		this.refill()
		return (Math.max(0, 1 - this.tokens) / this.ratePerSecond) * msPerSecond
	}

	private get capacity(): number {
		return Math.max(1, this.ratePerSecond)
	}

	private refill(): void {
		const now = performance.now()
		const gained =
			((now - this.refilledAtMs) / msPerSecond) * this.ratePerSecond
		this.tokens = Math.min(this.capacity, this.tokens + gained)
		this.refilledAtMs = now
	}
}
