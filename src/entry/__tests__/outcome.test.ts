import type {ServerResponse} from "node:http"
import {expect, test} from "vitest"
import {BadRequestError} from "../../contract/errors.js"
import {NotRunReason} from "../../contract/gen/link_pb.js"
import {MethodError} from "../methodError.js"
import {
	describeFailure,
	type FailedOutcome,
	isUnknown,
	notRunOutcome,
	sendError,
	sendFailure,
	unknownOutcome
} from "../outcome.js"

interface Sent {
	status: number
	headers: Record<string, string>
	body: {error: Record<string, unknown>}
}

/** Returns the status, headers and body that `send` writes to a response. */
function capture(send: (res: ServerResponse) => void): Sent {
	const sent: Sent = {status: 0, headers: {}, body: {error: {}}}
	const res = {
		writeHead: (status: number, headers: Record<string, string>) => {
			Object.assign(sent, {status, headers})
		},
		end: (text: string) => {
			sent.body = JSON.parse(text) as Sent["body"]
		}
	}
	send(res as unknown as ServerResponse)
	return sent
}

function sendOutcome(outcome: FailedOutcome): Sent {
	return capture(res => {
		sendFailure(res, outcome, "r-1")
	})
}

const statuses: [NotRunReason, number, string][] = [
	[NotRunReason.UNSPECIFIED, 503, "unspecified"],
	[NotRunReason.DEADLINE, 503, "deadline_cannot_be_met"],
	[NotRunReason.OVERLOADED, 429, "overloaded"],
	[NotRunReason.LEAVING, 503, "host_leaving"],
	[NotRunReason.UNREACHABLE, 503, "endpoint_unreachable"],
	[NotRunReason.LOAD_FAILED, 503, "adapter_load_failed"],
	[NotRunReason.PLATFORM_UNAVAILABLE, 503, "platform_unavailable"],
	[NotRunReason.NOT_CONFIGURED, 503, "not_configured"],
	[NotRunReason.KEY_REUSED, 422, "key_reused"],
	[NotRunReason.TICKET_EXPIRED, 410, "ticket_expired"],
	[NotRunReason.ENDPOINT_REFUSED, 503, "endpoint_refused"],
	[NotRunReason.CANCELLED, 503, "cancelled"]
]

test("the expected statuses cover every reason", () => {
	const values = Object.values(NotRunReason).filter(
		value => typeof value === "number"
	)
	expect(statuses.map(([reason]) => reason)).toEqual(values)
})

test.each(statuses)(
	"a request not run for reason %i gets status %i and reason %s",
	(reason, status, name) => {
		const sent = sendOutcome(notRunOutcome(reason, "why", 1500, "desk-1"))
		expect(sent.status).toBe(status)
		expect(sent.headers).toMatchObject({
			"content-type": "application/json",
			"x-request-id": "r-1",
			"retry-after": "2"
		})
		expect(sent.body.error).toEqual({
			type: "not_run",
			outcome: "not_run",
			reason: name,
			message: "why",
			peer: "desk-1",
			request_id: "r-1",
			retry_after_ms: 1500
		})
	}
)

test("the retry delay is at least 100 ms, and 1 s in Retry-After", () => {
	const {body, headers} = sendOutcome(notRunOutcome(NotRunReason.LEAVING, ""))
	expect(body.error.retry_after_ms).toBe(100)
	expect(headers["retry-after"]).toBe("1")
})

test("an unknown outcome gets status 502 without Retry-After", () => {
	const outcome = unknownOutcome("send", "desk-1", "the link ended")
	const sent = sendOutcome(outcome)
	expect(isUnknown(outcome)).toBe(true)
	expect(sent.status).toBe(502)
	expect(sent.headers).not.toHaveProperty("retry-after")
	expect(sent.body).toEqual({
		error: {
			type: "unknown_outcome",
			outcome: "unknown",
			step: "send",
			message: "the link ended",
			peer: "desk-1",
			request_id: "r-1"
		}
	})
	expect(describeFailure(outcome, "r-1")).toEqual(sent.body)
})

test("the answer to an invalid request names the field", () => {
	const err = new BadRequestError("model", "expected a name", 404)
	const sent = capture(res => {
		sendError(res, err)
	})
	expect(sent.status).toBe(404)
	expect(sent.body.error).toEqual({
		type: "invalid_request",
		outcome: "rejected",
		field: "model",
		message: "expected a name",
		step: "receive"
	})
})

test("an unsupported method gets status 405 and the supported ones", () => {
	const err = new MethodError("PUT", "/orders", ["GET", "POST"])
	const sent = capture(res => {
		sendError(res, err)
	})
	expect([sent.status, sent.headers.allow]).toEqual([405, "GET, POST"])
	expect(sent.body.error).toMatchObject({
		field: "method",
		message: "/orders takes GET, POST, not PUT"
	})
})

test("an internal error gets status 500 without the error's message", () => {
	const sent = capture(res => {
		sendError(res, new TypeError("secret detail"))
	})
	expect(sent.status).toBe(500)
	expect(sent.body.error.outcome).toBe("unknown")
	expect(JSON.stringify(sent)).not.toContain("secret detail")
})
