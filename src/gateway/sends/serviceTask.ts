/**
 * Serves one request to a plain service. Retries at another endpoint if the
 * request did not run, or if the route permits it to run more than once. If an
 * endpoint is silent, the request is repeated at another one and the first answer
 * counts; the silent endpoint's call stays open until then.
 */
import {type FleetEndpoint, RouteKind} from "../../contract/fleet.js"
import {BodyBuffer} from "../callers/bodyBuffer.js"
import type {LogFields} from "../callers/callerExchange.js"
import {CrashAdmission} from "../crashes/crashAdmission.js"
import {CrashSubject} from "../crashes/crashGuard.js"
import {computeRequestDigest} from "../crashes/requestDigest.js"
import {turnAway} from "../crashes/turnAway.js"
import {CallOutcome, EndpointCall} from "./endpointCall.js"
import {applySignals} from "./endpointSignals.js"
import {type Denial, respondDenial} from "../identity/index.js"
import {RequestTask} from "./requestTask.js"
import {ServiceSearch} from "./serviceSearch.js"
import {type ResponseHead, isServerError} from "../wire.js"

/** Limit on sends of one request, including those the endpoint did not run. */
const maxSends = 3
const minRetryAfterMs = 100
const suspectedRequest = "request crashes endpoints"
/**
 * A safe request without a response after this multiple of the route's objective
 * is sent to another endpoint as well.
 */
const silenceTimeoutObjectives = 2

interface ServiceSendEnd {
	/** Id of the endpoint. */
	id: string
	outcome: CallOutcome
	detail: string
	received: BodyBuffer
	/** Resolves when it is known whether the endpoint has ended. */
	checked: Promise<void>
}

export class ServiceTask extends RequestTask {
	private readonly tried = new Set<string>()
	private readonly openCalls = new Set<EndpointCall>()
	private silenceTimer: NodeJS.Timeout | undefined
	/** Last 5xx response; forwarded unless a retry delivers a response. */
	private errorResponse:
		{responseHead: ResponseHead; received: BodyBuffer} | undefined
	private readonly admission = new CrashAdmission({
		guard: this.ctx.guard,
		subject: CrashSubject.Endpoint,
		requestId: this.request.exchange.head.id,
		sharedParts: [],
		getDigest: () => computeRequestDigest(this.request),
		deadline: this.request.deadline,
		now: this.ctx.now,
		random: this.ctx.random
	})
	private readonly search = new ServiceSearch({
		ctx: this.ctx,
		request: this.request,
		tried: this.tried,
		canSend: () => this.sends < maxSends,
		isOpen: () => !this.isCancelled && this.request.exchange.isOpen,
		onFound: (endpoint, reason) => {
			this.sendTo(endpoint, reason)
		},
		onNone: reason => {
			this.endWithoutRetry(reason)
		}
	})

	protected override dispatch(): void {
		if (this.admission.isTurnedAway) this.turnAway()
		else this.search.start("no endpoint")
	}

	protected override handleDisconnect(): void {
		// A request with side effects is left to complete rather than aborted midway.
		if (this.request.route.kind === RouteKind.Safe) this.cancel()
	}

	/** Sends to the endpoint that was found; `reason` is the response if it can't. */
	private sendTo(endpoint: FleetEndpoint, reason: string): void {
		const {ctx, request} = this
		if (!this.tryAccess()) return
		if (!this.admission.tryAdmit()) {
			this.turnAway()
			return
		}
		if (this.sends > 0 && !ctx.retryBudgets.tryRetry(request.pool)) {
			this.endWithoutRetry(`${reason}; no repeats left`)
			return
		}
		this.send(endpoint)
	}

