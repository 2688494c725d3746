/**
 * Finds an engine for one generation request: rates the engines that are left and
 * asks the agent of the best one for a grant, then the next one's.
 */
import {slotKey, type FleetEndpoint} from "../../contract/fleet.js"
import {RefuseReason} from "../../contract/gen/grants_pb.js"
import {toCount, toTimeMs} from "../../contract/wireValues.js"
import type {
	EngineQuery,
	EngineRating,
	StartLimits
} from "../../policy/dispatch/index.js"
import type {StreamBinding} from "../../policy/streams/index.js"
import type {AgentLink, AgentRefusal} from "../links/agentLink.js"
import type {LogFields} from "../callers/callerExchange.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"
import {
	findBuild,
	findPool,
	findRegistration,
	type SendTarget
} from "./sendTarget.js"
import {getStreamSpanMs} from "../streams/index.js"
import type {GenerationHead} from "../wire.js"

export interface EngineSearchOptions {
	ctx: GatewayContext
	request: RoutedRequest
	generation: GenerationHead
	/** Builds that may go on with the stream. */
	binding: StreamBinding
	/** Predicted tokens that the answer still has; 0 if unknown. */
	getExpectedTokens: () => number
	/** Times that the next event of the request has to meet. */
	getStartLimits: () => StartLimits
	/** Returns whether the request was sent. */
	onFound: (target: SendTarget) => boolean
	/** Called when no engine is left that could deliver an event in time. */
	onNone: (refusal: SearchRefusal) => void
}

/** What to tell a caller for whom no engine was found. */
export interface SearchRefusal {
	reason: string
	retryAfterMs: number
	/** Expected time to the first event at the best engine; 0 if unknown. */
	expectedMs: number
	asks: number
}

/** Engines asked for a grant, one after the other, before a refusal. */
const maxGrantAsks = 2
const minRetryAfterMs = 150
/** Interval at which a search waits for the first agent to connect. */
const catchUpIntervalMs = 20

export class EngineSearch {
	private readonly refusingEngines = new Set<string>()
	private readonly usedEngines = new Set<string>()
	/**
	 * Grant requests of this search, not counting those whose link failed or whose
	 * endpoint was no longer ready when the grant arrived.
	 */
	private asks = 0
	/** Number of the last grant request, part of its key. */
	private lastAsk = 0
	private catchUpTimer: NodeJS.Timeout | undefined
	private pendingAsk: {link: AgentLink; key: string} | undefined

	constructor(private readonly options: EngineSearchOptions) {}

	/** Whether an agent has yet to respond, or to connect. */
	get isPending(): boolean {
		return this.pendingAsk !== undefined || this.catchUpTimer !== undefined
	}

	/** Searches among the engines that neither refused nor were sent the request. */
	start(): void {
		// A grant that nobody waits for would be used as well.
		this.cancel()
		this.asks = 0
		this.tryNextEngine()
	}

	/** As `start`, also among engines that refused before. */
	startOver(): void {
		this.refusingEngines.clear()
		this.start()
	}

	/** Lets a later search use an engine again that the request did not reach. */
	readmit(id: string): void {
		this.usedEngines.delete(id)
		this.refusingEngines.add(id)
	}

	cancel(): void {
		clearTimeout(this.catchUpTimer)
		this.catchUpTimer = undefined
		this.pendingAsk?.link.notifyEnded(this.pendingAsk.key)
		this.pendingAsk = undefined
	}

	private tryNextEngine(refusal?: AgentRefusal): void {
		const {ctx, getStartLimits, onNone} = this.options
		const best = this.asks >= maxGrantAsks ? undefined : this.pickEngine()
		const startByLeftMs = getStartLimits().startBy - ctx.now()
		const endpoint =
			best === undefined || best.expectedMs > startByLeftMs
				? undefined
				: ctx.fleet.getEndpoint(best.id)
		if (best === undefined || endpoint === undefined) {
			onNone(this.describeFailure(best, refusal))
			return
		}
		if (!best.isLinked && ctx.links.isCatchingUp) {
			clearTimeout(this.catchUpTimer)
			this.catchUpTimer = setTimeout(() => {
				this.catchUpTimer = undefined
				this.tryNextEngine()
			}, catchUpIntervalMs)
			return
		}
		const link = ctx.links.get(best.id)
		if (best.isLinked && link !== undefined) this.askAgent(endpoint, link, best)
		else this.useWithoutGrant(endpoint, best)
	}

