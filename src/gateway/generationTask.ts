/**
 * Serves one generation request: finds an engine, sends the request directly to it
 * and forwards its events. If the stream breaks and the route permits it, another
 * engine resumes the generation after the last complete event. If the engine falls
 * silent, its call stays open until another engine has delivered an event, so that
 * the caller's stream ends only when no call is left.
 */
import {getStartLimits, type StartLimits} from "../policy/dispatch/index.js"
import type {LogFields} from "./callerExchange.js"
import {CallerStream} from "./callerStream.js"
import {CallOutcome} from "./endpointCall.js"
import {EngineSearch, type SearchRefusal} from "./engineSearch.js"
import type {StreamEvent} from "./eventSplitter.js"
import type {GatewayContext, RoutedRequest} from "./gatewayContext.js"
import {GenerationSend} from "./generationSend.js"
import {RequestTask} from "./requestTask.js"
import type {SendTarget} from "./sendTarget.js"
import {locateStream} from "./streamResumption.js"
import {
	type ResponseHead,
	type GenerationHead,
	isServerError,
	listSharedParts
} from "./wire.js"

/** Limit on sends of one request, including those an engine did not run. */
const maxSends = 4
const minRetryAfterMs = 150
/** Pause between two searches for an engine to go on with a stream. */
const searchIntervalMs = 250
const httpOk = 200

export class GenerationTask extends RequestTask {
	private readonly search: EngineSearch
	private readonly stream: CallerStream
	/** The send whose events the caller receives. */
	private currentSend: GenerationSend | undefined
	/** A send to another engine while the current one is silent. */
	private standbySend: GenerationSend | undefined
	/**
	 * Time until which a stream without an open call must go on, since a later event
	 * is of no use; undefined until one was lost, and again after an event.
	 */
	private resumeBy: number | undefined
	private searchTimer: NodeJS.Timeout | undefined

	constructor(
		ctx: GatewayContext,
		request: RoutedRequest,
		private readonly generation: GenerationHead
	) {
		super(ctx, request)
		this.stream = new CallerStream(ctx, request)
		this.search = new EngineSearch({
			ctx,
			request,
			generation,
			binding: this.stream.binding,
			getStartLimits: () => this.startLimits,
			onFound: target => this.send(target),
			onNone: refusal => {
				this.endWithoutEngine(refusal)
			}
		})
	}

	protected override dispatch(): void {
		const {ctx, request, stream} = this
		const {resumption} = request.exchange.head
		if (resumption === undefined) {
			this.search.start()
			return
		}
		locateStream({
			ctx,
			request,
			resumption,
			binding: stream.binding,
			onPermitted: () => {
				if (!this.isCancelled) this.search.start()
			},
			onRefused: reason => {
				if (!this.isCancelled) this.failRequest(reason, {})
			}
		})
	}

	protected override handleDisconnect(): void {
		this.cancel()
	}

	/** Times that the next event has to meet. */
	private get startLimits(): StartLimits {
		const {route, arrivedAt, deadline, exchange} = this.request
		const limits = getStartLimits({
			now: this.ctx.now(),
			arrivedAt,
			deadline,
			objectiveMs: route.objectiveMs,
			eventGapMs: route.eventGapMs,
			mayHaveRun: this.mayHaveRun || this.currentSend !== undefined,
			hasStarted: exchange.hasStarted
		})
		const {resumeBy = limits.startBy} = this
		return {...limits, startBy: Math.min(limits.startBy, resumeBy)}
	}

	/** Returns false if no repeat is left for it. */
	private send(target: SendTarget): boolean {
		const {ctx, request} = this
		if (this.sends > 0 && !ctx.retryBudgets.tryRetry(request.pool)) {
			target.link?.notifyEnded(target.key)
			this.endWithoutSend("no repeats left")
			return false
		}
		this.sends += 1
		ctx.engines.begin(target.endpoint.id)
		const endProbe = ctx.pauses.begin(target.endpoint.id)
		const send = new GenerationSend({
			ctx,
			request,
			target,
			sharedParts: listSharedParts(this.generation),
			resumeAfter: this.stream.lastEventId,
			createOriginNotice: () => this.stream.createNotice(target),
			onEvent: (from, responseHead, event) => {
				this.forwardEvent(from, responseHead, event)
			},
			onComment: (from, bytes) => {
				if (from === this.currentSend) request.exchange.writeEvent(bytes)
			},
			onSilent: from => {
				this.handleSilence(from)
			},
			onEnd: (from, outcome, detail) => {
				endProbe(outcome === CallOutcome.Complete)
				this.handleSendEnd(from, outcome, detail)
			}
		})
		if (this.currentSend === undefined) this.currentSend = send
		else this.standbySend = send
		return true
	}

