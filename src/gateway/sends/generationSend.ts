/**
 * One send of a generation request to an engine. Splits the response into
 * complete events, and reports when no event arrives in time.
 */
import type {StreamOrigin} from "../../contract/gen/grants_pb.js"
import {CommentRun} from "../../policy/buffers/index.js"
import type {AnswerHold} from "../callers/answerHold.js"
import type {LogFields} from "../callers/callerExchange.js"
import {BodyBuffer, maxBufferedBytes} from "../callers/bodyBuffer.js"
import {CallOutcome, EndpointCall} from "./endpointCall.js"
import {applySignals} from "./endpointSignals.js"
import {EventSplitter, type StreamEvent} from "./eventSplitter.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"
import {identifyEngine, type SendTarget} from "./sendTarget.js"
import type {ResponseHead} from "../wire.js"

export interface GenerationSendOptions {
	ctx: GatewayContext
	request: RoutedRequest
	target: SendTarget
	/** Ids of the parts of the prompt that other requests may have as well. */
	sharedParts: readonly string[]
	/** Id of the last event delivered, when the generation is resumed. */
	resumeAfter: string | undefined
	/** What to tell the granting agent of where the stream began, if that is known. */
	createOriginNotice: () => StreamOrigin | undefined
	/** Why an event can't follow those that the caller has; undefined if it can. */
	findDefect: (event: StreamEvent, isFirst: boolean) => string | undefined
	onEvent: (
		send: GenerationSend,
		responseHead: ResponseHead,
		event: StreamEvent
	) => void
	/** Called with each comment after the first event. */
	onComment: (send: GenerationSend, bytes: Buffer) => void
	/** Called once the engine has gone on after the first event. */
	onProven: (send: GenerationSend) => void
	/** Called each time that no event has arrived for the limit. */
	onSilent: (send: GenerationSend) => void
	onEnd: (send: GenerationSend, outcome: CallOutcome, detail: string) => void
}

/**
 * Multiple of the expected time to the first event after which an engine that has
 * sent no event counts as silent.
 */
const firstEventTimeoutFactor = 3
const minFirstEventTimeoutMs = 1200
/**
 * Multiple of the route's event gap after which a stream without a new event counts
 * as silent, whatever bytes arrive.
 */
const eventGapTimeoutFactor = 3
const minEventGapTimeoutMs = 900
const httpOk = 200
/** Bounds the length of a log line. */
const maxLoggedParts = 16
/** An engine may still write the first event of an answer on which it ends. */
const eventsUntilProven = 2

/** Why an engine is not read. */
enum PauseReason {
	/** Its caller has too much unread. */
	Caller = "caller",
	/** Others of the endpoint's answers are read first. */
	Turn = "turn"
}

export class GenerationSend {
	readonly target: SendTarget
	readonly sentAt: number
	private readonly options: GenerationSendOptions
	private readonly call: EndpointCall
	private readonly splitter = new EventSplitter()
	private readonly received: BodyBuffer
	private eventCount = 0
	private firstEventAt = 0
	/** Comments before the first event; forwarded with it. */
	private readonly leadingComments: BodyBuffer
	private readonly commentRun = new CommentRun()
	/** Bytes of the incomplete event that are counted as held. */
	private pendingBytes = 0
	private silenceTimer: NodeJS.Timeout | undefined
	private readonly pauses = new Set<PauseReason>()
	private readonly hold: AnswerHold
	private hasPaused = false
	private hasEnded = false

