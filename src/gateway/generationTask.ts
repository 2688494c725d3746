/**
 * Serves one generation: asks the agent of an engine for a grant, sends the
 * request straight to the engine and passes its events on. Where the route
 * permits it, a stream that breaks goes on at another engine after the last
 * whole event.
 */
import {slotKey, type FleetEndpoint} from "../contract/fleet.js"
import {RefuseReason} from "../contract/gen/grants_pb.js"
import type {EngineQuery, EngineRating} from "../policy/dispatch/index.js"
import type {AgentLink, GrantRefused} from "./agentLink.js"
import {CallEnd} from "./endpointCall.js"
import type {GatewayContext, RoutedRequest} from "./gatewayContext.js"
import {GenerationSend, type SendTarget} from "./generationSend.js"
import {RequestTask} from "./requestTask.js"
import {type AnswerHead, type GenerationHead, isServerFailure} from "./wire.js"

/** Engines asked for a grant in turn before the caller is refused. */
const maxAsks = 2
/** Sends of one request, those included that an engine rejects unrun. */
const maxSends = 4
/** Callers give up on an event after some objectives, well before their
 * deadline; one that comes later than this is of no use. */
const startObjectives = 2.5
/** The rest of the time to the deadline is left for the events themselves. */
const maxStartShare = 0.6
const minRetryAfterMs = 150
const httpOk = 200

export class GenerationTask extends RequestTask {
	private readonly refusedBy = new Set<string>()
	private readonly failedAt = new Set<string>()
	private asks = 0
	private waiting: {link: AgentLink; key: string} | undefined
	private current: GenerationSend | undefined
	private lastEventId: string | undefined
	/** What the engine was chosen by, and what came of it. */
	private estimate: {askedAt: number; ratedMs: number} | undefined
	private startedMs: number | undefined

	constructor(
		ctx: GatewayContext,
		request: RoutedRequest,
		private readonly generation: GenerationHead
	) {
		super(ctx, request)
	}

	protected override begin(): void {
		this.askNext()
	}

	protected override leave(): void {
		this.stop()
	}

	/** Asks the best engine that has not refused yet. */
	private askNext(refusal?: GrantRefused): void {
		if (this.isOver) return
		const best = this.asks >= maxAsks ? undefined : this.rate()
		const startByLeftMs = this.getStartBy() - this.ctx.now()
		if (best === undefined || best.expectedMs > startByLeftMs) {
			this.giveUpUnsent(best, refusal)
			return
		}
		const endpoint = this.ctx.fleet.getEndpoint(best.id)
		if (endpoint === undefined) return
		const link = this.ctx.links.get(best.id)
		if (best.isLinked && link !== undefined) this.ask(endpoint, link, best)
		else this.sendUnasked(endpoint, best.expectedMs)
	}

	/** Sends to an engine whose agent is gone; it rejects what it doesn't hold. */
	private sendUnasked(endpoint: FleetEndpoint, expectedMs: number): void {
		const {model, adapter} = this.generation
		const version = this.ctx.fleet.getVersion(model, adapter)
		this.send({
			endpoint,
			link: undefined,
			key: "",
			engineId: endpoint.id,
			version,
			expectedMs
		})
	}

	/** Latest time at which the next event is of use. */
	private getStartBy(): number {
		const {route, arrivedAt, deadline} = this.request
		const patienceMs = route.objectiveMs * startObjectives
		if (this.mayHaveRun) {
			const now = this.ctx.now()
			return now + Math.min(patienceMs, (deadline - now) * maxStartShare)
		}
		const leftMs = deadline - arrivedAt
		return arrivedAt + Math.min(patienceMs, leftMs * maxStartShare)
	}

	/** A caller that reads a stream already notices a pause soonest. */
	private getObjectiveAt(): number {
		const {route, arrivedAt, exchange} = this.request
		if (exchange.hasAnswer) return this.ctx.now() + route.eventGapMs
		return arrivedAt + route.objectiveMs
	}

	private get query(): EngineQuery {
		const {model, adapter, promptTokens} = this.generation
		return {
			slotKey: slotKey(model, adapter),
			hasAdapter: adapter !== "",
			promptTokens
		}
	}

