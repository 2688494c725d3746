/**
 * Serves one generation request: asks the agent of an engine for a grant, sends
 * the request directly to the engine and forwards its events. If the stream
 * breaks and the route permits it, another engine resumes the generation after
 * the last complete event.
 */
import {slotKey, type FleetEndpoint} from "../contract/fleet.js"
import {RefuseReason} from "../contract/gen/grants_pb.js"
import {
	type EngineQuery,
	type EngineRating,
	getStartLimits,
	type StartLimits
} from "../policy/dispatch/index.js"
import type {AgentLink, AgentRefusal} from "./agentLink.js"
import {CallOutcome} from "./endpointCall.js"
import type {GatewayContext, RoutedRequest} from "./gatewayContext.js"
import {GenerationSend, type SendTarget} from "./generationSend.js"
import {RequestTask} from "./requestTask.js"
import {type ResponseHead, type GenerationHead, isServerError} from "./wire.js"

/** Engines asked for a grant, one after the other, before a refusal. */
const maxGrantAsks = 2
/** Limit on sends of one request, including those an engine did not run. */
const maxSends = 4
const minRetryAfterMs = 150
const httpOk = 200

export class GenerationTask extends RequestTask {
	private readonly refusingEngines = new Set<string>()
	private readonly failedEngines = new Set<string>()
	/**
	 * Grant requests since the last failed send, not counting those whose link
	 * failed or whose endpoint was no longer ready when the grant arrived.
	 */
	private asks = 0
	private pendingAsk: {link: AgentLink; key: string} | undefined
	private currentSend: GenerationSend | undefined
	private lastEventId: string | undefined
	private lastEventAt: number | undefined
	/** Expected time to the first event at the engine asked last. */
	private estimate: {askedAt: number; ratedMs: number} | undefined
	/** Measured time from that grant request to the first event. */
	private startedMs: number | undefined

	constructor(
		ctx: GatewayContext,
		request: RoutedRequest,
		private readonly generation: GenerationHead
	) {
		super(ctx, request)
	}

	protected override dispatch(): void {
		this.tryNextEngine()
	}

	protected override handleDisconnect(): void {
		this.cancel()
	}

	/**
	 * Asks the best-rated engine that neither refused nor failed this request, or
	 * sends to it directly if its agent is disconnected. Ends the request if no
	 * engine can deliver an event in time or `maxGrantAsks` is reached.
	 */
	private tryNextEngine(refusal?: AgentRefusal): void {
		if (this.isCancelled) return
		const best = this.asks >= maxGrantAsks ? undefined : this.pickEngine()
		const startByLeftMs = this.startLimits.startBy - this.ctx.now()
		if (best === undefined || best.expectedMs > startByLeftMs) {
			this.endWithoutEngine(best, refusal)
			return
		}
		const endpoint = this.ctx.fleet.getEndpoint(best.id)
		if (endpoint === undefined) return
		const link = this.ctx.links.get(best.id)
		if (best.isLinked && link !== undefined) this.askAgent(endpoint, link, best)
		else this.sendWithoutGrant(endpoint, best.expectedMs)
	}

	/**
	 * Sends to an engine whose agent is disconnected. The engine itself rejects the
	 * request if it doesn't hold the adapter version.
	 */
	private sendWithoutGrant(endpoint: FleetEndpoint, expectedMs: number): void {
		const {model, adapter} = this.generation
		const version = this.ctx.fleet.getMinVersion(model, adapter)
		this.send({
			endpoint,
			link: undefined,
			key: "",
			engineId: endpoint.id,
			version,
			expectedMs
		})
	}

	/** Times that the next event has to meet. */
	private get startLimits(): StartLimits {
		const {route, arrivedAt, deadline, exchange} = this.request
		return getStartLimits({
			now: this.ctx.now(),
			arrivedAt,
			deadline,
			objectiveMs: route.objectiveMs,
			eventGapMs: route.eventGapMs,
			mayHaveRun: this.mayHaveRun,
			hasStarted: exchange.hasStarted
		})
	}

	private get query(): EngineQuery {
		const {model, adapter, promptTokens} = this.generation
		return {
			slotKey: slotKey(model, adapter),
			hasAdapter: adapter !== "",
			promptTokens
		}
	}