	constructor(options: GenerationSendOptions) {
		const {ctx, request, target, resumeAfter} = options
		const {exchange, body, deadline} = request
		this.options = options
		this.target = target
		this.sentAt = ctx.now()
		this.hold = exchange.buffers.openAnswer(target.endpoint.id, () => ({
			pause: () => this.pauseFor(PauseReason.Turn),
			resume: () => {
				this.resumeFor(PauseReason.Turn)
			},
			reject: detail => {
				this.call.reject(detail)
			}
		}))
		this.received = new BodyBuffer(this.hold)
		this.leadingComments = new BodyBuffer(this.hold)
		this.call = new EndpointCall({
			address: target.endpoint.address,
			wire: ctx.wire,
			connectTimeoutMs: ctx.connectTimeoutMs,
			head: exchange.head,
			headers: ctx.wire.encodeRequest(exchange.head, {
				endpointId: target.engineId,
				leftMs: deadline - ctx.now(),
				bodyBytes: body.length,
				adapterVersion: target.version,
				resumeAfter,
				...ctx.access.describeCaller(request)
			}),
			body,
			runs: exchange.runs,
			handlers: {
				onConnected: () => request.quotaTicket?.trySend() ?? true,
				onHead: responseHead => {
					applySignals(
						ctx,
						{
							endpoint: identifyEngine(target),
							requestId: exchange.head.id,
							sentAt: this.sentAt
						},
						responseHead
					)
				},
				onData: chunk => {
					this.receive(chunk)
				},
				onUnread: bytes => {
					// What waits for a slow caller isn't the engine's doing.
					const isForCaller = this.pauses.has(PauseReason.Caller)
					this.hold.setUnread(isForCaller ? 0 : bytes)
				},
				onFault: err => {
					ctx.log.fault("answer", err, {request: exchange.head.id})
				},
				onEnd: (outcome, detail) => {
					this.hasEnded = true
					clearTimeout(this.silenceTimer)
					options.onEnd(this, outcome, detail)
					this.releaseBuffers()
				}
			}
		})
		const factorMs = target.expectedMs * firstEventTimeoutFactor
		this.restartSilenceTimer(Math.max(minFirstEventTimeoutMs, factorMs))
	}

	get responseHead(): ResponseHead | undefined {
		return this.call.responseHead
	}

	/** Returns the body of a response that is not a stream of events, and forgets it. */
	takeBody(): Buffer[] {
		return this.received.take()
	}

	/** Whether bytes of an incomplete event remain: the stream was truncated. */
	get hasPartialEvent(): boolean {
		return this.splitter.pendingBytes > 0
	}

	get wasSent(): boolean {
		return this.call.wasSent
	}

	/** Whether the gateway ended it because of what arrived. */
	get isRejected(): boolean {
		return this.call.isRejected
	}

	/** For log lines: who sent how much. */
	get sizeFields(): LogFields {
		return this.call.sizeFields
	}

	/** Whether no event has arrived. */
	get isUnanswered(): boolean {
		return this.eventCount === 0
	}

	/** Whether the engine has gone on after the first event. */
	get isProven(): boolean {
		return this.eventCount >= eventsUntilProven
	}

	/** Time of the first event. */
	get answeredAt(): number {
		return this.firstEventAt
	}

	/** Whether the head of a stream has arrived. */
	get isStream(): boolean {
		const {responseHead} = this
		return responseHead?.status === httpOk && responseHead.isEventStream
	}

	/** Whether it was to go on with a stream. */
	get isResumption(): boolean {
		const {resumeAfter, request} = this.options
		return (
			resumeAfter !== undefined ||
			request.exchange.head.resumption !== undefined
		)
	}

	/** Whether the engine states that no event is left of the stream. */
	get statesNoneLeft(): boolean {
		return this.isResumption && this.hasBegun && !this.hasPartialEvent
	}

	/** Whether that has, and no event: the engine was about to write its first one. */
	get hasBegun(): boolean {
		return this.isStream && this.isUnanswered
	}

	/** For the log line of a send that delivered no event: the parts of its prompt. */
	get promptFields(): LogFields {
		if (!this.isUnanswered) return {}
		return {
			parts: this.options.sharedParts.slice(0, maxLoggedParts),
			hasBegun: this.hasBegun
		}
	}

	abort(): void {
		this.call.abort()
	}

	/** Stops reading the engine for its caller; returns false if that was so already. */
	pause(): boolean {
		return this.pauseFor(PauseReason.Caller)
	}

	resume(): void {
		this.resumeFor(PauseReason.Caller)
	}

	private pauseFor(reason: PauseReason): boolean {
		if (this.pauses.has(reason)) return false
		this.pauses.add(reason)
		this.hasPaused = true
		// An engine that is not read can't be silent.
		clearTimeout(this.silenceTimer)
		this.call.pause()
		return true
	}

