/**
 * How a generation ends for its caller: with the complete response of an engine, cut
 * after its first events, as unknown, or refused because it has not run.
 */
import type {LogFields} from "../callers/callerExchange.js"
import type {CallerStream} from "../streams/callerStream.js"
import type {RoutedRequest} from "../gatewayContext.js"
import type {GenerationSend} from "./generationSend.js"
import type {OutputTracker} from "./outputTracker.js"
import type {CrashAdmission} from "../crashes/crashAdmission.js"
import {turnAway} from "../crashes/turnAway.js"
import {type Denial, respondDenial} from "../identity/index.js"
import {isServerError, type ResponseHead} from "../wire.js"

export interface GenerationEndingOptions {
	request: RoutedRequest
	stream: CallerStream
	output: OutputTracker
	admission: CrashAdmission
	/** Ends timers, searches and sends of the request. */
	cancel: () => void
}

/** What became of the sends of a generation. */
export interface SendSummary {
	sends: number
	/** Whether an engine ran it or may have. */
	mayHaveRun: boolean
}

const minRetryAfterMs = 150
const httpOk = 200

export class GenerationEnding {
	constructor(private readonly options: GenerationEndingOptions) {}

	/**
	 * Ends the response with a complete one of an engine. Returns false if the send
	 * counts as failed: a stream without events or with a truncated last event, an
	 * answer that is no stream, an error status after the caller's stream has begun, or
	 * a 5xx while another engine may still answer.
	 */
	tryComplete(
		send: GenerationSend,
		head: ResponseHead,
		at: {sends: number; isStandby: boolean; mayBeAnswered: boolean}
	): boolean {
		const {stream, output, cancel, request} = this.options
		const {exchange} = request
		const logFields = {
			endpoint: send.target.endpoint.id,
			sends: at.sends,
			...stream.getEstimateFields(send.target)
		}
		if (head.status === httpOk) {
			if (!send.isStream || send.hasPartialEvent) return false
			const isProven = !send.isUnanswered || this.isEndProven(send)
			// Whether the stream is complete is left to the current send.
			if (!isProven || at.isStandby) return false
			cancel()
			exchange.startStream(head)
			exchange.endStream({...logFields, ...output.end(true)})
			return true
		}
		if (exchange.hasStarted) return false
		if (isServerError(head) && at.mayBeAnswered) return false
		cancel()
		exchange.forwardResponse(head, send.takeBody(), logFields)
		return true
	}

	/** Whether a stream of which this engine has no event is complete. */
	private isEndProven(send: GenerationSend): boolean {
		return send.statesNoneLeft && this.options.stream.noteNoneLeft(send.target)
	}

	/** Refuses a request that has not run; the caller may return after the time. */
	refuse(reason: string, retryAfterMs: number, logFields: LogFields): void {
		this.options.cancel()
		this.options.request.exchange.refuse(reason, retryAfterMs, logFields)
	}

	/** Ends a request whose prompt crashes engines. */
	turnAway({sends, mayHaveRun}: SendSummary): void {
		const detail = "prompt crashes engines"
		const {admission, request, cancel} = this.options
		const {exchange} = request
		const logFields = {sends, parts: admission.sharedParts}
		if (exchange.hasStarted || mayHaveRun) {
			this.fail(detail, {sends, mayHaveRun}, logFields)
			return
		}
		cancel()
		const {isResumable: isRepeated} = request.route
		turnAway(exchange, {admission, detail, isRepeated, logFields})
	}

	/** Ends a request that may not be sent because of its key. */
	deny(denial: Denial, summary: SendSummary): void {
		const {request, cancel} = this.options
		const {exchange} = request
		if (exchange.hasStarted || summary.mayHaveRun) {
			this.fail(denial.reason, summary)
			return
		}
		cancel()
		respondDenial(exchange, denial, {sends: summary.sends})
	}

	fail(
		detail: string,
		{sends, mayHaveRun}: SendSummary,
		fields: LogFields = {},
		isTimeout = false
	): void {
		const {cancel, request, stream, output} = this.options
		const {exchange} = request
		cancel()
		const logFields = {
			sends,
			...stream.endFields,
			...output.end(false),
			...fields
		}
		if (exchange.hasStarted) exchange.abortStream({detail, ...logFields})
		else if (mayHaveRun) exchange.respondUnknown(detail, logFields, isTimeout)
		else exchange.refuse(detail, minRetryAfterMs, logFields)
	}
}