	/** The best-rated engine left to ask; undefined if there is none. */
	private pickEngine(): EngineRating | undefined {
		const {ctx, request} = this
		const ready = ctx.fleet.listReady(request.pool)
		const candidates = ready
			.filter(
				({id}) =>
					!this.refusingEngines.has(id) &&
					!this.failedEngines.has(id) &&
					ctx.pauses.isOpen(id, ctx.now())
			)
			.map(({id, failureDomain}) => ({
				id,
				isNear: failureDomain === ctx.failureDomain
			}))
		return ctx.engines.choose(this.query, candidates, ctx.now())
	}

	private askAgent(
		endpoint: FleetEndpoint,
		link: AgentLink,
		rating: EngineRating
	): void {
		const {ctx, request, generation} = this
		const {route, exchange} = request
		this.asks += 1
		const key = `${exchange.head.id}#${this.asks + this.sends}`
		this.pendingAsk = {link, key}
		const now = ctx.now()
		this.estimate = {askedAt: now, ratedMs: Math.round(rating.expectedMs)}
		ctx.engines.addAsk(endpoint.id, this.query, now)
		const ask = {
			$typeName: "goldcrestloom.grants.v1.Ask" as const,
			key,
			requestId: exchange.head.id,
			model: generation.model,
			adapter: generation.adapter,
			minVersion: ctx.fleet.getMinVersion(generation.model, generation.adapter),
			parts: generation.parts.map(part => ({
				$typeName: "goldcrestloom.grants.v1.PromptPart" as const,
				...part
			})),
			promptTokens: generation.promptTokens,
			outputTokens: generation.outputTokens,
			priority: Math.max(0, route.priority),
			objectiveLeftMs: Math.round(this.startLimits.objectiveAt - now),
			startByLeftMs: Math.round(this.startLimits.startBy - now),
			deadlineLeftMs: Math.round(request.deadline - now)
		}
		link.ask(ask, {
			onGrant: grant => {
				this.pendingAsk = undefined
				ctx.log.request("granted", exchange.head.id, {
					endpoint: endpoint.id,
					version: grant.version,
					waitedMs: Math.round(ctx.now() - now),
					expectedMs: grant.expectedMs,
					rated: Math.round(rating.expectedMs)
				})
				const {engineId, version, expectedMs} = grant
				const isOpen = ctx.pauses.isOpen(endpoint.id, ctx.now())
				if (isOpen && ctx.fleet.isReady(endpoint)) {
					const id = engineId === "" ? endpoint.id : engineId
					this.send({endpoint, link, key, engineId: id, version, expectedMs})
					return
				}
				// The endpoint began to drain, wants no requests for now, or was removed or
				// replaced, while the request was queued.
				link.notifyEnded(key)
				this.refusingEngines.add(endpoint.id)
				this.asks -= 1
				this.tryNextEngine()
			},
			onRefuse: refusal => {
				this.pendingAsk = undefined
				this.refusingEngines.add(endpoint.id)
				this.tryNextEngine(refusal)
			},
			onLost: () => {
				this.pendingAsk = undefined
				this.refusingEngines.add(endpoint.id)
				this.asks -= 1
				this.tryNextEngine()
			}
		})
	}

	private send(target: SendTarget): void {
		const {ctx, request} = this
		const {exchange} = request
		if (this.sends > 0 && !ctx.retryBudgets.tryRetry(request.pool)) {
			target.link?.notifyEnded(target.key)
			this.failRequest("no repeats left")
			return
		}
		this.sends += 1
		ctx.engines.begin(target.endpoint.id)
		const endProbe = ctx.pauses.begin(target.endpoint.id)
		this.currentSend = new GenerationSend({
			ctx,
			request,
			target,
			resumeAfter: this.lastEventId,
			mayGiveUp: () => this.canResume(1),
			onEvent: (responseHead, event) => {
				if (!exchange.hasStarted) this.recordFirstEvent()
				exchange.startStream(responseHead)
				if (event.id !== "") this.lastEventId = event.id
				exchange.writeEvent(event.bytes)
				this.lastEventAt = ctx.now()
			},
			onEnd: (send, outcome, detail) => {
				endProbe(outcome === CallOutcome.Complete)
				this.handleSendEnd(send, outcome, detail)
			}
		})
	}