	private forwardEvent(
		send: GenerationSend,
		responseHead: ResponseHead,
		event: StreamEvent
	): void {
		if (send === this.currentSend) this.dropStandby()
		else this.takeOver()
		this.stream.forward(send.target, responseHead, event)
		this.resumeBy = undefined
	}

	/**
	 * Looks for an engine to go on in place of a silent one, whose call stays open.
	 * Does nothing while another engine is about to go on.
	 */
	private handleSilence(send: GenerationSend): void {
		const {ctx, request} = this
		if (this.isCancelled || send !== this.currentSend) return
		if (this.isSeekingStandby) return
		if (!this.canResume(1) || this.sends >= maxSends) return
		const {id} = send.target.endpoint
		ctx.log.request("send.silent", request.exchange.head.id, {
			endpoint: id,
			lastEvent: this.stream.lastEventId,
			elapsedMs: Math.round(ctx.now() - send.sentAt)
		})
		ctx.engines.addFailure(id, ctx.now())
		this.search.startOver()
	}

	private get isSeekingStandby(): boolean {
		return this.search.isPending || this.standbySend !== undefined
	}

	/** Goes on with the standby send, which has delivered an event. */
	private takeOver(): void {
		const silent = this.currentSend
		this.promoteStandby()
		silent?.abort()
	}

	private promoteStandby(): void {
		this.currentSend = this.standbySend
		this.standbySend = undefined
	}

	/** Cancels the standby send, or the search for one: the engine has gone on. */
	private dropStandby(): void {
		this.search.cancel()
		const standby = this.standbySend
		this.standbySend = undefined
		standby?.abort()
	}

	/**
	 * Whether the route permits one more run, by another engine. `uncountedRuns` is
	 * the number of sends that `runs` does not include yet.
	 */
	private canResume(uncountedRuns: number): boolean {
		const {route} = this.request
		return route.isResumable && this.runs + uncountedRuns < route.maxAttempts
	}

	private handleSendEnd(
		send: GenerationSend,
		outcome: CallOutcome,
		detail: string
	): void {
		const {ctx, request} = this
		const {exchange} = request
		const {responseHead, target} = send
		const {id} = target.endpoint
		ctx.metrics.countSend(request.pool, outcome)
		ctx.engines.end(id)
		target.link?.notifyEnded(target.key, responseHead?.isMisdirected ?? false)
		const isStandby = send === this.standbySend
		if (isStandby) this.standbySend = undefined
		else if (send === this.currentSend) this.promoteStandby()
		if (this.isCancelled || !exchange.isOpen) return
		if (outcome !== CallOutcome.Aborted)
			this.recordResult(id, outcome, responseHead)
		if (outcome === CallOutcome.Complete && responseHead !== undefined) {
			if (this.tryComplete(send, responseHead, isStandby)) return
			detail = `status ${responseHead.status}`
		}
		ctx.log.request("send.failed", exchange.head.id, {
			endpoint: id,
			end: outcome,
			detail,
			lastEvent: this.stream.lastEventId,
			elapsedMs: Math.round(ctx.now() - send.sentAt),
			...send.promptFields
		})
		const hasNotRun =
			outcome === CallOutcome.NeverSent ||
			outcome === CallOutcome.NotRun ||
			!send.wasSent
		if (outcome === CallOutcome.NeverSent) this.search.readmit(id)
		if (!hasNotRun) {
			this.runs += 1
			this.mayHaveRun = true
		}
		if (outcome === CallOutcome.Aborted || this.search.isPending) return
		// The standby send was promoted.
		if (this.currentSend !== undefined && !isStandby) return
		const canRetry =
			(hasNotRun && !this.mayHaveRun && this.currentSend === undefined) ||
			this.canResume(this.currentSend === undefined ? 0 : 1)
		if (!canRetry || this.sends >= maxSends) this.endWithoutSend(detail)
		else this.search.start()
	}

