/**
 * Shares of Members' quotas for requests. Each part of the quotas has one agent that
 * gives them, the one that holds the part's lease; any agent can name it.
 */
import {create} from "@bufbuild/protobuf"
import {ulid} from "ulid"
import type {Member, MemberQuota} from "../../contract/fleet.js"
import {QuotaUnit} from "../../contract/fleet.js"
import {
	type QuotaAnswer,
	type QuotaAsk,
	QuotaAskSchema,
	QuotaResult
} from "../../contract/gen/grants_pb.js"
import {
	getPartName,
	placeParts,
	quotaPartCount,
	type RefusedAsk,
	RefusalMemory
} from "../../policy/quotas/index.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import type {AgentLink} from "../links/agentLink.js"
import type {AgentLinks} from "../links/agentLinks.js"
import type {FleetState} from "../fleet/fleetState.js"
import type {GatewayMetrics} from "../gatewayMetrics.js"
import {
	type AskOrigin,
	LeaseAsks,
	type LeaseAsksOptions
} from "../links/leaseAsks.js"
import {UseReports} from "./useReports.js"

export interface QuotasOptions extends LeaseAsksOptions {
	links: Pick<AgentLinks, "get" | "isLinked" | "rankLinked">
	fleet: Pick<FleetState, "getEndpoint" | "config">
	log: Pick<DecisionLog, "request">
	metrics: Pick<GatewayMetrics, "countQuota">
}

/** What a request takes of its Member's quota. */
export interface QuotaQuery {
	requestId: string
	member: Member
	quota: MemberQuota
	/** Version of the configuration that the quota is from. */
	version: number
	/** Undefined if the request doesn't state it. */
	statedTokens: number | undefined
	deadline: number
}

export interface PartQuery extends QuotaQuery {
	part: number
	/** Set if the amount was taken before and has not been sent yet. */
	renewedKey: string | undefined
	/** Whether the other parts were asked before; the shortest wait they stated. */
	isLast: boolean
	otherWaitMs: number | undefined
}

/** An amount that a part gave, and the agent that holds the part. */
export interface TakenAmount extends AskOrigin {
	key: string
	part: number
	validMs: number
	usePercent: number
}

export interface PartHandlers {
	onTaken(taken: TakenAmount): void
	onOver(retryAfterMs: number): void
	/** The part's holder is not known or doesn't answer. */
	onUnavailable(): void
}

const maxUint32 = 0xff_ff_ff_ff

export class Quotas extends LeaseAsks<QuotaAsk, QuotaAnswer> {
	private readonly refusals = new RefusalMemory()
	readonly log: Pick<DecisionLog, "request">
	readonly metrics: Pick<GatewayMetrics, "countQuota">
	readonly random: () => number
	private readonly reports: UseReports
	/** Begins the keys of this process, so that they are unique among hosts. */
	private readonly keyPrefix = ulid()
	private lastKey = 0
	/** Cancels the asks for the holders of parts that no request has asked for. */
	private readonly searches = new Map<number, () => void>()

	constructor(private readonly options: QuotasOptions) {
		super(options)
		const {links, now} = options
		this.log = options.log
		this.metrics = options.metrics
		this.random = options.random
		this.reports = new UseReports({
			send: (agentId, use) => links.get(agentId)?.reportQuotaUse(use),
			now
		})
	}

	/** What the request counts where the quota counts tokens. */
	getTokens({quota, statedTokens}: QuotaQuery): number {
		const tokens = statedTokens ?? quota.plainTokens
		return Math.min(maxUint32, Math.max(0, Math.round(tokens)))
	}

	/** Wait that the part stated just before for as much; undefined if it didn't. */
	getRefusedMs(query: QuotaQuery, part: number): number | undefined {
		const ask = this.toRefusedAsk(query, part)
		return this.refusals.getWaitMs(ask, this.options.now())
	}

	/** Asks one part. Calls one of the handlers later, unless it is cancelled. */
	askPart(query: PartQuery, handlers: PartHandlers): () => void {
		const {part} = query
		const message = this.createMessage(query)
		return this.openAsk(getPartName(part), message, {
			onAnswer: (answer, origin) => {
				this.handlePartAnswer(query, answer, origin, handlers)
			},
			onNone: () => {
				handlers.onUnavailable()
			}
		})
	}