	private resumeFor(reason: PauseReason): void {
		if (!this.pauses.delete(reason) || this.pauses.size > 0) return
		if (this.hasEnded) return
		this.restartSilenceTimer(this.gapLimitMs)
		this.call.resume()
	}

	/** Whether the engine was not read for a time. */
	get wasPaused(): boolean {
		return this.hasPaused
	}

	private get gapLimitMs(): number {
		const gapMs = this.options.request.route.eventGapMs * eventGapTimeoutFactor
		return Math.max(minEventGapTimeoutMs, gapMs)
	}

	private countPending(bytes: number): void {
		const grownBytes = bytes - this.pendingBytes
		this.pendingBytes = bytes
		if (grownBytes > 0) this.hold.add(grownBytes)
		else this.hold.remove(-grownBytes)
	}

	/** What is left of the answer is counted where it is written, or dropped. */
	private releaseBuffers(): void {
		this.countPending(0)
		this.received.take()
		this.leadingComments.take()
		this.hold.close()
	}

	private receive(chunk: Buffer): void {
		const {responseHead} = this
		if (responseHead === undefined) return
		if (responseHead.status === httpOk && !this.isStream) {
			this.call.reject("not a stream of events")
			return
		}
		if (!this.isStream) {
			if (!this.received.tryPush(chunk)) this.call.reject("body without end")
			return
		}
		for (const event of this.splitter.push(chunk)) {
			const defect = this.findDefect(event)
			if (defect !== undefined) {
				this.call.reject(defect)
				return
			}
			if (event.isComment) this.receiveComment(event.bytes)
			else this.receiveEvent(responseHead, event)
			// The last one may have ended the call.
			if (this.hasEnded) return
		}
		this.countPending(this.splitter.pendingBytes)
		if (this.splitter.pendingBytes > maxBufferedBytes)
			this.call.reject("event without end")
	}

	private findDefect(event: StreamEvent): string | undefined {
		if (event.isComment || event.defect !== undefined) return event.defect
		return this.options.findDefect(event, this.isUnanswered)
	}

	private receiveComment(bytes: Buffer): void {
		if (!this.commentRun.tryAdd(bytes.length))
			this.call.reject("comments without end")
		else if (this.isUnanswered) this.leadingComments.tryPush(bytes)
		else this.options.onComment(this, bytes)
	}

	private receiveEvent(responseHead: ResponseHead, event: StreamEvent): void {
		const {target, onEvent, createOriginNotice} = this.options
		this.eventCount += 1
		this.commentRun.end()
		if (this.eventCount > 1) onEvent(this, responseHead, event)
		else {
			this.firstEventAt = this.options.ctx.now()
			target.link?.notifyStarted(target.key, createOriginNotice())
			const bytes = Buffer.concat([...this.leadingComments.take(), event.bytes])
			onEvent(this, responseHead, {...event, bytes})
		}
		if (this.eventCount === eventsUntilProven) this.options.onProven(this)
		if (this.pauses.size === 0) this.restartSilenceTimer(this.gapLimitMs)
	}

	/** Restarts the timer that reports when no event arrives in time. */
	private restartSilenceTimer(limitMs: number): void {
		clearTimeout(this.silenceTimer)
		this.silenceTimer = setTimeout(() => {
			this.restartSilenceTimer(limitMs)
			this.options.onSilent(this)
		}, limitMs)
	}
}

/** Records success or failure of the engine for later ratings. */
export function recordEngineResult(
	{engines, now}: GatewayContext,
	send: GenerationSend,
	outcome: CallOutcome
): void {
	const {target, responseHead, wasPaused, isRejected} = send
	// No failure: the engine evicted the adapter or has restarted.
	if (responseHead?.isMisdirected === true) return
	// Engines cut off answers that are not read.
	if (wasPaused && !isRejected && outcome === CallOutcome.Broken) return
	const isComplete = outcome === CallOutcome.Complete
	// Whether that is so isn't known.
	if (isComplete && send.statesNoneLeft) return
	const {id} = target.endpoint
	if (isComplete && send.isStream && !send.isUnanswered)
		engines.addSuccess(id, now())
	else engines.addFailure(id, now())
}
