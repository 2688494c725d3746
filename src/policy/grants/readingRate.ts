/**
 * The rate at which an engine reads prompts, learned from the time between
 * first events. Engines of one pool differ, and one that turns slow is known by
 * its next answers.
 */

/** Tokens a millisecond assumed before the first sample. */
const initialRate = 20
const minRate = 0.5
const maxRate = 200
/** Prompts below this say more about the network than about the engine. */
const minSampleTokens = 400
/** Weight of the newest sample: about five samples replace the estimate. */
const sampleWeight = 0.25

export class ReadingRate {
	private rate = initialRate
	private lastStartedAt = Number.NEGATIVE_INFINITY

	/** Tokens a millisecond. */
	get tokensPerMs(): number {
		return this.rate
	}

	getReadMs(tokens: number): number {
		return tokens / this.rate
	}

	/** Takes in that a request granted at `grantedAt` began at `now`. */
	addStart(tokens: number, grantedAt: number, now: number): void {
		const from = Math.max(grantedAt, this.lastStartedAt)
		this.lastStartedAt = now
		if (tokens < minSampleTokens) return
		const elapsedMs = Math.max(1, now - from)
		const sample = Math.min(maxRate, Math.max(minRate, tokens / elapsedMs))
		this.rate += sampleWeight * (sample - this.rate)
	}

	reset(): void {
		this.rate = initialRate
		this.lastStartedAt = Number.NEGATIVE_INFINITY
	}
}