	/** The best-rated engine left to ask; undefined if there is none. */
	private pickEngine(): EngineRating | undefined {
		const {ctx, request, binding} = this.options
		const candidates = ctx.fleet
			.listReady(request.pool)
			.filter(
				endpoint =>
					binding.permits(this.findBuild(endpoint)) &&
					!this.refusingEngines.has(endpoint.id) &&
					!this.usedEngines.has(endpoint.id) &&
					ctx.pauses.isOpen(endpoint.id, ctx.now()) &&
					!this.needsGrant(endpoint)
			)
			.map(({id, failureDomain}) => ({
				id,
				isNear: failureDomain === ctx.failureDomain
			}))
		return ctx.engines.choose(this.query, candidates, ctx.now())
	}

	/** Build of an engine that may be chosen, as far as it is known. */
	private findBuild(endpoint: FleetEndpoint): string | undefined {
		const {ctx, request} = this.options
		const {id, bornAt} = endpoint
		const link = ctx.engines.isLinked(id) ? ctx.links.get(id) : undefined
		const target = {endpoint, engineId: id, link, bornAt}
		return findBuild(ctx, target, getStreamSpanMs(request))
	}

	/**
	 * Whether the engine may only be sent what its agent grants, and the agent is not
	 * connected: it states a limit, which others may be using up.
	 */
	private needsGrant({id, bornAt}: FleetEndpoint): boolean {
		const {limits, engines} = this.options.ctx
		return limits.get(id, bornAt) !== undefined && !engines.isLinked(id)
	}

	private get query(): EngineQuery {
		const {model, adapter, promptTokens} = this.options.generation
		return {
			slotKey: slotKey(model, adapter),
			hasAdapter: adapter !== "",
			promptTokens,
			expectedOutputTokens: this.options.getExpectedTokens()
		}
	}

	/**
	 * Uses an engine whose agent is disconnected. The engine itself rejects the
	 * request if it doesn't hold the adapter version.
	 */
	private useWithoutGrant(endpoint: FleetEndpoint, rating: EngineRating): void {
		const {ctx, request, generation, onFound} = this.options
		if (ctx.fleet.hasSuccessor(endpoint)) {
			// The engine would refuse it, or crash under another one's name.
			this.refusingEngines.add(endpoint.id)
			this.tryNextEngine()
			return
		}
		const {model, adapter} = generation
		const version = ctx.fleet.getMinVersion(model, adapter)
		ctx.log.request("send.ungranted", request.exchange.head.id, {
			endpoint: endpoint.id,
			build: endpoint.build,
			version,
			expectedMs: Math.round(rating.expectedMs)
		})
		const isSent = onFound({
			endpoint,
			link: undefined,
			key: "",
			engineId: endpoint.id,
			bornAt: endpoint.bornAt,
			agentPool: undefined,
			version,
			expectedMs: rating.expectedMs,
			ratedAt: ctx.now(),
			ratedMs: Math.round(rating.expectedMs)
		})
		this.exclude(endpoint.id, isSent)
	}

	private askAgent(
		endpoint: FleetEndpoint,
		link: AgentLink,
		rating: EngineRating
	): void {
		const {ctx, request} = this.options
		const {log, engines, now} = ctx
		const requestId = request.exchange.head.id
		this.asks += 1
		this.lastAsk += 1
		const key = `${requestId}#${this.lastAsk}`
		this.pendingAsk = {link, key}
		const askedAt = now()
		const ratedMs = Math.round(rating.expectedMs)
		engines.addAsk(endpoint.id, this.query, askedAt)
		link.ask(this.createAsk(key), {
			onGrant: grant => {
				this.pendingAsk = undefined
				log.request("granted", requestId, {
					endpoint: endpoint.id,
					build: endpoint.build,
					version: grant.version,
					waitedMs: Math.round(now() - askedAt),
					expectedMs: grant.expectedMs,
					rated: ratedMs,
					...describeRating(rating, this.options.getExpectedTokens())
				})
				this.useGrant({
					endpoint,
					link,
					key,
					engineId: grant.engineId === "" ? endpoint.id : grant.engineId,
					bornAt: grant.engineBornAt,
					agentPool: grant.pool,
					version: grant.version,
					expectedMs: grant.expectedMs,
					ratedAt: askedAt,
					ratedMs
				})
			},
			onRefuse: refusal => {
				this.pendingAsk = undefined
				this.refusingEngines.add(endpoint.id)
				this.tryNextEngine(refusal)
			},
			onLost: () => {
				this.pendingAsk = undefined
				this.skipEngine(endpoint.id)
			}
		})
	}