	reportSent({agentId, key}: TakenAmount): void {
		this.reports.addSent(agentId, key)
	}

	giveBack({agentId, key}: Pick<TakenAmount, "agentId" | "key">): void {
		this.reports.addReturned(agentId, key)
	}

	/**
	 * Finds the holders of parts ahead of requests, and has agents take parts that
	 * nobody holds. Does nothing if no Member has a quota.
	 */
	tick(): void {
		const members = this.options.fleet.config?.members ?? []
		if (!members.some(({quota}) => quota !== undefined)) return
		for (let part = 0; part < quotaPartCount; part += 1) {
			const name = getPartName(part)
			if (this.isHolderKnown(name) || this.searches.has(part)) continue
			const end = (): void => {
				this.searches.delete(part)
			}
			const message = create(QuotaAskSchema, {key: this.createKey(), part})
			const handlers = {onAnswer: end, onNone: end}
			this.searches.set(part, this.openAsk(name, message, handlers))
		}
	}

	close(): void {
		for (const cancel of this.searches.values()) cancel()
		this.reports.close()
	}

	protected override send(link: AgentLink, ask: QuotaAsk): void {
		link.askQuota(ask)
	}

	protected override isFromHolder({result}: QuotaAnswer): boolean {
		return result === QuotaResult.TAKEN || result === QuotaResult.OVER
	}

	protected override pickFirst(
		name: string,
		isUsable: (agentId: string) => boolean
	): string | undefined {
		const {links, fleet} = this.options
		const ids = links.rankLinked(name, Number.POSITIVE_INFINITY)
		const candidates = ids.filter(isUsable).map(id => {
			const failureDomain = fleet.getEndpoint(id)?.failureDomain ?? ""
			return {id, failureDomain}
		})
		const placed = placeParts(candidates)
		return placed.find((_, part) => getPartName(part) === name)
	}

	/** Returns an amount whose request no longer waits for it. */
	protected override handleLateAnswer(
		agentId: string,
		{key, result}: QuotaAnswer
	): void {
		if (result === QuotaResult.TAKEN) this.giveBack({agentId, key})
	}

	private handlePartAnswer(
		query: PartQuery,
		answer: QuotaAnswer,
		origin: AskOrigin,
		handlers: PartHandlers
	): void {
		const {key, result, validMs, usePercent, waitMs, retryAfterMs} = answer
		const {part} = query
		if (result === QuotaResult.OVER) {
			const refused = this.toRefusedAsk(query, part)
			this.refusals.add(refused, waitMs, this.options.now())
			handlers.onOver(retryAfterMs)
			return
		}
		if (result !== QuotaResult.TAKEN) {
			handlers.onUnavailable()
			return
		}
		if (this.isTooLate(origin.askedAt, 0)) {
			this.giveBack({agentId: origin.agentId, key})
			handlers.onUnavailable()
			return
		}
		handlers.onTaken({...origin, key, part, validMs, usePercent})
	}

	private toRefusedAsk(query: QuotaQuery, part: number): RefusedAsk {
		const {member, version} = query
		return {member: member.name, part, cost: this.getTokens(query), version}
	}

	private createMessage(query: PartQuery): QuotaAsk {
		const {member, quota, version, renewedKey, otherWaitMs} = query
		const leftMs = Math.round(query.deadline - this.options.now())
		return create(QuotaAskSchema, {
			key: renewedKey ?? this.createKey(),
			part: query.part,
			member: member.name,
			tokens: this.getTokens(query),
			version,
			perSecond: quota.perSecond,
			burst: quota.burst,
			countsRequests: quota.unit === QuotaUnit.Requests,
			deadlineLeftMs: Math.max(0, leftMs),
			isRenewal: renewedKey !== undefined,
			isLast: query.isLast,
			...(otherWaitMs === undefined
				? {}
				: {otherWaitMs: Math.ceil(otherWaitMs)}),
			requestId: query.requestId
		})
	}

	private createKey(): string {
		this.lastKey += 1
		return `${this.keyPrefix}-${this.lastKey}`
	}
}
