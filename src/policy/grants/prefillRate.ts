/**
 * Estimates the rate at which an engine prefills prompts. The engine interleaves
 * prompts and may finish several at once, so the time of a single prompt says
 * little: a sample covers the tokens of several prompts, over the time in
 * which at least one of them was pending.
 *
 * Where requests state what they are likely to cost, engines may differ and change
 * their speed. The estimate then falls as soon as an engine has certainly done less
 * than it says, and a lasting rate is kept across restarts.
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
/** Weight in the lasting rate, which has to outlast changes of some seconds. */
const lastingSampleWeight = 0.05
/** Samples without which the lasting rate is not stated. */
const minLastingSamples = 3
/** Busy time from which a fall is told from the time that messages take. */
const minFallMs = 200
/** Time of a busy stretch that messages and the first decode step take. */
const overheadMs = 30

export class PrefillRate {
	private estimate = initialTokensPerMs
	/** Granted prompts whose prefill has not ended. */
	private pendingPrompts = 0
	/** Time up to which busy time was added to the sample. */
	private lastCountedAt = 0
	private sampleBusyMs = 0
	private sampleTokens = 0
	/** Tokens of the pending prompts. */
	private pendingTokens = 0
	private lastingRate = 0
	private lastingSamples = 0
	private isClose = false

	/** Rate over the last minute or so, also before a restart; 0 if unknown. */
	get lastingTokensPerMs(): number {
		return this.lastingSamples < minLastingSamples ? 0 : this.lastingRate
	}

	/** Has the estimate fall at once, and start from the lasting rate. */
	followClosely(): void {
		this.isClose = true
	}

	/** Estimated prefill rate. */
	get tokensPerMs(): number {
		return this.estimate
	}

	getPrefillMs(tokens: number): number {
		return tokens / this.estimate
	}

	/** Records that a prompt of `tokens` was granted to the engine. */
	addGrant(now: number, tokens = 0): void {
		this.countBusyTime(now)
		this.pendingPrompts += 1
		this.pendingTokens += tokens
	}

	/** Takes into account that pending prompts have not been prefilled until now. */
	update(now: number): void {
		if (!this.isClose) return
		this.countBusyTime(now)
		this.limitToProgress()
	}

	/** Records that the engine has prefilled a prompt of `tokens`. */
	addPrefilled(tokens: number, now: number): void {
		this.countBusyTime(now)
		this.pendingPrompts -= 1
		this.pendingTokens = Math.max(0, this.pendingTokens - tokens)
		this.sampleTokens += tokens
		if (this.isClose) this.limitToProgress()
		const isComplete =
			this.pendingPrompts === 0 || this.sampleBusyMs >= maxSampleMs
		if (!isComplete || this.sampleBusyMs < minSampleMs) return
		const sample = this.sampleTokens / this.sampleBusyMs
		const bounded = Math.min(maxTokensPerMs, Math.max(minTokensPerMs, sample))
		this.estimate += sampleWeight * (bounded - this.estimate)
		this.addLastingSample(bounded)
		this.sampleBusyMs = 0
		this.sampleTokens = 0
	}

	/** Removes a pending prompt without adding its tokens to the sample: its request
	 * ended before the first event, or its gateway was lost. */
	dropGrant(now: number, tokens = 0): void {
		this.countBusyTime(now)
		this.pendingPrompts -= 1
		this.pendingTokens = Math.max(0, this.pendingTokens - tokens)
	}

	reset(): void {
		const {lastingTokensPerMs: lasting} = this
		this.estimate = this.isClose && lasting > 0 ? lasting : initialTokensPerMs
		this.pendingPrompts = 0
		this.pendingTokens = 0
		this.sampleBusyMs = 0
		this.sampleTokens = 0
	}

	/**
	 * Lowers the estimate to the rate at which the engine would have done all pending
	 * prompts by now, since it has done no more than that.
	 */
	private limitToProgress(): void {
		if (this.sampleBusyMs < minFallMs) return
		const mostTokens = this.sampleTokens + this.pendingTokens
		if (mostTokens <= 0) return
		const mostTokensPerMs = mostTokens / (this.sampleBusyMs - overheadMs)
		if (mostTokensPerMs >= this.estimate) return
		this.estimate = Math.max(minTokensPerMs, mostTokensPerMs)
	}

	private addLastingSample(sample: number): void {
		this.lastingSamples += 1
		const weight = Math.max(lastingSampleWeight, 1 / this.lastingSamples)
		this.lastingRate += weight * (sample - this.lastingRate)
	}

	/** Adds the time since the last call to the sample if prompts were pending. */
	private countBusyTime(now: number): void {
		if (this.pendingPrompts > 0) this.sampleBusyMs += now - this.lastCountedAt
		this.lastCountedAt = now
	}
}
