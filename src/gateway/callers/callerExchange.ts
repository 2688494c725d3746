/**
 * One caller's HTTP request and the response to it. Writes the response, logs
 * the request's end and counts its outcome exactly once.
 */
import type {IncomingMessage, ServerResponse} from "node:http"
import {type BufferOverflow, BufferPart} from "../../policy/buffers/index.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import type {CallerBuffers, RequestBuffers} from "./callerBuffers.js"
import {CallerOutput} from "./callerOutput.js"
import {RunRecord} from "./runRecord.js"
import {messageOf} from "../../utils/common.js"
import {type GatewayMetrics, RequestOutcome} from "../gatewayMetrics.js"
import {
	type ResponseHead,
	isServerError,
	type RequestHead,
	type WireCodec
} from "../wire.js"

export interface CallerExchangeOptions {
	req: IncomingMessage
	res: ServerResponse
	head: RequestHead
	wire: WireCodec
	log: DecisionLog
	metrics: GatewayMetrics
	callerBuffers: CallerBuffers
	/** Kind of the matched route, a metrics label; `none` without a route. */
	kind: string
	arrivedAt: number
	/**
	 * Why the gateway closed the connection itself; undefined if it did not. Called
	 * when the connection closes before the response is complete.
	 */
	getCloseReason: () => CloseReason | undefined
	/** Monotonic milliseconds. */
	now: () => number
}

/** Why the gateway closes a caller's connection. */
export enum CloseReason {
	/** It was idle for longer than the configuration allows. */
	Idle = "idle",
	/** The grace period of a drain ends. */
	Drain = "drain",
	/** The process's buffers are full, and this caller is the slowest one. */
	SlowCaller = "slowCaller"
}

const httpTooManyRequests = 429
const httpInternalError = 500
const httpServiceUnavailable = 503
const httpBadGateway = 502
const httpGatewayTimeout = 504
const overQuota = "over the quota"
/** Why a request ends whose bytes the process can't hold any longer. */
export const buffersFull = "buffers are full"
/** Why a request ends because its process does. */
export const leaving = "leaving"
/** Slow callers at the bound are gone by then. */
const overflowRetryAfterMs = 1000

export class CallerExchange {
	/** Called once if the caller disconnects before the response is complete. */
	onDisconnect: (() => void) | undefined
	/**
	 * Called when the request has to end before its response has begun, because the
	 * process's buffers are full or the process ends. Without it, the request is refused
	 * as not run. If it has not run, the caller may return after the time.
	 */
	onGivenUp: ((reason: string, retryAfterMs: number) => void) | undefined
	/** Called when the stream has room again. */
	onRoom: (() => void) | undefined
	/** What the gateway holds in memory for this request. */
	readonly buffers: RequestBuffers
	/** Whether an endpoint may have run it. */
	readonly runs = new RunRecord()
	private readonly output: CallerOutput
	private hasEnded = false
	private isHeadWritten = false

	constructor(private readonly options: CallerExchangeOptions) {
		const {res, callerBuffers} = options
		this.buffers = callerBuffers.open(overflow => {
			this.endForOverflow(overflow)
		})
		this.output = new CallerOutput({
			res,
			buffers: this.buffers,
			maxBytes: callerBuffers.maxStreamBytes,
			onRoom: () => this.onRoom?.()
		})
		res.once("close", () => {
			this.buffers.release()
			if (this.hasEnded) return
			this.recordClose()
			this.onDisconnect?.()
		})
	}

	get head(): RequestHead {
		return this.options.head
	}

	/** Whether neither the response has ended nor the caller disconnected. */
	get isOpen(): boolean {
		return !this.hasEnded
	}

	/** Whether status and headers of the response have been written. */
	get hasStarted(): boolean {
		return this.isHeadWritten
	}

	/** Whether the caller has read enough of the stream for more to be buffered. */
	get hasRoom(): boolean {
		return this.hasEnded || this.output.hasRoom
	}