	/** Records the error of the estimate by which the engine was chosen. */
	private recordFirstEvent(): void {
		if (this.estimate === undefined) return
		const {askedAt, ratedMs} = this.estimate
		this.startedMs = Math.round(this.ctx.now() - askedAt)
		this.ctx.metrics.observeEstimate(ratedMs, this.startedMs)
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
		if (this.currentSend === send) this.currentSend = undefined
		if (this.isCancelled || !exchange.isOpen) return
		this.recordResult(id, outcome, responseHead)
		if (outcome === CallOutcome.Complete && responseHead !== undefined) {
			if (this.tryComplete(send, responseHead)) return
			detail = `status ${responseHead.status}`
		}
		ctx.log.request("send.failed", exchange.head.id, {
			endpoint: id,
			end: send.isStalled ? "stalled" : outcome,
			detail,
			lastEvent: this.lastEventId,
			elapsedMs: Math.round(ctx.now() - send.sentAt)
		})
		const hasNotRun =
			outcome === CallOutcome.NeverSent || outcome === CallOutcome.NotRun
		if (!hasNotRun) {
			this.runs += 1
			this.mayHaveRun = true
		}
		this.failedEngines.add(id)
		const canRetry = (hasNotRun && !this.mayHaveRun) || this.canResume(0)
		if (!canRetry || this.sends >= maxSends) {
			this.failRequest(detail)
			return
		}
		this.asks = 0
		this.tryNextEngine()
	}

	/**
	 * Ends the caller's response with a complete response of the engine. Returns
	 * false if the send counts as failed: a stream without events or with a truncated
	 * last event, an error status after the caller's stream has begun, or a 5xx while
	 * the route permits another run.
	 */
	private tryComplete(
		send: GenerationSend,
		responseHead: ResponseHead
	): boolean {
		const {exchange} = this.request
		const logFields = {
			endpoint: send.target.endpoint.id,
			sends: this.sends,
			ratedMs: this.estimate?.ratedMs,
			startedMs: this.startedMs
		}
		if (responseHead.status === httpOk) {
			if (send.hasPartialEvent) return false
			if (!exchange.hasStarted) return false
			this.clearTimers()
			exchange.endStream(logFields)
			return true
		}
		const isFailure = isServerError(responseHead)
		if (exchange.hasStarted || (isFailure && this.canResume(1))) return false
		this.clearTimers()
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
	private endWithoutEngine(
		best: EngineRating | undefined,
		refusal: AgentRefusal | undefined
	): void {
		if (this.mayHaveRun) {
			this.failRequest("no engine to go on at")
			return
		}
		this.clearTimers()
		const reason =
			refusal === undefined
				? "no engine in time"
				: RefuseReason[refusal.reason].toLowerCase()
		const pauseLeftMs = this.getPauseLeftMs() ?? 0
		const retryAfterMs =
			pauseLeftMs + (refusal?.retryAfterMs ?? this.getRetryAfterMs(best))
		this.request.exchange.refuse(reason, retryAfterMs, {
			expectedMs: Math.round(best?.expectedMs ?? refusal?.expectedMs ?? 0),
			asks: this.asks,
			sends: this.sends
		})
	}

	/**
	 * Time until the engine is expected to start in time, with random jitter so that
	 * refused callers don't retry at the same moment.
	 */
	private getRetryAfterMs(best: EngineRating | undefined): number {
		const leftMs = this.startLimits.startBy - this.ctx.now()
		const excessMs = best === undefined ? 0 : best.expectedMs - leftMs
		return Math.max(minRetryAfterMs, excessMs) * (1 + this.ctx.random())
	}

	private failRequest(detail: string, isTimeout = false): void {
		this.clearTimers()
		const {exchange} = this.request
		const {lastEventAt} = this
		const logFields = {
			sends: this.sends,
			lastEvent: this.lastEventId,
			sinceEventMs:
				lastEventAt === undefined
					? undefined
					: Math.round(this.ctx.now() - lastEventAt),
			...(isTimeout ? this.deadlineFields : {})
		}
		if (exchange.hasStarted) exchange.abortStream({detail, ...logFields})
		else if (this.mayHaveRun)
			exchange.respondUnknown(detail, logFields, isTimeout)
		else exchange.refuse(detail, minRetryAfterMs, logFields)
	}

	protected override handleDeadline(): void {
		if (this.currentSend?.wasSent === true) this.mayHaveRun = true
		this.cancel()
		this.failRequest("deadline", true)
	}

	protected override cancel(): void {
		super.cancel()
		this.pendingAsk?.link.notifyEnded(this.pendingAsk.key)
		this.pendingAsk = undefined
		this.currentSend?.abort()
	}
}
