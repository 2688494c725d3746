/** Makes the results that keyed calls end with. */
import {Step} from "../contract/errors.js"
import type {StoredAnswer} from "./claimLog.js"
import {
	ClaimRefusal,
	ClaimResultType,
	type LogResult,
	type NotRunResult,
	SendEnd,
	type SendOutcome,
	type UnknownResult
} from "./claimTypes.js"

export function notRun(
	reason: ClaimRefusal,
	detail: string,
	retryAfterMs = 0
): NotRunResult {
	return {type: ClaimResultType.NotRun, reason, detail, retryAfterMs}
}

export function unknown(step: Step, detail: string): UnknownResult {
	return {type: ClaimResultType.Unknown, step, detail}
}

/** The result of a call that was sent; `replayed` for those that joined it. */
export function resultOf(outcome: SendOutcome, replayed: boolean): LogResult {
	switch (outcome.end) {
		case SendEnd.Answered: {
			const {answer} = outcome
			return {type: ClaimResultType.Answered, answer, replayed}
		}
		case SendEnd.NotStarted: {
			const {detail, retryAfterMs} = outcome
			return notRun(ClaimRefusal.EndpointRefused, detail, retryAfterMs)
		}
		case SendEnd.Unknown:
			return unknown(outcome.step, outcome.detail)
	}
}

/** The result of a key that was sent before, from what is kept of it. */
export function replay(answer: StoredAnswer | undefined): LogResult {
	if (answer === undefined) {
		return unknown(Step.Send, "an earlier attempt may have run")
	}
	if (answer.body !== undefined) {
		return {type: ClaimResultType.Answered, answer, replayed: true}
	}
	const {status, size} = answer
	const detail = `answered ${status}; its ${size} characters are not kept`
	return unknown(Step.Answer, detail)
}

export const stillRunning = unknown(
	Step.Answer,
	"the call still runs at the deadline"
)

export const keyReused = notRun(
	ClaimRefusal.KeyReused,
	"the key was used with another body"
)

/** The answer as it is kept: without its body when that is too large. */
export function trimAnswer(
	answer: StoredAnswer,
	maxChars: number
): StoredAnswer {
	if (answer.size <= maxChars) return answer
	const {status, contentType, encoding, size} = answer
	return {status, contentType, encoding, size}
}