	/** Forwards an endpoint's complete response unchanged. */
	forwardResponse(
		responseHead: ResponseHead,
		body: readonly Buffer[],
		logFields: LogFields
	): void {
		if (this.hasEnded) return
		const length = body.reduce((sum, chunk) => sum + chunk.length, 0)
		if (!this.tryWriteHead(responseHead, length)) return
		for (const chunk of body) this.output.write(chunk)
		this.output.end()
		this.recordOutcome(
			isServerError(responseHead)
				? RequestOutcome.Failed
				: RequestOutcome.Answered,
			{
				status: responseHead.status,
				...logFields
			}
		)
	}

	/** Writes status and headers of a streamed response, unless already written. */
	startStream(responseHead: ResponseHead): void {
		if (this.hasEnded || this.isHeadWritten) return
		this.tryWriteHead(responseHead, undefined)
	}

	writeEvent(event: Buffer): void {
		if (!this.hasEnded) this.output.write(event)
	}

	endStream(logFields: LogFields): void {
		if (this.hasEnded) return
		this.output.end()
		this.recordOutcome(RequestOutcome.Answered, logFields)
	}

	/**
	 * Closes the connection before the end of the stream, so that the caller can't
	 * take the stream for complete.
	 */
	abortStream(logFields: LogFields): void {
		if (this.hasEnded) return
		this.recordOutcome(RequestOutcome.Cut, logFields)
		this.options.res.destroy()
	}

	/** Responds that the request did not and will not run, and when to retry. */
	refuse(reason: string, retryAfterMs: number, logFields: LogFields): void {
		if (this.endIfLate(httpServiceUnavailable, reason, logFields)) return
		this.runs.close()
		const headers = this.options.wire.encodeRefusal(retryAfterMs)
		this.respondWithText(httpServiceUnavailable, reason, headers)
		this.recordOutcome(RequestOutcome.Refused, {
			reason,
			retryAfterMs,
			...logFields
		})
	}

	/**
	 * Responds that the request did not and will not run, since its Member is over its
	 * quota, and when the quota has room for it.
	 */
	refuseOverQuota(retryAfterMs: number, logFields: LogFields): void {
		if (this.endIfLate(httpTooManyRequests, overQuota, logFields)) return
		this.runs.close()
		const headers = this.options.wire.encodeRefusal(retryAfterMs)
		this.respondWithText(httpTooManyRequests, overQuota, headers)
		this.recordOutcome(RequestOutcome.OverQuota, {retryAfterMs, ...logFields})
	}

	/**
	 * Responds that the request did not run and that repeating it is of no use. It is
	 * valid and may be served another day, so that no status for invalid requests fits.
	 */
	turnAway(reason: string, logFields: LogFields): void {
		if (this.endIfLate(httpInternalError, reason, logFields)) return
		this.runs.close()
		this.respondWithText(httpInternalError, reason, {})
		this.recordOutcome(RequestOutcome.TurnedAway, {reason, ...logFields})
	}

	/** Responds that it is not known whether the request ran. */
	respondUnknown(
		reason: string,
		logFields: LogFields,
		isTimeout = false
	): void {
		this.respondWithText(
			isTimeout ? httpGatewayTimeout : httpBadGateway,
			reason,
			{}
		)
		this.recordOutcome(RequestOutcome.Unknown, {reason, ...logFields})
	}

	/** Responds to an invalid request, which the caller must correct. */
	reject(status: number, reason: string, logFields: LogFields = {}): void {
		this.respondWithText(status, reason, {})
		this.recordOutcome(RequestOutcome.Rejected, {status, reason, ...logFields})
	}

	/** Ends the request after an exception, in whatever state it is. */
	endForFault(): void {
		if (this.hasEnded) return
		const reason = "internal fault"
		if (this.isHeadWritten) this.abortStream({detail: reason})
		else if (this.runs.mayHaveRun) this.respondUnknown(reason, {})
		else this.turnAway(reason, {})
		this.onDisconnect?.()
	}

	/**
	 * Answers the request because the process ends, unless its response has begun: as
	 * not run or as unknown.
	 */
	endForDrain(): void {
		if (this.hasEnded || this.isHeadWritten) return
		this.options.res.setHeader("Connection", "close")
		if (this.onGivenUp !== undefined) this.onGivenUp(leaving, 0)
		else this.refuse(leaving, 0, {})
	}

