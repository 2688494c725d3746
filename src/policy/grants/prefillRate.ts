/**
 * Estimates the rate at which an engine prefills prompts. The engine interleaves
 * prompts and may finish several at once, so the time of a single prompt says
 * little: a sample covers the tokens of several prompts, over the time in
 * which at least one of them was pending.
 */

/** Rate assumed before the first sample. */
const initialTokensPerMs = 20
const minTokensPerMs = 0.5
const maxTokensPerMs = 200
/** Minimum busy time of a sample, long enough for a few prompts. Once reached, the
 * sample ends when no prompt is pending, or at `maxSampleMs`. */
const minSampleMs = 400
const maxSampleMs = 1000
/** Weight of the newest sample; detects a slow engine within about a second. */
const sampleWeight = 0.4

export class PrefillRate {
	private estimate = initialTokensPerMs
	/** Granted prompts whose prefill has not ended. */
	private pendingPrompts = 0
	/** Time up to which busy time was added to the sample. */
	private lastCountedAt = 0
	private sampleBusyMs = 0
	private sampleTokens = 0

	/** Estimated prefill rate. */
	get tokensPerMs(): number {
		return this.estimate
	}

	getPrefillMs(tokens: number): number {
		return tokens / this.estimate
	}

	/** Records that a prompt was granted to the engine. */
	addGrant(now: number): void {
		this.countBusyTime(now)
		this.pendingPrompts += 1
	}

	/** Records that the engine has prefilled a prompt of `tokens`. */
	addPrefilled(tokens: number, now: number): void {
		this.countBusyTime(now)
		this.pendingPrompts -= 1
		this.sampleTokens += tokens
		const isComplete =
			this.pendingPrompts === 0 || this.sampleBusyMs >= maxSampleMs
		if (!isComplete || this.sampleBusyMs < minSampleMs) return
		const sample = this.sampleTokens / this.sampleBusyMs
		const bounded = Math.min(maxTokensPerMs, Math.max(minTokensPerMs, sample))
		this.estimate += sampleWeight * (bounded - this.estimate)
		this.sampleBusyMs = 0
		this.sampleTokens = 0
	}

	/** Removes a pending prompt without adding its tokens to the sample: its request
	 * ended before the first event, or its gateway was lost. */
	dropGrant(now: number): void {
		this.countBusyTime(now)
		this.pendingPrompts -= 1
	}

	reset(): void {
		this.estimate = initialTokensPerMs
		this.pendingPrompts = 0
		this.sampleBusyMs = 0
		this.sampleTokens = 0
	}

	/** Adds the time since the last call to the sample if prompts were pending. */
	private countBusyTime(now: number): void {
		if (this.pendingPrompts > 0) this.sampleBusyMs += now - this.lastCountedAt
		this.lastCountedAt = now
	}
}
