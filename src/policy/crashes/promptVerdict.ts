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
	/** Time of the next trial of these parts. */
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
 * Judges the shared parts of a prompt. `trialOffsetMs` is how much later than the
 * first host this one makes a trial, so that not all make one at the same moment.
 */
export function judgePrompt(
	records: CrashRecords,
	parts: readonly string[],
	{now, trialOffsetMs = 0}: {now: number; trialOffsetMs?: number}
): PromptJudgement {
	const charges = parts
		.flatMap(part => records.listCharges(part))
		.filter(charge => isAccusation(charge))
		.filter(charge => charge.parts.every(part => parts.includes(part)))
	if (charges.length === 0)
		return {verdict: PromptVerdict.Clear, charged: [], trialDueAt: now}
	const dueTimes = charges.map(charge => getTrialDueAt(records, charge))
	const trialDueAt = Math.max(...dueTimes) + trialOffsetMs
	const verdict =
		now >= trialDueAt ? PromptVerdict.Trial : PromptVerdict.TurnAway
	const charged = new Set(charges.flatMap(charge => charge.parts))
	return {verdict, charged: [...charged], trialDueAt}
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
	{parts, engines, lastCrashAt}: Charge
): number {
	const doublings = Math.max(0, engines - evidenceUntilAccused)
	const delayMs = Math.min(maxTrialDelayMs, firstTrialDelayMs * 2 ** doublings)
	const triedAt = Math.max(...parts.map(part => records.getTrialAt(part)))
	return Math.max(lastCrashAt + delayMs, triedAt + trialTimeoutMs)
}
