/**
 * Outcomes of requests that failed, and the HTTP status, headers and error body
 * that the caller gets for each.
 */
import type {ServerResponse} from "node:http"
import {BadRequestError} from "../contract/errors.js"
import {NotRunReason} from "../contract/gen/link_pb.js"
import {sendJson} from "../program/health.js"
import {MethodError} from "./methodError.js"

/** The request has certainly not run. */
export interface NotRunOutcome {
	kind: OutcomeKind.NotRun
	reason: NotRunReason
	detail: string
	retryAfterMs: number
	/** Host on which the attempt was made; empty if there was no attempt. */
	peer: string
}

/** The request may have run, but there is no complete answer. */
export interface UnknownOutcome {
	kind: OutcomeKind.Unknown
	step: string
	peer: string
	detail: string
}

export enum OutcomeKind {
	NotRun = "not_run",
	Unknown = "unknown",
	Rejected = "rejected"
}

export type FailedOutcome = NotRunOutcome | UnknownOutcome

const statusCodes = {
	tooManyRequests: 429,
	unavailable: 503,
	unprocessable: 422,
	gone: 410,
	badGateway: 502,
	internal: 500
} as const

/** Callers must not be asked to retry at once. */
const minRetryAfterMs = 100
const msPerSecond = 1000

/** Reasons as sent to callers. */
const reasonNames: Record<NotRunReason, string> = {
	[NotRunReason.UNSPECIFIED]: "unspecified",
	[NotRunReason.DEADLINE]: "deadline_cannot_be_met",
	[NotRunReason.OVERLOADED]: "overloaded",
	[NotRunReason.LEAVING]: "host_leaving",
	[NotRunReason.UNREACHABLE]: "endpoint_unreachable",
	[NotRunReason.LOAD_FAILED]: "adapter_load_failed",
	[NotRunReason.PLATFORM_UNAVAILABLE]: "platform_unavailable",
	[NotRunReason.NOT_CONFIGURED]: "not_configured",
	[NotRunReason.KEY_REUSED]: "key_reused",
	[NotRunReason.TICKET_EXPIRED]: "ticket_expired",
	[NotRunReason.ENDPOINT_REFUSED]: "endpoint_refused",
	[NotRunReason.CANCELLED]: "cancelled"
}

export function notRunOutcome(
	reason: NotRunReason,
	detail: string,
	retryAfterMs = 0,
	peer = ""
): NotRunOutcome {
	return {kind: OutcomeKind.NotRun, reason, detail, retryAfterMs, peer}
}

export function unknownOutcome(
	step: string,
	peer: string,
	detail: string
): UnknownOutcome {
	return {kind: OutcomeKind.Unknown, step, peer, detail}
}

export function isUnknown(outcome: FailedOutcome): outcome is UnknownOutcome {
	return outcome.kind === OutcomeKind.Unknown
}

/** Creates the JSON body of a failure; also sent as a stream's error event. */
export function describeFailure(
	outcome: FailedOutcome,
	requestId: string
): object {
	const common = {
		outcome: outcome.kind,
		message: outcome.detail,
		peer: outcome.peer,
		request_id: requestId
	}
	if (isUnknown(outcome)) {
		return {error: {type: "unknown_outcome", ...common, step: outcome.step}}
	}
	const reason = reasonNames[outcome.reason]
	const retryAfterMs = chooseRetryAfterMs(outcome)
	return {
		error: {type: "not_run", ...common, reason, retry_after_ms: retryAfterMs}
	}
}

/** Answers a request that was not run or has an unknown outcome. */
export function sendFailure(
	res: ServerResponse,
	outcome: FailedOutcome,
	requestId: string
): void {
	const headers: Record<string, string> = {"x-request-id": requestId}
	if (!isUnknown(outcome)) {
		const seconds = Math.ceil(chooseRetryAfterMs(outcome) / msPerSecond)
		headers["retry-after"] = String(seconds)
	}
	const body = describeFailure(outcome, requestId)
	sendJson(res, chooseStatus(outcome), body, headers)
}

/**
 * Answers a request whose handler threw: an invalid request with its own
 * status, anything else as an internal error without details.
 */
export function sendError(res: ServerResponse, err: unknown): void {
	if (err instanceof BadRequestError) {
		const {field, message, step} = err
		const error = {
			type: "invalid_request",
			outcome: OutcomeKind.Rejected,
			field,
			message,
			step
		}
		const isMethod = err instanceof MethodError
		const headers = isMethod ? {allow: err.allowed.join(", ")} : {}
		sendJson(res, err.status, {error}, headers)
		return
	}
	sendJson(res, statusCodes.internal, {
		error: {
			type: "internal",
			outcome: OutcomeKind.Unknown,
			message: "internal error"
		}
	})
}

function chooseRetryAfterMs(outcome: NotRunOutcome): number {
	return Math.max(minRetryAfterMs, Math.round(outcome.retryAfterMs))
}

function chooseStatus(outcome: FailedOutcome): number {
	if (isUnknown(outcome)) return statusCodes.badGateway
	switch (outcome.reason) {
		case NotRunReason.OVERLOADED:
			return statusCodes.tooManyRequests
		case NotRunReason.KEY_REUSED:
			return statusCodes.unprocessable
		case NotRunReason.TICKET_EXPIRED:
			return statusCodes.gone
		default:
			return statusCodes.unavailable
	}
}
