/**
 * The rate at which an engine reads prompts, learned while prompts wait to be
 * read. Several prompts are read by turns and may begin together, so the rate is
 * taken over a stretch of busy time and not from one prompt to the next.
 */

/** Tokens a millisecond assumed before the first sample. */
const initialRate = 20
const minRate = 0.5
const maxRate = 200
/** A stretch this long holds a few prompts; it ends where none is pending. */
const minStretchMs = 400
const maxStretchMs = 1000
/** Weight of the newest stretch: a slow engine is known within about a second. */
const sampleWeight = 0.4

export class ReadingRate {
	private rate = initialRate
	/** Prompts granted and not begun. */
	private pending = 0
	/** Time up to which the stretch is counted, while prompts are pending. */
	private countedAt = 0
	private busyMs = 0
	private tokens = 0

	/** Tokens a millisecond. */
	get tokensPerMs(): number {
		return this.rate
	}

	getReadMs(tokens: number): number {
		return tokens / this.rate
	}

	/** A prompt was given to the engine. */
	addGrant(now: number): void {
		this.count(now)
		this.pending += 1
	}

	/** The engine has read a prompt of `tokens`. */
	addStart(tokens: number, now: number): void {
		this.count(now)
		this.pending -= 1
		this.tokens += tokens
		const isEnd = this.pending === 0 || this.busyMs >= maxStretchMs
		if (!isEnd || this.busyMs < minStretchMs) return
		const sample = this.tokens / this.busyMs
		const bounded = Math.min(maxRate, Math.max(minRate, sample))
		this.rate += sampleWeight * (bounded - this.rate)
		this.busyMs = 0
		this.tokens = 0
	}

	/** A prompt that was given to the engine ended unread. */
	dropGrant(now: number): void {
		this.count(now)
		this.pending -= 1
	}

	reset(): void {
		this.rate = initialRate
		this.pending = 0
		this.busyMs = 0
		this.tokens = 0
	}

	/** Adds the time since the last call, if prompts were pending. */
	private count(now: number): void {
		if (this.pending > 0) this.busyMs += now - this.countedAt
		this.countedAt = now
	}
}