	private rate(): EngineRating | undefined {
		const {ctx, request} = this
		const ready = ctx.fleet.listReady(request.pool)
		const candidates = ready
			.filter(({id}) => !this.refusedBy.has(id) && !this.failedAt.has(id))
			.map(({id, failureDomain}) => ({
				id,
				isNear: failureDomain === ctx.failureDomain
			}))
		return ctx.engines.rate(this.query, candidates, ctx.now())[0]
	}

	private ask(
		endpoint: FleetEndpoint,
		link: AgentLink,
		rating: EngineRating
	): void {
		const {ctx, request, generation} = this
		const {route, exchange} = request
		this.asks += 1
		const key = `${exchange.head.id}#${this.asks + this.sends}`
		this.waiting = {link, key}
		const now = ctx.now()
		this.estimate = {askedAt: now, ratedMs: Math.round(rating.expectedMs)}
		ctx.engines.addAsk(endpoint.id, this.query, now)
		const ask = {
			$typeName: "goldcrestloom.grants.v1.Ask" as const,
			key,
			requestId: exchange.head.id,
			model: generation.model,
			adapter: generation.adapter,
			minVersion: ctx.fleet.getVersion(generation.model, generation.adapter),
			parts: generation.parts.map(part => ({
				$typeName: "goldcrestloom.grants.v1.PromptPart" as const,
				...part
			})),
			promptTokens: generation.promptTokens,
			outputTokens: generation.outputTokens,
			priority: Math.max(0, route.priority),
			objectiveLeftMs: Math.round(this.getObjectiveAt() - now),
			startByLeftMs: Math.round(this.getStartBy() - now),
			deadlineLeftMs: Math.round(request.deadline - now)
		}
		link.ask(ask, {
			onGrant: grant => {
				this.waiting = undefined
				ctx.log.request("granted", exchange.head.id, {
					endpoint: endpoint.id,
					version: grant.version,
					waitedMs: Math.round(ctx.now() - now),
					expectedMs: grant.expectedMs,
					rated: Math.round(rating.expectedMs)
				})
				const {engineId, version, expectedMs} = grant
				if (ctx.fleet.isReady(endpoint)) {
					const id = engineId === "" ? endpoint.id : engineId
					this.send({endpoint, link, key, engineId: id, version, expectedMs})
					return
				}
				// The endpoint began to leave while the request was queued.
				link.end(key)
				this.refusedBy.add(endpoint.id)
				this.asks -= 1
				this.askNext()
			},
			onRefuse: refusal => {
				this.waiting = undefined
				this.refusedBy.add(endpoint.id)
				this.askNext(refusal)
			},
			onLost: () => {
				this.waiting = undefined
				this.refusedBy.add(endpoint.id)
				this.asks -= 1
				this.askNext()
			}
		})
	}

	private send(target: SendTarget): void {
		const {ctx, request} = this
		const {exchange} = request
		if (this.sends > 0 && !ctx.repeats.tryRepeat(request.pool)) {
			target.link?.end(target.key)
			this.fail("no repeats left")
			return
		}
		this.sends += 1
		ctx.engines.begin(target.endpoint.id)
		this.current = new GenerationSend({
			ctx,
			request,
			target,
			resumeAfter: this.lastEventId,
			mayGiveUp: () => this.canResume(1),
			onEvent: (answer, event) => {
				if (!exchange.hasAnswer) this.observeStart()
				exchange.beginStream(answer)
				if (event.id !== "") this.lastEventId = event.id
				exchange.writeEvent(event.bytes)
			},
			onEnd: (send, end, detail) => {
				this.endSend(send, end, detail)
			}
		})
	}

	/** Holds the first event against the estimate that chose the engine. */
	private observeStart(): void {
		if (this.estimate === undefined) return
		const {askedAt, ratedMs} = this.estimate
		this.startedMs = Math.round(this.ctx.now() - askedAt)
		this.ctx.metrics.observeEstimate(ratedMs, this.startedMs)
	}

	/** Whether the request may run once more beside `running` current runs. */
	private canResume(running: number): boolean {
		const {route} = this.request
		return route.isResumable && this.runs + running < route.maxAttempts
	}

