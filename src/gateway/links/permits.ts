/**
 * Permits for requests to plain endpoints that state limits. The agent that holds
 * the lease of the pool gives them; any agent can name it.
 */
import {create} from "@bufbuild/protobuf"
import {
	type PermitAnswer,
	type PermitAsk,
	PermitAskSchema
} from "../../contract/gen/grants_pb.js"
import type {FleetEndpoint} from "../../contract/fleet.js"
import {createLimitNotice} from "../../notices/index.js"
import type {StatedLimits} from "../../policy/limits/index.js"
import type {Moment} from "../../utils/index.js"
import type {AgentLink} from "./agentLink.js"
import type {AgentLinks} from "./agentLinks.js"
import {LeaseAsks, type LeaseAsksOptions} from "./leaseAsks.js"

export interface PermitsOptions extends LeaseAsksOptions {
	links: AgentLinks
	limits: StatedLimits
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

/** Agents among which the first that answers is asked. */
const maxRanked = 8
/** Bounds of the interval at which a gateway asks for an endpoint it can do without. */
const minTrialMs = 500
const maxTrialMs = 60_000
const msPerSecond = 1000

export class Permits extends LeaseAsks<PermitAsk, PermitAnswer> {
	/** Time of the last trial for each endpoint. */
	private readonly trials = new Map<string, number>()
	private lastKey = 0

	constructor(private readonly options: PermitsOptions) {
		super(options)
	}

	/**
	 * Calls one of the query's handlers later. Returns the function that cancels the
	 * ask.
	 */
	ask(query: PermitQuery): () => void {
		let timer: NodeJS.Timeout | undefined
		const cancel = this.openAsk(query.pool, this.createMessage(query), {
			onAnswer: ({endpointId, waitMs, retryAfterMs}, {askedAt}) => {
				if (endpointId === "") query.onRefused(retryAfterMs)
				else if (waitMs === 0) this.usePermit(query, endpointId, 0, askedAt)
				else {
					timer = setTimeout(() => {
						this.usePermit(query, endpointId, waitMs, askedAt)
					}, waitMs)
				}
			},
			onNone: () => {
				query.onRefused(this.getNoAnswerRetryMs())
			}
		})
		return () => {
			cancel()
			clearTimeout(timer)
		}
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

	protected override send(link: AgentLink, ask: PermitAsk): void {
		link.askPermit(ask)
	}

	protected override isFromHolder({endpointId}: PermitAnswer): boolean {
		return endpointId !== ""
	}

	/** A permit that nobody uses lapses. */
	protected override handleLateAnswer(): void {
		return
	}

	protected override pickFirst(
		pool: string,
		isUsable: (agentId: string) => boolean
	): string | undefined {
		return this.options.links.rankLinked(pool, maxRanked).find(isUsable)
	}

	/** Lets the permit lapse if this process was paused or suspended meanwhile. */
	private usePermit(
		query: PermitQuery,
		endpointId: string,
		waitMs: number,
		askedAt: Moment
	): void {
		if (this.isTooLate(askedAt, waitMs))
			query.onRefused(this.getNoAnswerRetryMs())
		else query.onPermitted(endpointId)
	}

	private createMessage(query: PermitQuery): PermitAsk {
		const {limits, now} = this.options
		this.lastKey += 1
		return create(PermitAskSchema, {
			key: String(this.lastKey),
			pool: query.pool,
			limits: query.endpoints.map(({id, bornAt}) =>
				createLimitNotice(id, bornAt, limits.get(id, bornAt), now())
			),
			maxWaitMs: Math.round(query.maxWaitMs),
			deadlineLeftMs: Math.max(0, Math.round(query.deadline - now()))
		})
	}
}
