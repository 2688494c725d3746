/**
 * Permits for requests to plain endpoints that state limits. The agent that holds
 * the lease of the pool gives them; any agent can name it.
 */
import {create} from "@bufbuild/protobuf"
import {
	type PermitAnswer,
	type PermitAsk,
	PermitAskSchema
} from "../contract/gen/grants_pb.js"
import type {FleetEndpoint} from "../contract/fleet.js"
import {createLimitNotice} from "../notices/index.js"
import type {StatedLimits} from "../policy/limits/index.js"
import {getSuspendedMs, type Moment} from "../utils/index.js"
import type {AgentLinks} from "./agentLinks.js"

export interface PermitsOptions {
	links: AgentLinks
	limits: StatedLimits
	/** Monotonic milliseconds. */
	now: () => number
	/** Time of day in milliseconds, to notice that the host was suspended. */
	wallNow?: () => number
	random: () => number
}

export interface PermitQuery {
	pool: string
	/** Endpoints that may serve the request; each states a limit. */
	endpoints: readonly FleetEndpoint[]
	maxWaitMs: number
	deadline: number
	/** The request may be sent to this endpoint now. */
	onPermitted: (endpointId: string) => void
	/** The request may not be sent to any; the caller may return later. */
	onRefused: (retryAfterMs: number) => void
}

interface PendingAsk {
	query: PermitQuery
	message: PermitAsk
	/** Engine whose agent was asked. */
	agentId: string
	askedAt: Moment
	isRedirected: boolean
	timer: NodeJS.Timeout
}

/** Several times the time of a call to an agent in another failure domain. */
const answerTimeoutMs = 150
/** A permit is used no later than this after the ask and the wait for its turn. */
const permitGraceMs = 250
/** An agent that did not answer is passed over for this long. */
const avoidMs = 2000
/** Agents among which the first that answers is asked. */
const maxRanked = 8
/** A caller for whom no agent could be asked returns after this, or up to twice it. */
const noAnswerRetryMs = 500
/** Bounds of the interval at which a gateway asks for an endpoint it can do without. */
const minTrialMs = 500
const maxTrialMs = 60_000
const msPerSecond = 1000

export class Permits {
	private readonly pending = new Map<string, PendingAsk>()
	/** Engine whose agent gives the permits of a pool, as far as is known. */
	private readonly holders = new Map<string, string>()
	/** Agents that did not answer, with the time until which they are passed over. */
	private readonly avoided = new Map<string, number>()
	/** Time of the last trial for each endpoint. */
	private readonly trials = new Map<string, number>()
	private lastKey = 0

	private readonly wallNow: () => number

	constructor(private readonly options: PermitsOptions) {
		this.wallNow = options.wallNow ?? Date.now
	}

	/**
	 * Calls one of the query's handlers later. Returns the function that cancels the
	 * ask.
	 */
	ask(query: PermitQuery): () => void {
		const {links} = this.options
		const agentId = this.pickAgent(query.pool)
		const link = agentId === undefined ? undefined : links.get(agentId)
		if (agentId === undefined || link === undefined) {
			const timer = setTimeout(() => {
				query.onRefused(this.getNoAnswerRetryMs())
			}, 0)
			return () => {
				clearTimeout(timer)
			}
		}
		this.lastKey += 1
		const key = String(this.lastKey)
		const message = this.createMessage(key, query)
		const timer = setTimeout(() => {
			this.handleTimeout(key)
		}, answerTimeoutMs)
		const askedAt = this.getMoment()
		this.pending.set(key, {
			query,
			message,
			agentId,
			askedAt,
			isRedirected: false,
			timer
		})
		link.askPermit(message)
		return () => {
			this.take(key)
		}
	}

	/** Applies the answer of the agent of `agentId`. */
	applyAnswer(agentId: string, answer: PermitAnswer): void {
		const {key, endpointId, holderId} = answer
		const ask = this.pending.get(key)
		if (ask?.agentId !== agentId) return
		const {query} = ask
		if (endpointId !== "") this.holders.set(query.pool, agentId)
		else if (holderId !== "") {
			this.holders.set(query.pool, holderId)
			if (this.redirect(ask, holderId)) return
		}
		this.take(key)
		if (endpointId === "") query.onRefused(answer.retryAfterMs)
		else this.awaitTurn(key, ask, endpointId, answer.waitMs)
	}

