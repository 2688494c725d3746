/** Token bucket that holds at most one second's worth of tokens. */

const msPerSecond = 1_000

export class TokenBucket {
	private tokens: number
	private filledAt = performance.now()

	constructor(private perSecond: number) {
		this.tokens = perSecond
	}

	setRate(perSecond: number): void {
		this.fill()
		this.perSecond = perSecond
		this.tokens = Math.min(this.tokens, this.capacity)
	}

	/** Takes a token if there is one. */
	take(): boolean {
		this.fill()
		if (this.tokens < 1) return false
		this.tokens -= 1
		return true
	}

	/** Takes a token even if there is none, which later calls pay back. */
	charge(): void {
		this.fill()
		this.tokens -= 1
	}

	/** Milliseconds until a token is there. */
	get waitMs(): number {
		this.fill()
		return (Math.max(0, 1 - this.tokens) / this.perSecond) * msPerSecond
	}

	private get capacity(): number {
		return Math.max(1, this.perSecond)
	}

	private fill(): void {
		const now = performance.now()
		const earned = ((now - this.filledAt) / msPerSecond) * this.perSecond
		this.tokens = Math.min(this.capacity, this.tokens + earned)
		this.filledAt = now
	}
}
