/**
 * When a gateway asks which other gateway to confirm its configuration: one at a
 * time, the same one as long as it answers.
 */
export interface ConfirmPlanOptions {
	/** Time between two questions while they are answered with proof. */
	intervalMs?: number
	/** Time without an answer, or after an answer without proof, to ask another one. */
	retryMs?: number
}

const defaultIntervalMs = 1000
/** Many times the round trip between failure domains, of 3 ms. */
const defaultRetryMs = 300

export class ConfirmPlan {
	private readonly intervalMs: number
	private readonly retryMs: number
	private current: string | undefined
	private askedAt = Number.NEGATIVE_INFINITY
	private nextAt = Number.NEGATIVE_INFINITY
	private isProven = true

	constructor({
		intervalMs = defaultIntervalMs,
		retryMs = defaultRetryMs
	}: ConfirmPlanOptions = {}) {
		this.intervalMs = intervalMs
		this.retryMs = retryMs
	}

	/**
	 * Returns the gateway among `sources` to ask now; undefined for none yet. `random`
	 * spreads the first questions over the sources.
	 */
	next(
		sources: readonly string[],
		now: number,
		random: number
	): string | undefined {
		if (sources.length === 0 || now < this.nextAt) return undefined
		this.current = this.pick(sources, random)
		this.askedAt = now
		this.nextAt = now + this.retryMs
		this.isProven = false
		return this.current
	}

	/** Records an answer to the question that was sent at `askedAt`. */
	applyAnswer(source: string, hasProof: boolean, askedAt: number): void {
		if (source !== this.current || !hasProof) return
		this.isProven = true
		this.nextAt = askedAt + this.intervalMs
	}

	/** Puts the next question no longer off than after one without an answer. */
	hurry(): void {
		this.nextAt = Math.min(this.nextAt, this.askedAt + this.retryMs)
	}

	private pick(sources: readonly string[], random: number): string | undefined {
		const at = this.current === undefined ? -1 : sources.indexOf(this.current)
		if (at < 0) return sources[Math.floor(random * sources.length)]
		return sources[this.isProven ? at : (at + 1) % sources.length]
	}
}
