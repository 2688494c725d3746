/** Creates the results of keyed calls. */
import {Step} from "../contract/errors.js"
import type {StoredAnswer} from "./claimLog.js"
import {
	ClaimRefusal,
	ClaimResultType,
	type StoredCallResult,
	type NotRunResult,
	SendEnd,
	type SendOutcome,
	type UnknownResult
} from "./claimTypes.js"

export function createNotRun(
	reason: ClaimRefusal,
	detail: string,
	retryAfterMs = 0
): NotRunResult {
	return {type: ClaimResultType.NotRun, reason, detail, retryAfterMs}
}

export function createUnknown(step: Step, detail: string): UnknownResult {
	return {type: ClaimResultType.Unknown, step, detail}
}

/**
 * Creates the result of a call that was sent. `replayed` is true for attempts
 * that waited for the call of another attempt.
 */
export function createResult(
	outcome: SendOutcome,
	replayed: boolean
): StoredCallResult {
	switch (outcome.end) {
		case SendEnd.Answered: {
			const {answer} = outcome
			return {type: ClaimResultType.Answered, answer, replayed}
		}
		case SendEnd.NotStarted: {
			const {detail, retryAfterMs} = outcome
			return createNotRun(ClaimRefusal.EndpointRefused, detail, retryAfterMs)
		}
		case SendEnd.Unknown:
			return createUnknown(outcome.step, outcome.detail)
	}
}

/** Creates the result for a key whose call has ended, from its stored answer. */
export function createReplay(
	answer: StoredAnswer | undefined
): StoredCallResult {
	if (answer === undefined) {
		return createUnknown(Step.Send, "an earlier attempt may have run")
	}
	if (answer.body !== undefined) {
		return {type: ClaimResultType.Answered, answer, replayed: true}
	}
	const {status, size} = answer
	const detail = `answered ${status}; its ${size} characters are not kept`
	return createUnknown(Step.Answer, detail)
}

export const stillRunningResult = createUnknown(
	Step.Answer,
	"the call still runs at the deadline"
)

export const keyReusedResult = createNotRun(
	ClaimRefusal.KeyReused,
	"the key was used with another body"
)

/** Removes the body of an answer when it exceeds `maxChars`. */
export function trimAnswer(
	answer: StoredAnswer,
	maxChars: number
): StoredAnswer {
	if (answer.size <= maxChars) return answer
	const {status, contentType, encoding, size} = answer
	return {status, contentType, encoding, size}
}