	/**
	 * Ends a request that is to be answered as not run although it may have run or its
	 * response has begun: nothing of that kind may be said any more.
	 */
	private endIfLate(
		status: number,
		reason: string,
		logFields: LogFields
	): boolean {
		if (this.hasEnded) return true
		if (!this.runs.mayHaveRun && !this.isHeadWritten) return false
		const {log, head, metrics} = this.options
		metrics.countLateRefusal(status)
		log.request("refusal.late", head.id, {status, reason})
		if (this.isHeadWritten) this.abortStream({detail: reason, ...logFields})
		else this.respondUnknown(reason, logFields)
		return true
	}

	/** Ends the request in whatever state it is, so that its buffers are freed. */
	private endForOverflow({part, bytes, waitedMs}: BufferOverflow): void {
		const {log, head, metrics, res} = this.options
		const fields = {part, waitingBytes: bytes, waitedMs: Math.round(waitedMs)}
		if (this.isHeadWritten) {
			metrics.countConnectionClose(CloseReason.SlowCaller)
			log.request("caller.disconnected", head.id, fields)
			this.recordOutcome(RequestOutcome.Cut, {
				detail: CloseReason.SlowCaller,
				...fields
			})
			res.destroy()
			this.onDisconnect?.()
			return
		}
		log.request("request.shed", head.id, fields)
		// What is left of the body is dropped.
		if (part === BufferPart.Upload) res.setHeader("Connection", "close")
		if (this.onGivenUp !== undefined)
			this.onGivenUp(buffersFull, overflowRetryAfterMs)
		else this.refuse(buffersFull, overflowRetryAfterMs, {})
	}

	/** Ends the request as unknown and returns false if the head can't be written. */
	private tryWriteHead(
		responseHead: ResponseHead,
		length: number | undefined
	): boolean {
		const {res, kind, metrics, now, arrivedAt, log, head} = this.options
		res.sendDate = false
		const headers = [...responseHead.headers]
		if (length !== undefined) headers.push("Content-Length", String(length))
		const isClosing = res.getHeader("connection") === "close"
		if (isClosing) headers.push("Connection", "close")
		try {
			res.writeHead(responseHead.status, headers)
		} catch (err) {
			const {status} = responseHead
			log.request("response.unwritable", head.id, {
				status,
				error: messageOf(err)
			})
			this.respondUnknown("the answer can't be forwarded", {})
			return false
		}
		this.isHeadWritten = true
		metrics.observeFirstByte(kind, now() - arrivedAt)
		return true
	}

	private respondWithText(
		status: number,
		reason: string,
		headers: Record<string, string>
	): void {
		if (this.hasEnded) return
		const {res, head} = this.options
		this.isHeadWritten = true
		const body = `${reason}\n`
		res.writeHead(status, {
			"Content-Type": "text/plain",
			"Content-Length": String(Buffer.byteLength(body)),
			"X-Request-Id": head.id,
			...headers
		})
		res.end(body)
	}

	/** Records that the connection closed before the response was complete. */
	private recordClose(): void {
		const reason = this.options.getCloseReason()
		if (reason === undefined) this.recordOutcome(RequestOutcome.Abandoned, {})
		else this.recordOutcome(RequestOutcome.Cut, {detail: reason})
	}

	private recordOutcome(outcome: RequestOutcome, logFields: LogFields): void {
		if (this.hasEnded) return
		this.hasEnded = true
		const {metrics, kind, log, head, now, arrivedAt} = this.options
		metrics.countRequest(kind, outcome)
		const elapsedMs = Math.round(now() - arrivedAt)
		const {resumption} = head
		const resumed =
			resumption === undefined
				? {}
				: {resumes: resumption.originId, resumesAfter: resumption.lastEventId}
		log.request("request.ended", head.id, {
			outcome,
			elapsedMs,
			kind,
			...resumed,
			...logFields
		})
	}
}

export type LogFields = Record<string, unknown>