	private endSend(send: GenerationSend, end: CallEnd, detail: string): void {
		const {ctx, request} = this
		const {exchange} = request
		const {answer, target} = send
		const {id} = target.endpoint
		ctx.metrics.countSend(request.pool, end)
		ctx.engines.end(id)
		target.link?.end(target.key, answer?.isMisdirected ?? false)
		if (this.current === send) this.current = undefined
		if (this.isOver || !exchange.isOpen) return
		this.learn(id, end, answer)
		if (end === CallEnd.Complete && answer !== undefined) {
			if (this.finish(send, answer)) return
			detail = `status ${answer.status}`
		}
		ctx.log.request("send.failed", exchange.head.id, {
			endpoint: id,
			end: send.isStalled ? "stalled" : end,
			detail,
			lastEvent: this.lastEventId,
			elapsedMs: Math.round(ctx.now() - send.sentAt)
		})
		const isUnrun = end === CallEnd.NeverSent || end === CallEnd.NotRun
		if (!isUnrun) {
			this.runs += 1
			this.mayHaveRun = true
		}
		this.failedAt.add(id)
		const mayRepeat = (isUnrun && !this.mayHaveRun) || this.canResume(0)
		if (!mayRepeat || this.sends >= maxSends) {
			this.fail(detail)
			return
		}
		this.asks = 0
		this.askNext()
	}

	/** Passes a whole answer on; false when another engine should try. */
	private finish(send: GenerationSend, answer: AnswerHead): boolean {
		const {exchange} = this.request
		const inputs = {
			endpoint: send.target.endpoint.id,
			sends: this.sends,
			ratedMs: this.estimate?.ratedMs,
			startedMs: this.startedMs
		}
		if (answer.status === httpOk) {
			if (send.hasPartialEvent) return false
			if (!exchange.hasAnswer) return false
			this.clear()
			exchange.endStream(inputs)
			return true
		}
		const isFailure = isServerFailure(answer)
		if (exchange.hasAnswer || (isFailure && this.canResume(1))) return false
		this.clear()
		exchange.deliver(answer, send.body, inputs)
		return true
	}

	private learn(
		id: string,
		end: CallEnd,
		answer: AnswerHead | undefined
	): void {
		const {engines, now} = this.ctx
		// The engine does not hold the adapter any more, or has started anew.
		if (answer?.isMisdirected === true) return
		if (end === CallEnd.Complete && answer?.status === httpOk) {
			engines.addSuccess(id, now())
		} else engines.addFailure(id, now())
	}

	/** Ends a request that no engine can take. */
	private giveUpUnsent(
		best: EngineRating | undefined,
		refusal: GrantRefused | undefined
	): void {
		if (this.mayHaveRun) {
			this.fail("no engine to go on at")
			return
		}
		this.clear()
		const reason =
			refusal === undefined
				? "no engine in time"
				: RefuseReason[refusal.reason].toLowerCase()
		const retryAfterMs = refusal?.retryAfterMs ?? this.getRetryAfterMs(best)
		this.request.exchange.refuse(reason, retryAfterMs, {
			expectedMs: Math.round(best?.expectedMs ?? refusal?.expectedMs ?? 0),
			asks: this.asks,
			sends: this.sends
		})
	}

	/** Time until the engine could begin in time, spread so that callers return apart. */
	private getRetryAfterMs(best: EngineRating | undefined): number {
		const leftMs = this.getStartBy() - this.ctx.now()
		const excessMs = best === undefined ? 0 : best.expectedMs - leftMs
		return Math.max(minRetryAfterMs, excessMs) * (1 + this.ctx.random())
	}

	private fail(detail: string, isTimeout = false): void {
		this.clear()
		const {exchange} = this.request
		const inputs = {sends: this.sends, lastEvent: this.lastEventId}
		if (exchange.hasAnswer) exchange.cutStream({detail, ...inputs})
		else if (this.mayHaveRun) exchange.failUnknown(detail, inputs, isTimeout)
		else exchange.refuse(detail, minRetryAfterMs, inputs)
	}

	protected override timeOut(): void {
		if (this.current?.wasSent === true) this.mayHaveRun = true
		this.stop()
		this.fail("deadline", true)
	}

	protected override stop(): void {
		super.stop()
		this.waiting?.link.end(this.waiting.key)
		this.waiting = undefined
		this.current?.abort()
	}
}