	/**
	 * Whether to try for a permit though other endpoints can serve the request: only
	 * answers show that a limit has ended. All gateways together try about as often
	 * as the limit permits.
	 */
	isTrialDue({id, bornAt}: FleetEndpoint): boolean {
		const {limits, links, now} = this.options
		const stated = limits.get(id, bornAt)
		if (stated?.perSecond === undefined) return false
		const evenMs = (links.gatewayCount * msPerSecond) / stated.perSecond
		const intervalMs = Math.min(maxTrialMs, Math.max(minTrialMs, evenMs))
		const lastAt = this.trials.get(id) ?? stated.statedAt
		if (now() - lastAt < intervalMs) return false
		this.trials.set(id, now())
		return true
	}

	retain(ids: ReadonlySet<string>): void {
		for (const id of this.trials.keys()) {
			if (!ids.has(id)) this.trials.delete(id)
		}
	}

	private awaitTurn(
		key: string,
		ask: PendingAsk,
		endpointId: string,
		waitMs: number
	): void {
		if (waitMs === 0) {
			this.usePermit(ask, endpointId, waitMs)
			return
		}
		const timer = setTimeout(() => {
			this.take(key)
			this.usePermit(ask, endpointId, waitMs)
		}, waitMs)
		this.pending.set(key, {...ask, agentId: "", timer})
	}

	/** Lets the permit lapse if this process was paused or suspended meanwhile. */
	private usePermit(
		{query, askedAt}: PendingAsk,
		endpointId: string,
		waitMs: number
	): void {
		const now = this.getMoment()
		const elapsedMs = now.at - askedAt.at + getSuspendedMs(askedAt, now)
		if (elapsedMs > waitMs + permitGraceMs)
			query.onRefused(this.getNoAnswerRetryMs())
		else query.onPermitted(endpointId)
	}

	/** Asks the agent that holds the lease; returns false if that is not possible. */
	private redirect(ask: PendingAsk, holderId: string): boolean {
		const {links} = this.options
		const link = links.get(holderId)
		if (ask.isRedirected || holderId === ask.agentId || link === undefined)
			return false
		ask.isRedirected = true
		ask.agentId = holderId
		link.askPermit(ask.message)
		return true
	}

	private handleTimeout(key: string): void {
		const ask = this.take(key)
		if (ask === undefined) return
		const now = this.options.now()
		for (const [id, until] of this.avoided) {
			if (now >= until) this.avoided.delete(id)
		}
		this.avoided.set(ask.agentId, now + avoidMs)
		this.holders.delete(ask.query.pool)
		ask.query.onRefused(this.getNoAnswerRetryMs())
	}

	/** The holder as far as it is known, else the first agent of the pool's order. */
	private pickAgent(pool: string): string | undefined {
		const {links, now} = this.options
		const holder = this.holders.get(pool)
		if (holder !== undefined && links.isLinked(holder)) return holder
		const ranked = links.rankLinked(pool, maxRanked)
		return ranked.find(id => now() >= (this.avoided.get(id) ?? 0))
	}

	private createMessage(key: string, query: PermitQuery): PermitAsk {
		const {limits, now} = this.options
		return create(PermitAskSchema, {
			key,
			pool: query.pool,
			limits: query.endpoints.map(({id, bornAt}) =>
				createLimitNotice(id, bornAt, limits.get(id, bornAt), now())
			),
			maxWaitMs: Math.round(query.maxWaitMs),
			deadlineLeftMs: Math.max(0, Math.round(query.deadline - now()))
		})
	}

	private take(key: string): PendingAsk | undefined {
		const ask = this.pending.get(key)
		this.pending.delete(key)
		clearTimeout(ask?.timer)
		return ask
	}

	private getMoment(): Moment {
		return {at: this.options.now(), wallAt: this.wallNow()}
	}

	private getNoAnswerRetryMs(): number {
		return noAnswerRetryMs * (1 + this.options.random())
	}
}
