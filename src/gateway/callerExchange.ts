/** One caller's request and the answer to it, on the caller's connection. */
import type {IncomingMessage, ServerResponse} from "node:http"
import type {DecisionLog} from "../program/decisionLog.js"
import {type GatewayMetrics, Outcome} from "./gatewayMetrics.js"
import {
	type AnswerHead,
	isServerFailure,
	type RequestHead,
	type Wire
} from "./wire.js"

export interface CallerExchangeOptions {
	req: IncomingMessage
	res: ServerResponse
	head: RequestHead
	wire: Wire
	log: DecisionLog
	metrics: GatewayMetrics
	/** Kind of the route, for metrics. */
	kind: string
	arrivedAt: number
	now: () => number
}

const httpUnavailable = 503
const httpUnknown = 502
const httpTimeout = 504

export class CallerExchange {
	/** Called once when the caller leaves before the answer is complete. */
	onLeave: (() => void) | undefined
	private isDone = false
	private hasHead = false

	constructor(private readonly options: CallerExchangeOptions) {
		const {res} = options
		res.on("close", () => {
			if (this.isDone) return
			this.finish(Outcome.Abandoned, {})
			this.onLeave?.()
		})
	}

	get head(): RequestHead {
		return this.options.head
	}

	get isOpen(): boolean {
		return !this.isDone
	}

	get hasAnswer(): boolean {
		return this.hasHead
	}

	/** Passes a whole answer of an endpoint on as it is. */
	deliver(answer: AnswerHead, body: Buffer, inputs: LogInputs): void {
		if (this.isDone) return
		this.writeHead(answer, body.length)
		this.options.res.end(body)
		this.finish(isServerFailure(answer) ? Outcome.Failed : Outcome.Answered, {
			status: answer.status,
			...inputs
		})
	}

	/** Begins to pass on a stream. */
	beginStream(answer: AnswerHead): void {
		if (this.isDone || this.hasHead) return
		this.writeHead(answer, undefined)
	}

	writeEvent(event: Buffer): void {
		if (!this.isDone) this.options.res.write(event)
	}

	endStream(inputs: LogInputs): void {
		if (this.isDone) return
		this.options.res.end()
		this.finish(Outcome.Answered, inputs)
	}

	/** Ends a stream so that it can't be taken for a complete one. */
	cutStream(inputs: LogInputs): void {
		if (this.isDone) return
		this.finish(Outcome.Cut, inputs)
		this.options.res.destroy()
	}

	/** States that the request has not run and will not, and when to return. */
	refuse(reason: string, retryAfterMs: number, inputs: LogInputs): void {
		const headers = this.options.wire.encodeRefusal(retryAfterMs)
		this.answerOwn(httpUnavailable, reason, headers)
		this.finish(Outcome.Refused, {reason, retryAfterMs, ...inputs})
	}

	/** States that it is not known whether the request has run. */
	failUnknown(reason: string, inputs: LogInputs, isTimeout = false): void {
		this.answerOwn(isTimeout ? httpTimeout : httpUnknown, reason, {})
		this.finish(Outcome.Unknown, {reason, ...inputs})
	}

	/** Answers a request that the caller must correct. */
	reject(status: number, reason: string): void {
		this.answerOwn(status, reason, {})
		this.finish(Outcome.Rejected, {status, reason})
	}

	private writeHead(answer: AnswerHead, length: number | undefined): void {
		const {res, kind, metrics, now, arrivedAt} = this.options
		this.hasHead = true
		res.sendDate = false
		const headers = [...answer.headers]
		if (length !== undefined) headers.push("Content-Length", String(length))
		const isClosing = res.getHeader("connection") === "close"
		if (isClosing) headers.push("Connection", "close")
		res.writeHead(answer.status, headers)
		metrics.observeFirstByte(kind, now() - arrivedAt)
	}

	private answerOwn(
		status: number,
		reason: string,
		headers: Record<string, string>
	): void {
		if (this.isDone) return
		const {res, head} = this.options
		this.hasHead = true
		const body = `${reason}\n`
		res.writeHead(status, {
			"Content-Type": "text/plain",
			"Content-Length": String(Buffer.byteLength(body)),
			"X-Request-Id": head.id,
			...headers
		})
		res.end(body)
	}

	private finish(outcome: Outcome, inputs: LogInputs): void {
		if (this.isDone) return
		this.isDone = true
		const {metrics, kind, log, head, now, arrivedAt} = this.options
		metrics.countRequest(kind, outcome)
		const elapsedMs = Math.round(now() - arrivedAt)
		log.request("request.ended", head.id, {outcome, elapsedMs, kind, ...inputs})
	}
}

export type LogInputs = Record<string, unknown>
