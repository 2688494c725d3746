/**
 * Whether a request may be sent to an engine, by the parts of its prompt. A request
 * with all parts that are charged with several crashes is turned away, but for a
 * trial now and then by one request of the whole fleet: an answer ends the charge, a
 * crash doubles the time to the next trial.
 *
 * A request with only some of these parts is served, and its answer tells them apart.
 * So nobody can have a part turned away by sending it with one that crashes engines.
 */
import type {Charge} from "./charges.js"
import type {CrashRecords} from "./crashRecords.js"
import {isRequestPart} from "./requestPart.js"

export enum PromptVerdict {
	/** Nothing speaks against it. */
	Clear = "clear",
	/** It may be sent to try whether its parts still crash engines. */
	Trial = "trial",
	/** It would most likely crash an engine. */
	TurnAway = "turnAway"
}

export interface PromptJudgement {
	verdict: PromptVerdict
	/** Parts of the prompt that are charged with crashes. */
	charged: string[]
	/** Time of the next trial of these parts; infinite if there is to be none. */
	trialDueAt: number
}

/** A part that was at one crash was most likely there by chance. */
const evidenceUntilAccused = 2
/**
 * A part that comes often takes down several engines at a time, as other causes do. It
 * is accused after so many, if it was at all that crashed with them and nobody
 * answered it for a time in which the parts of sound callers are.
 */
const enginesUntilAccused = 5
const unansweredMs = 1000
/** Time from the second crash of a part to its trial; doubled with each crash since. */
const firstTrialDelayMs = 2000
const maxTrialDelayMs = 10 * 60 * 1000
/** Time after which a trial without an outcome is made again: it was never run. */
const trialTimeoutMs = 4000
/**
 * A request as a whole with so much evidence isn't tried any more: the users allow
 * three sends after the third crash.
 */
const evidenceUntilLastTrial = 4
/**
 * Judges the shared parts of a prompt and the request as a whole. `trialOffsetMs` is
 * how much later than the first host this one makes a trial, so that not all make one
 * at the same moment.
 */
export function judgePrompt(
	records: CrashRecords,
	parts: readonly string[],
	{now, trialOffsetMs = 0}: {now: number; trialOffsetMs?: number}
): PromptJudgement {
	const charges = parts
		.flatMap(part => records.listCharges(part))
		.filter(charge => isAccusation(charge))
		.flatMap(charge => findOwnCharge(charge, parts) ?? [])
	if (charges.length === 0)
		return {verdict: PromptVerdict.Clear, charged: [], trialDueAt: now}
	const dueTimes = charges.map(charge => getTrialDueAt(records, charge))
	const trialDueAt = Math.max(...dueTimes) + trialOffsetMs
	const verdict =
		now >= trialDueAt ? PromptVerdict.Trial : PromptVerdict.TurnAway
	const charged = new Set(charges.flatMap(charge => charge.parts))
	return {verdict, charged: [...charged], trialDueAt}
}

interface OwnCharge extends Charge {
	/** Whether other requests are charged as well, of which one did it. */
	isTied: boolean
}

/**
 * The charge as it applies to a request with these parts, if it does. Of several
 * requests that are charged as a whole each is judged by itself: none holds all.
 */
function findOwnCharge(
	charge: Charge,
	parts: readonly string[]
): OwnCharge | undefined {
	const own = charge.parts.filter(part => parts.includes(part))
	if (own.length === charge.parts.length) return {...charge, isTied: false}
	if (!charge.parts.every(isRequestPart)) return undefined
	return {...charge, parts: own, isTied: true}
}

/** Parts with which requests are turned away, at least together. */
export function listAccusedParts(records: CrashRecords): string[] {
	return records
		.listChargedParts()
		.filter(part => records.listCharges(part).some(isAccusation))
}

/** Whether one of the parts is among the best explanations of a crash. */
export function hasSuspect(
	records: CrashRecords,
	parts: readonly string[]
): boolean {
	return parts.some(part => records.listCharges(part).length > 0)
}

function isAccusation(charge: Charge): boolean {
	const {evidence, engines, isAtAll, firstCrashAt, lastCrashAt} = charge
	if (evidence >= evidenceUntilAccused) return true
	const isUnanswered = lastCrashAt - firstCrashAt >= unansweredMs
	return isAtAll && isUnanswered && engines >= enginesUntilAccused
}

function getTrialDueAt(
	records: CrashRecords,
	{parts, engines, evidence, lastCrashAt, isTied}: OwnCharge
): number {
	const triedAt = Math.max(...parts.map(part => records.getTrialAt(part)))
	const nextAt = triedAt + trialTimeoutMs
	// Without delay, but one at a time: the outcome tells them apart.
	if (isTied) return nextAt
	if (evidence >= evidenceUntilLastTrial && parts.some(isRequestPart))
		return Number.POSITIVE_INFINITY
	const doublings = Math.max(0, engines - evidenceUntilAccused)
	const delayMs = Math.min(maxTrialDelayMs, firstTrialDelayMs * 2 ** doublings)
	return Math.max(lastCrashAt + delayMs, nextAt)
}
