/**
 * Converts the results of service calls between the endpoint process, which has
 * bodies as bytes, and the claim log, which stores them as text.
 */
import {isAscii} from "node:buffer"
import {BodyEncoding, type StoredAnswer} from "../../policy/claimLog.js"
import {
	ClaimResultType,
	type StoredCallResult,
	SendEnd,
	type SendOutcome
} from "../../policy/claimTypes.js"
import type {ClaimResult, SendResult, ServiceAnswer} from "./types.js"

/**
 * Encodes a body as ASCII text, in base64 if needed, so that the length of the
 * text is its size in bytes.
 */
export function toStoredAnswer(answer: ServiceAnswer): StoredAnswer {
	const {status, contentType} = answer
	const encoding = isAscii(answer.body)
		? BodyEncoding.Utf8
		: BodyEncoding.Base64
	const body = Buffer.from(answer.body).toString(encoding)
	return {status, contentType, encoding, body, size: body.length}
}

/**
 * Decodes a stored answer. Its body must have been stored: for an answer whose
 * body was too long to store, `createReplay` returns an unknown outcome.
 */
export function toServiceAnswer(stored: StoredAnswer): ServiceAnswer {
	const {status, contentType, encoding, body = ""} = stored
	return {status, contentType, body: Buffer.from(body, encoding)}
}

export function toSendOutcome(result: SendResult): SendOutcome {
	if (result.end !== SendEnd.Answered) return result
	return {end: SendEnd.Answered, answer: toStoredAnswer(result)}
}

export function toClaimResult(result: StoredCallResult): ClaimResult {
	if (result.type !== ClaimResultType.Answered) return result
	const {type, answer, replayed} = result
	return {type, ...toServiceAnswer(answer), replayed}
}
