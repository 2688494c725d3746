/** Quotas of Members over all gateways, divided into parts with one holder each. */

/** Each part has a lease of its own, so that the loss of one holder leaves the rest. */
export const quotaPartCount = 3

/** What the quotas are judged by. */
export interface QuotaBounds {
	/** Span in which quotas are judged. */
	windowMs: number
	/** Share by which Members may exceed their quota in that span. */
	overage: number
	/** By how much more, in tokens. */
	slack: number
}

/** A Member's quota as a gateway states it. */
export interface QuotaTerms {
	/** Version of the configuration that it is from. */
	version: number
	/** Of the whole quota, not of a part. */
	perSecond: number
	burst: number
	/** Whether it counts requests instead of tokens. */
	countsRequests: boolean
}

/**
 * Time in which an amount has to be sent that was taken. A request that waits longer
 * has its amount renewed.
 */
export const amountValidMs = 1500

const msPerSecond = 1000

/** Limits of one part of a Member's quota. */
export interface PartLimits {
	perMs: number
	/** What may be used at once after a time without requests. */
	capacity: number
	/** By how much that is above the part's share of the burst. */
	reserve: number
	/** Most that may be sent within the window, or taken and not sent yet. */
	windowLimit: number
	/** By how much the judged bound of a part is above its quota. */
	tolerance: number
}

/**
 * Part of the overage and of the slack that the window may use up. The rest is for
 * what holders can't see: the time between a send and its start at the endpoint.
 */
const usedOverage = 0.5
const usedSlack = 0.7

/**
 * Part of the tolerance by which a part holds more than its share of the burst, so
 * that less is lost at a full part while another one is in debt for a large request.
 */
const reservedTolerance = 0.25

export function getPartLimits(
	{perSecond, burst, countsRequests}: QuotaTerms,
	{windowMs, overage, slack: slackTokens}: QuotaBounds
): PartLimits {
	const perMs = perSecond / msPerSecond / quotaPartCount
	const share = burst / quotaPartCount
	const quota = perMs * windowMs + share
	const slack = countsRequests ? 0 : slackTokens / quotaPartCount
	const tolerance = quota * overage + slack
	const reserve = tolerance * reservedTolerance
	return {
		perMs,
		capacity: share + reserve,
		reserve,
		windowLimit: quota * (1 + overage * usedOverage) + slack * usedSlack,
		tolerance
	}
}
