/**
 * How far an endpoint is trusted, from its real answers. A failure adds a
 * penalty to the endpoint's expected wait that halves over time, so that a grey
 * endpoint (failing a part of its requests) loses most traffic at once and gets
 * it back step by step; no endpoint is ever excluded for good.
 */

export interface EndpointTrustOptions {
	/** Wait that one failure is worth, milliseconds. */
	failureMs?: number
	halfLifeMs?: number
	maxPenaltyMs?: number
}

/** More than the spread of waits between sound endpoints. */
const defaultFailureMs = 400
/** A few seconds: the time for which one failure predicts the next. */
const defaultHalfLifeMs = 2000
const defaultMaxPenaltyMs = 4000

export class EndpointTrust {
	private penaltyMs = 0
	private at = 0

	constructor(private readonly options: EndpointTrustOptions = {}) {}

	addFailure(now: number, weight = 1): void {
		const {failureMs = defaultFailureMs, maxPenaltyMs = defaultMaxPenaltyMs} =
			this.options
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
		const {halfLifeMs = defaultHalfLifeMs} = this.options
		const ageMs = Math.max(0, now - this.at)
		return this.penaltyMs * 2 ** (-ageMs / halfLifeMs)
	}
}
