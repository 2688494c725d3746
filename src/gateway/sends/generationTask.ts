/**
 * Serves one generation request: finds an engine, sends the request directly to it
 * and forwards its events. If the stream breaks and the route permits it, another
 * engine resumes the generation after the last complete event. If the engine falls
 * silent, its call stays open until another engine has delivered an event, so that
 * the caller's stream ends only when no call is left.
 */
import {getStartLimits, type StartLimits} from "../../policy/dispatch/index.js"
import {CallerStream} from "../streams/callerStream.js"
import {CallOutcome} from "./endpointCall.js"
import {EngineSearch, type SearchRefusal} from "./engineSearch.js"
import {LaterSearch} from "./laterSearch.js"
import type {StreamEvent} from "./eventSplitter.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"
import {GenerationEnding} from "./generationEnding.js"
import {GenerationSend, recordEngineResult} from "./generationSend.js"
import type {Denial} from "../identity/index.js"
import {OutputTracker} from "./outputTracker.js"
import {CrashAdmission} from "../crashes/crashAdmission.js"
import {CrashSubject} from "../crashes/crashGuard.js"
import {computeRequestDigest} from "../crashes/requestDigest.js"
import {RequestTask} from "./requestTask.js"
import {SendPair} from "./sendPair.js"
import type {SendTarget} from "./sendTarget.js"
import {locateStream} from "../streams/index.js"
import {
	type ResponseHead,
	type GenerationHead,
	listSharedParts
} from "../wire.js"

/** Limit on sends of one request, including those an engine did not run. */
const maxSends = 4
const httpOk = 200
const suspectedPrompt = "prompt may have crashed an engine"

export class GenerationTask extends RequestTask {
	private readonly search: EngineSearch
	private readonly stream: CallerStream
	private readonly admission: CrashAdmission
	private readonly open = new SendPair()
	private readonly ending: GenerationEnding
	private readonly later: LaterSearch
	private readonly output: OutputTracker
	private endWatch: (() => void) | undefined
	/** Goes on after a failed send, once the caller has read enough. */
	private goOnWithRoom: (() => void) | undefined

	constructor(
		ctx: GatewayContext,
		request: RoutedRequest,
		generation: GenerationHead
	) {
		super(ctx, request)
		this.stream = new CallerStream(ctx, request)
		this.output = new OutputTracker(ctx, request, generation)
		this.admission = new CrashAdmission({
			guard: ctx.guard,
			subject: CrashSubject.Engine,
			requestId: request.exchange.head.id,
			sharedParts: listSharedParts(generation),
			getDigest: () => computeRequestDigest(request),
			deadline: request.deadline,
			now: ctx.now,
			random: ctx.random
		})
		this.ending = new GenerationEnding({
			request,
			stream: this.stream,
			output: this.output,
			admission: this.admission,
			cancel: () => {
				this.cancel()
			}
		})
		this.later = new LaterSearch({
			getStartBy: () => this.startLimits.startBy,
			onSearch: () => {
				this.search.startOver()
			},
			onTooLate: () => {
				this.ending.fail(suspectedPrompt, this)
			},
			now: ctx.now
		})
		this.search = new EngineSearch({
			ctx,
			request,
			generation,
			binding: this.stream.binding,
			getExpectedTokens: () => this.output.expectedTokens,
			getStartLimits: () => this.startLimits,
			onFound: target => this.send(target),
			onNone: refusal => {
				this.endWithoutEngine(refusal)
			}
		})
	}

