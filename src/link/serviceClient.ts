/** Client of one plain service. A call is sent once and never repeated. */
import {Agent, request} from "undici"
import {Step, StepError} from "../contract/errors.js"
import {messageOf} from "../utils/common.js"

export interface ServiceCall {
	requestId: string
	method: string
	path: string
	body: Uint8Array
	contentType: string
	idempotencyKey: string
	deadline: number
}

export interface ServiceAnswer {
	status: number
	contentType: string
	body: Uint8Array
}

/** How a call ended without an answer. */
export class ServiceError extends StepError {
	constructor(
		peer: string,
		/** True when the service cannot have started the call. */
		readonly isNotRun: boolean,
		message: string,
		/** True when it refused the fencing number as too low. */
		readonly isFenced = false
	) {
		super(message, {step: Step.Send, peer})
	}
}

const maxAnswerBytes = 1024 * 1024
const staleFenceStatus = 409
const unavailableStatus = 503
/** The service marks a refusal made before the call started. */
const notRunHeader = "x-not-run"

export class ServiceClient {
	readonly url: string
	fence: number
	private readonly agent: Agent

	constructor(url: string, fence: number) {
		this.url = url.replace(/\/$/, "")
		this.fence = fence
		// A kept connection may break under a call that never reached the
		// service, which cannot be told from one that did.
		this.agent = new Agent({connections: null, pipelining: 1})
	}

	async call(call: ServiceCall): Promise<ServiceAnswer> {
		const waitMs = Math.max(1, Math.round(call.deadline - Date.now()))
		try {
			const res = await request(this.url + call.path, {
				method: call.method as "GET" | "POST" | "PUT" | "DELETE",
				dispatcher: this.agent,
				signal: AbortSignal.timeout(waitMs),
				headers: this.headersOf(call),
				body: call.body.length > 0 ? call.body : null
			})
			const bytes = new Uint8Array(await res.body.arrayBuffer())
			this.checkRefusal(res.statusCode, res.headers)
			if (bytes.length > maxAnswerBytes) {
				const reason = `answer of ${bytes.length} bytes exceeds ${maxAnswerBytes}`
				throw new ServiceError(this.url, false, reason)
			}
			const type = res.headers["content-type"]
			return {
				status: res.statusCode,
				contentType: typeof type === "string" ? type : "",
				body: bytes
			}
		} catch (err) {
			if (err instanceof ServiceError) throw err
			throw new ServiceError(this.url, isNeverSent(err), messageOf(err))
		}
	}

	async close(): Promise<void> {
		await this.agent.destroy()
	}

	private headersOf(call: ServiceCall): Record<string, string> {
		const headers: Record<string, string> = {
			"x-request-id": call.requestId,
			"x-fencing-number": String(this.fence)
		}
		if (call.contentType !== "") headers["content-type"] = call.contentType
		if (call.idempotencyKey !== "") {
			headers["idempotency-key"] = call.idempotencyKey
		}
		return headers
	}

	private checkRefusal(
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

function isNeverSent(err: unknown): boolean {
	return err instanceof Error && "code" in err && err.code === "ECONNREFUSED"
}
