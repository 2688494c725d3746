/** HTTP client of one plain service. It never retries a call. */
import {Agent} from "node:http"
import {Step, StepError} from "../contract/errors.js"
import {messageOf} from "../utils/common.js"
import {callHttp} from "./httpCall.js"

export interface ServiceCall {
	requestId: string
	method: string
	path: string
	body: Uint8Array
	contentType: string
	/** Empty for none. */
	idempotencyKey: string
	/** Unix milliseconds; the call times out at this time. */
	deadline: number
}

export interface ServiceAnswer {
	status: number
	contentType: string
	body: Uint8Array
}

/** A call failed, or its answer was unusable. */
export class ServiceError extends StepError {
	constructor(
		peer: string,
		/** True when the service certainly did not run the call. */
		readonly isNotRun: boolean,
		message: string,
		/** True when the service rejected the fencing number as stale. */
		readonly isFenced = false
	) {
		super(message, {step: Step.Send, peer})
	}
}

const maxAnswerBytes = 1024 * 1024
/** With the head and the framing of a body in small chunks. */
const maxReadBytes = 2 * maxAnswerBytes
const staleFenceStatus = 409
const unavailableStatus = 503
/** Set by the service on a rejection that it made before running the call. */
const notRunHeader = "x-not-run"

export class ServiceClient {
	readonly url: string
	/** Fencing number sent with every call; it never changes. */
	fence: number
	private readonly agent: Agent

	constructor(url: string, fence: number) {
		this.url = url.replace(/\/$/, "")
		this.fence = fence
		this.agent = new Agent({keepAlive: true})
	}

	async call(call: ServiceCall): Promise<ServiceAnswer> {
		const timeoutMs = Math.max(1, Math.round(call.deadline - Date.now()))
		try {
			const url = new URL(this.url + call.path)
			const res = await callHttp({
				address: url.host,
				agent: this.agent,
				method: call.method,
				path: url.pathname + url.search,
				headers: this.buildHeaders(call),
				requestId: call.requestId,
				payload: call.body.length > 0 ? call.body : undefined,
				timeoutMs,
				maxBytes: maxReadBytes
			})
			const bytes = new Uint8Array(res.body)
			this.throwIfRejected(res.status, res.headers)
			if (bytes.length > maxAnswerBytes) {
				const reason = `answer of ${bytes.length} bytes exceeds ${maxAnswerBytes}`
				throw new ServiceError(this.url, false, reason)
			}
			const type = res.headers["content-type"]
			return {
				status: res.status,
				contentType: typeof type === "string" ? type : "",
				body: bytes
			}
		} catch (err) {
			if (err instanceof ServiceError) throw err
			throw new ServiceError(this.url, isConnectionRefused(err), messageOf(err))
		}
	}

	close(): Promise<void> {
		this.agent.destroy()
		return Promise.resolve()
	}

	private buildHeaders(call: ServiceCall): Record<string, string> {
		const headers: Record<string, string> = {
			"x-fencing-number": String(this.fence)
		}
		if (call.contentType !== "") headers["content-type"] = call.contentType
		if (call.idempotencyKey !== "") {
			headers["idempotency-key"] = call.idempotencyKey
		}
		return headers
	}

	/** @throws ServiceError when the service rejected the call without running it */
	private throwIfRejected(
		status: number,
		headers: Record<string, string | string[] | undefined>
	): void {
		if (headers[notRunHeader] === undefined) return
		if (status === staleFenceStatus || status === unavailableStatus) {
			const reason = `the service refused the call with status ${status}`
			const isFenced = status === staleFenceStatus
			throw new ServiceError(this.url, true, reason, isFenced)
		}
	}
}

/**
 * True when the call certainly did not reach the service. This is unknown when
 * a kept-alive connection breaks during the call.
 */
function isConnectionRefused(err: unknown): boolean {
	return err instanceof Error && "code" in err && err.code === "ECONNREFUSED"
}