	private useGrant(target: SendTarget): void {
		const {ctx, request, binding, onFound} = this.options
		const {endpoint, engineId, link, key} = target
		const isOpen = ctx.pauses.isOpen(engineId, ctx.now())
		const spanMs = getStreamSpanMs(request)
		const isOfPool = findPool(ctx.fleet, target) === request.pool
		const isPermitted = binding.permits(findBuild(ctx, target, spanMs))
		const registered = findRegistration(ctx.fleet, target)
		const isReady =
			ctx.fleet.isReady(endpoint) &&
			(registered === undefined || ctx.fleet.isReady(registered))
		if (isOpen && isOfPool && isPermitted && isReady) {
			this.exclude(endpoint.id, onFound(target))
			return
		}
		// The endpoint began to drain, wants no requests for now, was removed or
		// replaced, also by an engine of another pool, or restarted with a build that is
		// not known to fit, while the request was queued.
		link?.notifyEnded(key)
		this.skipEngine(endpoint.id)
	}

	/** Excludes an engine: for good if it was sent the request, else from this search. */
	private exclude(id: string, isSent: boolean): void {
		if (isSent) this.usedEngines.add(id)
		else this.refusingEngines.add(id)
	}

	/** Goes on to the next engine without counting the last grant request. */
	private skipEngine(id: string): void {
		this.refusingEngines.add(id)
		this.asks -= 1
		this.tryNextEngine()
	}

	private createAsk(key: string): Parameters<AgentLink["ask"]>[0] {
		const {ctx, request, generation} = this.options
		const {getStartLimits, getExpectedTokens} = this.options
		const {model, adapter, promptTokens, outputTokens} = generation
		const now = ctx.now()
		const {objectiveAt, startBy} = getStartLimits()
		const memberPriority = request.member?.priority
		return {
			$typeName: "goldcrestloom.grants.v1.Ask",
			key,
			requestId: request.exchange.head.id,
			model,
			adapter,
			minVersion: ctx.fleet.getMinVersion(model, adapter),
			minVersionAgeMs: toCount(ctx.fleet.getVersionAgeMs(model, adapter, now)),
			parts: generation.parts.map(part => ({
				$typeName: "goldcrestloom.grants.v1.PromptPart",
				...part
			})),
			promptTokens,
			outputTokens,
			priority: toCount(request.route.priority),
			objectiveLeftMs: toTimeMs(objectiveAt - now),
			startByLeftMs: toTimeMs(startBy - now),
			deadlineLeftMs: toTimeMs(request.deadline - now),
			member: request.member?.name ?? "",
			...(memberPriority === undefined
				? {}
				: {memberPriority: toCount(memberPriority)}),
			quotaUse: toCount(request.quotaUse ?? 0),
			expectedOutputTokens: toCount(getExpectedTokens())
		}
	}

	private describeFailure(
		best: EngineRating | undefined,
		refusal: AgentRefusal | undefined
	): SearchRefusal {
		const reason =
			refusal === undefined
				? "no engine in time"
				: RefuseReason[refusal.reason].toLowerCase()
		return {
			reason,
			retryAfterMs: refusal?.retryAfterMs ?? this.getRetryAfterMs(best),
			expectedMs: Math.round(best?.expectedMs ?? refusal?.expectedMs ?? 0),
			asks: this.asks
		}
	}

	/**
	 * Time until the engine is expected to start in time, with random jitter so that
	 * refused callers don't retry at the same moment.
	 */
	private getRetryAfterMs(best: EngineRating | undefined): number {
		const {ctx, getStartLimits} = this.options
		const leftMs = getStartLimits().startBy - ctx.now()
		const excessMs = best === undefined ? 0 : best.expectedMs - leftMs
		return Math.max(minRetryAfterMs, excessMs) * (1 + ctx.random())
	}
}

/** What the log says of a choice by predicted output; nothing without a prediction. */
function describeRating(
	{cost, terms}: EngineRating,
	expectedTokens: number
): LogFields {
	if (expectedTokens === 0) return {}
	return {
		expectedTokens,
		cost: Math.round(cost),
		decodeMs: Math.round(terms.decodeMs),
		seatWaitMs: Math.round(terms.seatWaitMs),
		memoryWaitMs: Math.round(terms.memoryWaitMs)
	}
}