	private send(endpoint: FleetEndpoint): void {
		const {ctx, request} = this
		const {exchange, body} = request
		const {id} = endpoint
		this.tried.add(id)
		this.sends += 1
		ctx.services.begin(id)
		const endProbe = ctx.pauses.begin(id)
		const sentAt = ctx.now()
		const {buffers} = exchange
		const hold = buffers.openAnswer(id, () => call)
		const received = new BodyBuffer(hold)
		buffers.hold()
		const call: EndpointCall = new EndpointCall({
			address: endpoint.address,
			wire: ctx.wire,
			connectTimeoutMs: ctx.connectTimeoutMs,
			head: exchange.head,
			headers: ctx.wire.encodeRequest(exchange.head, {
				endpointId: id,
				leftMs: request.deadline - sentAt,
				bodyBytes: body.length,
				memberName: ctx.access.describeCaller(request).memberName
			}),
			body,
			runs: exchange.runs,
			handlers: {
				onConnected: () =>
					!this.admission.isTurnedAway &&
					(request.quotaTicket?.trySend() ?? true),
				onHead: responseHead => {
					const requestId = exchange.head.id
					applySignals(ctx, {endpoint, requestId, sentAt}, responseHead)
				},
				onData: chunk => {
					if (!received.tryPush(chunk)) call.reject("body without end")
				},
				onUnread: bytes => {
					hold.setUnread(bytes)
				},
				onFault: err => {
					ctx.log.fault("answer", err, {request: exchange.head.id})
				},
				onEnd: (outcome, detail) => {
					this.openCalls.delete(call)
					hold.close()
					ctx.metrics.countSend(request.pool, outcome)
					const responseHead = call.responseHead
					endProbe(outcome === CallOutcome.Complete)
					this.recordResult(id, outcome, responseHead, sentAt)
					const checked = this.noteEnd(endpoint, outcome, sentAt)
					this.handleCallEnd(call, {id, outcome, detail, received, checked})
					if (this.errorResponse?.received !== received) received.take()
					buffers.release()
				}
			}
		})
		this.openCalls.add(call)
		this.startSilenceTimer(call, id)
	}

	/** Repeats a safe request that gets no response at another endpoint. */
	private startSilenceTimer(call: EndpointCall, id: string): void {
		const {ctx, request} = this
		clearTimeout(this.silenceTimer)
		if (!this.canRepeat) return
		const silenceMs = request.route.objectiveMs * silenceTimeoutObjectives
		if (ctx.now() + silenceMs >= request.deadline) return
		this.silenceTimer = setTimeout(() => {
			if (!this.openCalls.has(call) || call.responseHead !== undefined) return
			ctx.log.request("send.silent", request.exchange.head.id, {
				endpoint: id,
				elapsedMs: Math.round(silenceMs)
			})
			ctx.services.addSilence(id, ctx.now())
			this.search.start("silent")
		}, silenceMs)
	}

	/** Whether the route permits one more run besides those that are open. */
	private get canRepeat(): boolean {
		const {kind, maxAttempts} = this.request.route
		return (
			kind === RouteKind.Safe && this.runs + this.openCalls.size < maxAttempts
		)
	}

	/** Records load, success or failure of the endpoint for later choices. */
	private recordResult(
		id: string,
		outcome: CallOutcome,
		responseHead: ResponseHead | undefined,
		sentAt: number
	): void {
		const {services, now} = this.ctx
		const at = now()
		if (responseHead?.load !== undefined) {
			const {pace} = responseHead.load
			if (pace !== undefined) services.setPace(id, pace, at)
			services.setReportedLoad(
				id,
				responseHead.load.running + responseHead.load.waiting,
				at
			)
		}
		if (responseHead?.isMisdirected === true) this.ctx.fleet.markReplaced(id)
		if (outcome === CallOutcome.Aborted && !this.request.exchange.isOpen) {
			services.release(id)
		} else if (outcome === CallOutcome.Complete) {
			const isFailure =
				responseHead !== undefined && isServerError(responseHead)
			if (isFailure) services.fail(id, at, errorResponseWeight)
			else services.succeed(id, at - sentAt, at)
		} else services.fail(id, at)
	}

	/**
	 * Records what the end of a send says of the request. Resolves when it is known
	 * whether the endpoint has ended.
	 */
	private async noteEnd(
		endpoint: FleetEndpoint,
		outcome: CallOutcome,
		sentAt: number
	): Promise<void> {
		const {admission, ctx} = this
		const {id: engineId, bornAt} = endpoint
		const target = {endpoint, engineId, bornAt}
		if (outcome === CallOutcome.Complete) admission.noteAnswer(ctx.now())
		else if (outcome === CallOutcome.Broken)
			await admission.noteBreak({target, hasBegun: true, sentAt})
	}