	/**
	 * Ends the caller's response with a complete response of the engine. Returns
	 * false if the send counts as failed: a stream without events or with a truncated
	 * last event, an error status after the caller's stream has begun, or a 5xx while
	 * another engine may still answer.
	 */
	private tryComplete(
		send: GenerationSend,
		responseHead: ResponseHead,
		isStandby: boolean
	): boolean {
		const {exchange} = this.request
		const logFields = {
			endpoint: send.target.endpoint.id,
			sends: this.sends,
			...this.stream.getEstimateFields(send.target)
		}
		if (responseHead.status === httpOk) {
			if (send.hasPartialEvent || !exchange.hasStarted) return false
			// No event: whether the stream is complete is left to the current send.
			if (isStandby) return false
			this.cancel()
			exchange.endStream(logFields)
			return true
		}
		const mayBeAnswered = this.currentSend !== undefined || this.canResume(1)
		if (exchange.hasStarted) return false
		if (isServerError(responseHead) && mayBeAnswered) return false
		this.cancel()
		exchange.forwardResponse(responseHead, send.body, logFields)
		return true
	}

	/** Records success or failure of the engine for later ratings. */
	private recordResult(
		id: string,
		outcome: CallOutcome,
		responseHead: ResponseHead | undefined
	): void {
		const {engines, now} = this.ctx
		// No failure: the engine evicted the adapter or has restarted.
		if (responseHead?.isMisdirected === true) return
		if (outcome === CallOutcome.Complete && responseHead?.status === httpOk) {
			engines.addSuccess(id, now())
		} else engines.addFailure(id, now())
	}

	/** Ends a request for which no engine is left that could start in time. */
	private endWithoutEngine(refusal: SearchRefusal): void {
		if (this.mayHaveRun || this.currentSend !== undefined) {
			if (!this.searchLater()) this.endWithoutSend("no engine to go on at")
			return
		}
		this.clearTimers()
		const {reason, retryAfterMs, expectedMs, asks} = refusal
		const pauseLeftMs = this.getPauseLeftMs() ?? 0
		this.request.exchange.refuse(reason, pauseLeftMs + retryAfterMs, {
			expectedMs,
			asks,
			sends: this.sends
		})
	}

	/**
	 * Searches again soon for an engine to go on with a stream that has begun and has
	 * no open call. Returns false when it is too late for that.
	 */
	private searchLater(): boolean {
		if (this.currentSend !== undefined) return false
		if (!this.request.exchange.hasStarted || !this.canResume(0)) return false
		this.resumeBy ??= this.startLimits.startBy
		if (this.ctx.now() + searchIntervalMs >= this.resumeBy) return false
		this.searchTimer = setTimeout(() => {
			this.search.startOver()
		}, searchIntervalMs)
		return true
	}

	/** Ends a request that can't be sent again, unless a call is still open. */
	private endWithoutSend(detail: string): void {
		if (this.currentSend === undefined) {
			this.failRequest(detail, {})
			return
		}
		const {ctx, request, currentSend} = this
		ctx.log.request("send.kept", request.exchange.head.id, {
			endpoint: currentSend.target.endpoint.id,
			detail
		})
	}

	private failRequest(
		detail: string,
		fields: LogFields,
		isTimeout = false
	): void {
		this.clearTimers()
		const {exchange} = this.request
		const logFields = {
			sends: this.sends,
			...this.stream.endFields,
			...fields
		}
		if (exchange.hasStarted) exchange.abortStream({detail, ...logFields})
		else if (this.mayHaveRun)
			exchange.respondUnknown(detail, logFields, isTimeout)
		else exchange.refuse(detail, minRetryAfterMs, logFields)
	}

	protected override handleDeadline(): void {
		if (this.currentSend?.wasSent === true) this.mayHaveRun = true
		if (this.standbySend?.wasSent === true) this.mayHaveRun = true
		this.cancel()
		this.failRequest("deadline", this.deadlineFields, true)
	}

	protected override clearTimers(): void {
		super.clearTimers()
		clearTimeout(this.searchTimer)
	}

	protected override cancel(): void {
		super.cancel()
		this.search.cancel()
		// The end of the current send would make the standby send the current one.
		const sends = [this.currentSend, this.standbySend]
		this.currentSend = undefined
		this.standbySend = undefined
		for (const send of sends) send?.abort()
	}
}
