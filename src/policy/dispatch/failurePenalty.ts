/**
 * A penalty that failed requests add to an endpoint's expected wait. It halves
 * every `halfLifeMs` and with each success, so that a repaired endpoint recovers.
 * An endpoint that fails part of its requests (gray failure) thus loses most of its
 * traffic at once and regains it step by step. The penalty is bounded, so that no
 * endpoint is excluded for good.
 */

/** More than the waits of healthy endpoints differ, so that one failure moves
 * traffic away. */
const penaltyPerFailureMs = 400
/** A failure makes another one likely for a few seconds. */
const halfLifeMs = 2000
const maxPenaltyMs = 4000

export class FailurePenalty {
	private penaltyMs = 0
	private updatedAt = 0

	/** `weight` is below 1 for milder failures, such as an answered error status. */
	addFailure(now: number, weight = 1): void {
		const penaltyMs = this.getPenaltyMs(now) + penaltyPerFailureMs * weight
		this.penaltyMs = Math.min(maxPenaltyMs, penaltyMs)
		this.updatedAt = now
	}

	addSuccess(now: number): void {
		this.penaltyMs = this.getPenaltyMs(now) / 2
		this.updatedAt = now
	}

	getPenaltyMs(now: number): number {
		const ageMs = Math.max(0, now - this.updatedAt)
		return this.penaltyMs * 2 ** (-ageMs / halfLifeMs)
	}
}