	private handleCallEnd(
		{responseHead, sizeFields}: EndpointCall,
		{id, outcome, detail, received, checked}: ServiceSendEnd
	): void {
		const {ctx, request} = this
		const {exchange} = request
		if (this.isCancelled || !exchange.isOpen) return
		if (outcome === CallOutcome.NeverSent || outcome === CallOutcome.NotRun) {
			ctx.log.request("send.notRun", exchange.head.id, {endpoint: id, detail})
			this.search.start(detail)
			return
		}
		this.runs += 1
		this.mayHaveRun = true
		const mayBeAnswered = this.canRepeat || this.openCalls.size > 0
		if (outcome === CallOutcome.Complete && responseHead !== undefined) {
			const isFailure = isServerError(responseHead)
			if (!isFailure || !mayBeAnswered) {
				this.forward(responseHead, received, {
					endpoint: id,
					sends: this.sends
				})
				// After the answer: a call that is no longer needed is no failure.
				this.cancel()
				return
			}
			this.errorResponse?.received.take()
			this.errorResponse = {responseHead, received}
		}
		ctx.log.request("send.failed", exchange.head.id, {
			endpoint: id,
			end: outcome,
			detail,
			status: responseHead?.status,
			...sizeFields
		})
		if (outcome === CallOutcome.Complete) this.goOn(detail)
		else
			void checked.then(() => {
				this.goOn(detail)
			})
	}

	/** Sends the request again after a failed send, or ends it. */
	private goOn(detail: string): void {
		if (this.isCancelled || !this.request.exchange.isOpen) return
		if (this.canRepeat) this.search.start(detail)
		else this.endWithoutRetry(detail)
	}

	private forward(
		responseHead: ResponseHead,
		received: BodyBuffer,
		logFields: LogFields
	): void {
		const {exchange} = this.request
		exchange.forwardResponse(responseHead, received.take(), logFields)
	}

	/**
	 * Ends the request without another retry, unless a call is still open: forwards
	 * the kept error response, or reports an unknown outcome if the request may have
	 * run, or else responds with `denial` or refuses it.
	 */
	private endWithoutRetry(reason: string, denial?: Denial): void {
		const {exchange, route} = this.request
		if (this.openCalls.size > 0) {
			this.ctx.log.request("send.kept", exchange.head.id, {detail: reason})
			return
		}
		this.clearTimers()
		const logFields = {sends: this.sends, tried: [...this.tried]}
		if (this.errorResponse !== undefined) {
			const {responseHead, received} = this.errorResponse
			this.forward(responseHead, received, logFields)
		} else if (this.mayHaveRun) exchange.respondUnknown(reason, logFields)
		else if (denial !== undefined) respondDenial(exchange, denial, logFields)
		else {
			const spreadMs =
				Math.max(minRetryAfterMs, route.objectiveMs) * (1 + this.ctx.random())
			const retryAfterMs =
				this.search.permitRetryAfterMs ??
				(this.getPauseLeftMs() ?? 0) + spreadMs
			exchange.refuse(reason, retryAfterMs, logFields)
		}
	}

	/** Ends a request that crashes endpoints. */
	private turnAway(): void {
		const {admission, request, sends, tried} = this
		const mayHaveAnswer =
			this.openCalls.size > 0 || this.errorResponse !== undefined
		if (mayHaveAnswer || this.mayHaveRun) {
			this.endWithoutRetry(suspectedRequest)
			return
		}
		this.clearTimers()
		turnAway(request.exchange, {
			admission,
			detail: suspectedRequest,
			isRepeated: request.route.kind === RouteKind.Safe,
			logFields: {sends, tried: [...tried]}
		})
	}

	protected override handleDenial(denial: Denial): void {
		this.endWithoutRetry(denial.reason, denial)
	}

	protected override get hasOpenCall(): boolean {
		return this.openCalls.size > 0
	}

	protected override giveUp(reason: string, retryAfterMs: number): void {
		const {exchange} = this.request
		const wasSent =
			this.mayHaveRun || [...this.openCalls].some(call => call.wasSent)
		this.cancel()
		const logFields = {sends: this.sends, tried: [...this.tried]}
		if (wasSent) exchange.respondUnknown(reason, logFields)
		else exchange.refuse(reason, retryAfterMs, logFields)
	}

	protected override handleDeadline(): void {
		const {exchange} = this.request
		const wasSent =
			this.mayHaveRun || [...this.openCalls].some(call => call.wasSent)
		this.cancel()
		const logFields = {
			sends: this.sends,
			tried: [...this.tried],
			...this.deadlineFields
		}
		if (this.errorResponse !== undefined) {
			const {responseHead, received} = this.errorResponse
			this.forward(responseHead, received, logFields)
		} else if (wasSent) exchange.respondUnknown("deadline", logFields, true)
		else exchange.refuse("deadline", minRetryAfterMs, logFields)
	}

	protected override cancel(): void {
		super.cancel()
		for (const call of this.openCalls) call.abort()
	}

	protected override clearTimers(): void {
		super.clearTimers()
		clearTimeout(this.silenceTimer)
		this.search.cancel()
	}
}

/** A 5xx response lowers an endpoint's rating less than a missing response. */
const errorResponseWeight = 0.25