	protected override dispatch(): void {
		const {ctx, request, stream} = this
		request.exchange.onRoom = () => {
			this.handleRoom()
		}
		const {resumption} = request.exchange.head
		if (this.admission.isTurnedAway) {
			this.ending.turnAway(this)
			return
		}
		this.endWatch = ctx.guard.watch(() => {
			this.handleSuspicion()
		})
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
				if (!this.isCancelled) this.ending.fail(reason, this)
			}
		})
	}

	protected override handleDisconnect(): void {
		this.cancel()
	}

	protected override giveUp(reason: string): void {
		if (this.open.wasSent) this.mayHaveRun = true
		this.ending.fail(reason, this)
	}

	/** Stops reading the engine while its caller has too much unread. */
	private pauseIfFull(send: GenerationSend): void {
		const {ctx, request} = this
		if (request.exchange.hasRoom || !send.pause()) return
		ctx.metrics.countReadPause()
		ctx.log.request("send.paused", request.exchange.head.id, {
			endpoint: send.target.endpoint.id,
			lastEvent: this.stream.lastEventId
		})
	}

	/** Reads on, or looks for the engine that is to go on, as the caller reads on. */
	private handleRoom(): void {
		this.open.current?.resume()
		const {goOnWithRoom} = this
		this.goOnWithRoom = undefined
		goOnWithRoom?.()
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
			mayHaveRun: this.mayHaveRun || this.open.current !== undefined,
			hasStarted: exchange.hasStarted
		})
		return {...limits, startBy: this.later.limit(limits.startBy)}
	}

	/** Returns false if no repeat is left for it. */
	private send(target: SendTarget): boolean {
		const {ctx, request} = this
		if (!this.tryAccess()) {
			target.link?.notifyEnded(target.key)
			return false
		}
		if (!this.admission.tryAdmit()) {
			target.link?.notifyEnded(target.key)
			if (this.admission.isHeld) this.hold(suspectedPrompt)
			else this.handleSuspicion()
			return false
		}
		if (this.sends > 0 && !ctx.retryBudgets.tryRetry(request.pool)) {
			target.link?.notifyEnded(target.key)
			this.endWithoutSend("no repeats left")
			return false
		}
		this.sends += 1
		ctx.engines.begin(target.endpoint.id)
		const endProbe = ctx.pauses.begin(target.engineId)
		const send = new GenerationSend({
			ctx,
			request,
			target,
			sharedParts: this.admission.sharedParts,
			resumeAfter: this.stream.lastEventId,
			createOriginNotice: () => this.stream.createNotice(target),
			findDefect: (event, isFirst) => this.stream.findDefect(event, isFirst),
			onEvent: (from, responseHead, event) => {
				this.forwardEvent(from, responseHead, event)
			},
			onComment: (from, bytes) => {
				if (from !== this.open.current) return
				request.exchange.writeEvent(bytes)
				this.pauseIfFull(from)
			},
			onProven: from => {
				this.admission.noteAnswer(from.answeredAt)
			},
			onSilent: from => {
				this.handleSilence(from)
			},
			onEnd: (from, outcome, detail) => {
				endProbe(outcome === CallOutcome.Complete)
				this.handleSendEnd(from, outcome, detail)
			}
		})
		this.open.add(send)
		return true
	}

	private forwardEvent(
		send: GenerationSend,
		responseHead: ResponseHead,
		event: StreamEvent
	): void {
		if (send === this.open.current) {
			this.search.cancel()
			this.open.dropStandby()
		} else this.open.takeOver()
		this.stream.forward(send.target, responseHead, event)
		this.output.noteEvent()
		this.later.noteEvent()
		this.pauseIfFull(send)
	}

	/**
	 * Looks for an engine to go on in place of a silent one, whose call stays open.
	 * Does nothing while another engine is about to go on.
	 */
	private handleSilence(send: GenerationSend): void {
		const {ctx, request} = this
		if (this.isCancelled || send !== this.open.current) return
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
		return this.search.isPending || this.open.hasStandby
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
		const isStandby = this.open.remove(send)
		if (this.isCancelled || !exchange.isOpen) return
		if (outcome !== CallOutcome.Aborted) recordEngineResult(ctx, send, outcome)
		if (outcome === CallOutcome.Complete && responseHead !== undefined) {
			this.noteShortAnswer(send)
			const mayBeAnswered = this.open.current !== undefined || this.canResume(1)
			const at = {sends: this.sends, isStandby, mayBeAnswered}
			if (this.ending.tryComplete(send, responseHead, at)) return
			detail = describeAnswer(send, responseHead)
		}
		ctx.log.request("send.failed", exchange.head.id, {
			endpoint: id,
			end: outcome,
			detail,
			lastEvent: this.stream.lastEventId,
			elapsedMs: Math.round(ctx.now() - send.sentAt),
			...send.sizeFields,
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
		if (outcome === CallOutcome.Aborted) return
		const isBroken = outcome === CallOutcome.Broken || send.isStream
		if (hasNotRun || !isBroken || send.isProven) {
			this.goOn(detail, hasNotRun, isStandby)
			return
		}
		void this.admission.noteBreak(send).then(() => {
			this.dropSuspects()
			this.goOn(detail, hasNotRun, isStandby)
		})
	}

	/** Sends the request again after a failed send, or ends it. */
	private goOn(detail: string, hasNotRun: boolean, isStandby: boolean): void {
		const {exchange} = this.request
		if (this.isCancelled || !exchange.isOpen) return
		// Another engine would be cut off as well before its events are read.
		if (!exchange.hasRoom) {
			this.goOnWithRoom = () => {
				this.goOn(detail, hasNotRun, isStandby)
			}
			return
		}
		if (this.search.isPending) return
		// The standby send was promoted.
		if (this.open.current !== undefined && !isStandby) return
		const canRetry =
			(hasNotRun && !this.mayHaveRun && this.open.current === undefined) ||
			this.canResume(this.open.current === undefined ? 0 : 1)
		if (!canRetry || this.sends >= maxSends) this.endWithoutSend(detail)
		else if (this.admission.isHeld) this.hold(detail)
		else this.search.start()
	}

	/** An answer of a single event proves as much as one that goes on. */
	private noteShortAnswer(send: GenerationSend): void {
		const isWhole = !send.isUnanswered && !send.hasPartialEvent
		if (isWhole && !send.isProven) this.admission.noteAnswer(send.answeredAt)
	}

	/**
	 * Gives up sends without events when a prompt that crashes engines, or may have
	 * crashed one, is still on its way into another engine.
	 */
	private dropSuspects(): void {
		const {isHeld, isTurnedAway} = this.admission
		if (!isHeld && !isTurnedAway) return
		this.search.cancel()
		this.open.dropUnanswered()
	}

	/** Acts on what became known of the parts of the prompt. */
	private handleSuspicion(): void {
		const {admission, request} = this
		if (this.isCancelled || !request.exchange.isOpen) return
		if (admission.isTurnedAway) {
			this.dropSuspects()
			if (this.open.current === undefined) this.ending.turnAway(this)
		} else if (!admission.isHeld) this.later.release()
	}

	/** Waits until the parts of the prompt were answered elsewhere, while that is of use. */
	private hold(detail: string): void {
		const {ctx, request, admission, later} = this
		if (this.open.current !== undefined) {
			this.endWithoutSend(detail)
			return
		}
		const {sharedParts: parts} = admission
		ctx.log.request("send.held", request.exchange.head.id, {parts, detail})
		later.hold()
	}

	/** Ends a request for which no engine is left that could start in time. */
	private endWithoutEngine(refusal: SearchRefusal): void {
		if (this.mayHaveRun || this.open.current !== undefined) {
			const mayGoOn =
				this.open.current === undefined &&
				this.request.exchange.hasStarted &&
				this.canResume(0)
			if (mayGoOn && this.later.trySchedule()) return
			this.endWithoutSend("no engine to go on at")
			return
		}
		const {reason, retryAfterMs, expectedMs, asks} = refusal
		const pauseLeftMs = this.getPauseLeftMs() ?? 0
		this.ending.refuse(reason, pauseLeftMs + retryAfterMs, {
			expectedMs,
			asks,
			sends: this.sends
		})
	}

	/** Ends a request that can't be sent again, unless a call is still open. */
	private endWithoutSend(detail: string): void {
		if (this.open.current === undefined) {
			this.ending.fail(detail, this)
			return
		}
		const {ctx, request, open} = this
		ctx.log.request("send.kept", request.exchange.head.id, {
			endpoint: open.current?.target.endpoint.id,
			detail
		})
	}

	protected override handleDenial(denial: Denial): void {
		if (this.hasOpenCall) {
			this.endWithoutSend(denial.reason)
			return
		}
		const mayGoOn =
			denial.retryAfterMs !== undefined &&
			this.request.exchange.hasStarted &&
			this.canResume(0)
		if (mayGoOn && this.later.trySchedule()) return
		this.ending.deny(denial, this)
	}

	protected override get hasOpenCall(): boolean {
		return this.open.current !== undefined
	}

	protected override handleDeadline(): void {
		if (this.open.wasSent) this.mayHaveRun = true
		this.ending.fail("deadline", this, this.deadlineFields, true)
	}

	protected override clearTimers(): void {
		super.clearTimers()
		this.later.clear()
		this.endWatch?.()
	}

	protected override cancel(): void {
		super.cancel()
		this.search.cancel()
		this.open.dropAll()
	}
}

/** Why the complete answer of an engine doesn't end the request. */
function describeAnswer(send: GenerationSend, {status}: ResponseHead): string {
	if (!send.isStream)
		return status === httpOk ? "not a stream of events" : `status ${status}`
	if (send.hasPartialEvent) return "incomplete last event"
	return send.isResumption ? "no event left, which isn't proven" : "no event"
}
