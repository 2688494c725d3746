/**
 * How far an endpoint is trusted, from its real answers. A failure adds a
 * penalty to the endpoint's expected wait that halves over time, so that a grey
 * endpoint (failing a part of its requests) loses most traffic at once and gets
 * it back step by step; no endpoint is ever excluded for good.
 */

/** Wait that one failure is worth: more than waits at sound endpoints differ. */
const failureMs = 400
/** A few seconds: the time for which one failure predicts the next. */
const halfLifeMs = 2000
const maxPenaltyMs = 4000

export class EndpointTrust {
	private penaltyMs = 0
	private at = 0

	addFailure(now: number, weight = 1): void {
		const penaltyMs = this.getPenaltyMs(now) + failureMs * weight
		this.penaltyMs = Math.min(maxPenaltyMs, penaltyMs)
		this.at = now
	}

	addSuccess(now: number): void {
		// Half of the doubt goes with each proof, so a mended endpoint recovers.
		this.penaltyMs = this.getPenaltyMs(now) / 2
		this.at = now
	}

	getPenaltyMs(now: number): number {
		const ageMs = Math.max(0, now - this.at)
		return this.penaltyMs * 2 ** (-ageMs / halfLifeMs)
	}
}
