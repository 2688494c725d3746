/**
 * Holds one link for each engine in the fleet state. Opens a link when an engine
 * is registered, closes it when the engine is removed, reopens it when its
 * address changes, and passes each agent's `EngineState` to the engine choice.
 */
import {create} from "@bufbuild/protobuf"
import {
	type AnnouncedVersion,
	type FleetEndpoint,
	slotKey
} from "../../contract/fleet.js"
import {
	type EngineLimits,
	EngineLimitsSchema,
	type EngineState,
	type OriginAnswer,
	type PermitAnswer,
	type QuotaAnswer
} from "../../contract/gen/grants_pb.js"
import type {TlsKeys} from "../../link/tls.js"
import {
	getNoticeEndpoint,
	getNoticeKey,
	type Notice,
	type NoticeBoard
} from "../../notices/index.js"
import type {
	EngineChoice,
	EngineView,
	EngineWork
} from "../../policy/dispatch/index.js"
import {
	chooseLinkIntervals,
	grantLinkPace,
	rankByRendezvous
} from "../../policy/index.js"
import type {DecisionLog} from "../../program/decisionLog.js"
import {messageOf} from "../../utils/common.js"
import {AgentLink, pausedReason} from "./agentLink.js"
import type {FleetState} from "../fleet/fleetState.js"

export interface AgentLinksOptions {
	/** Host name of this gateway. */
	gateway: string
	fleet: FleetState
	engineChoice: EngineChoice
	/** Facts that this gateway knows, which each agent that connects is told. */
	notices: NoticeBoard
	log: DecisionLog
	/** Port at which each agent listens on the host of its engine. */
	agentPort: number
	tls?: TlsKeys | undefined
	/** Monotonic milliseconds. */
	now: () => number
	/** An agent's answer about the origin of a stream. */
	onOrigin: (endpointId: string, answer: OriginAnswer) => void
	/** An agent's answer to an ask for a permit. */
	onPermit: (endpointId: string, answer: PermitAnswer) => void
	/** An agent's answer to an ask for a share of a quota. */
	onQuota: (endpointId: string, answer: QuotaAnswer) => void
}

/** Time in which an agent that can be reached connects and tells what it knows. */
const catchUpMs = 500
/** Factor by which the pace must differ from the one told to agents. */
const paceHysteresis = 1.2
/**
 * Time for which the agent of an engine that is no longer registered can be asked
 * about it. The registration of an engine that crashes may go before the gateway
 * has noticed that its sends broke off.
 */
const retiredLinkMs = 2000
/** View of an engine whose address an engine of another pool has. */
const unusableView: EngineView = {
	isUsable: false,
	waitMs: 0,
	tokensPerMs: 1,
	freeSlots: 0,
	slotStepMs: 0
}
/** Agents that pass on a fact, besides that of the endpoint it is about. */
const maxNoticeRelays = 2

export class AgentLinks {
	private readonly links = new Map<string, AgentLink>()
	/** Links to agents of engines that are no longer registered. */
	private readonly retired = new Map<
		string,
		{link: AgentLink; closeAt: number}
	>()
	/**
	 * Pools of engines. A pool that a configuration no longer has stays, because its
	 * requests may still run or wait.
	 */
	private readonly enginePools = new Set<string>()
	/** Gateways connected to the agent whose state arrived last, this one included. */
	private reportedGateways = 1
	/** Time until which agents are waited for, see `isCatchingUp`. */
	private catchUpBy = Number.NEGATIVE_INFINITY
	private intervals = chooseLinkIntervals(0, 0, grantLinkPace)

	constructor(private readonly options: AgentLinksOptions) {
		options.fleet.addListener({
			onEndpoints: () => {
				this.syncLinks()
			},
			onConfig: ({pools}) => {
				for (const {name, engine} of pools) {
					if (engine === undefined) this.enginePools.delete(name)
					else this.enginePools.add(name)
				}
				this.syncLinks()
				for (const link of this.links.values()) link.sendHello()
			},
			onVersion: version => {
				// The other agents hear it when they load the adapter, and with each ask.
				const key = slotKey(version.model, version.adapter)
				for (const [id, link] of this.links) {
					if (!options.engineChoice.isResident(id, key)) continue
					this.announceVersion(link, version)
				}
			}
		})
	}

	/** Estimated number of gateways in the fleet, at least 1. */
	get gatewayCount(): number {
		return this.reportedGateways
	}

	get(endpointId: string): AgentLink | undefined {
		return this.links.get(endpointId)
	}

	/** The link that can tell whether the engine has ended, also if it was removed. */
	getForCheck(endpointId: string): AgentLink | undefined {
		return this.links.get(endpointId) ?? this.retired.get(endpointId)?.link
	}

	/**
	 * Tells agents a fact, which pass it on to their other gateways: the agent of the
	 * endpoint that it is about and, unless only that one needs it, a few others. All
	 * gateways choose the same ones for a fact as long as they have the same links.
	 */
	announce(notice: Notice, {isForOwnOnly = false} = {}): void {
		const endpointId = getNoticeEndpoint(notice)
		const own = endpointId === undefined ? undefined : this.get(endpointId)
		own?.announce(notice)
		if (isForOwnOnly) return
		const ranked = this.rankLinked(getNoticeKey(notice), maxNoticeRelays + 1)
		const relays = ranked.filter(id => id !== endpointId)
		for (const id of relays.slice(0, maxNoticeRelays))
			this.get(id)?.announce(notice)
	}

	/** Applies what an agent passed on; the endpoint's own agent may not know. */
	private receiveNotice(notice: Notice, relayId: string): void {
		const {notices, now} = this.options
		const news = notices.merge(notice, now(), `agent of ${relayId}`)
		for (const item of news) {
			const isOwn = getNoticeEndpoint(item) === relayId
			const isPassedOn = item.value === notice.value
			if (!isPassedOn) this.announce(item)
			else if (!isOwn) this.announce(item, {isForOwnOnly: true})
		}
	}

	/**
	 * Ids of engines whose agents are connected, in an order that all gateways with
	 * the same engines have for a request, at most `count`.
	 */
	rankLinked(requestId: string, count: number): string[] {
		const linked = [...this.links.keys()].filter(id =>
			this.options.engineChoice.isLinked(id)
		)
		const items = linked.map(id => ({id, weight: 1}))
		return rankByRendezvous(requestId, items).slice(0, count)
	}

	/**
	 * Whether this process has just started or was paused, so that agents are about to
	 * tell it what other hosts noticed.
	 */
	get isCatchingUp(): boolean {
		if (this.options.now() >= this.catchUpBy) return false
		return ![...this.links.keys()].some(id => this.isLinked(id))
	}

	/** Whether the agent of the engine is connected. */
	isLinked(endpointId: string): boolean {
		return this.options.engineChoice.isLinked(endpointId)
	}

	tick(): void {
		for (const link of this.links.values()) link.tick()
		const now = this.options.now()
		for (const [id, {link, closeAt}] of this.retired) {
			if (now >= closeAt) this.closeRetired(id)
			else link.tick()
		}
	}

	close(): void {
		for (const link of this.links.values()) link.close()
		this.links.clear()
		for (const id of [...this.retired.keys()]) this.closeRetired(id)
	}

	private closeRetired(id: string): void {
		const link = this.retired.get(id)?.link
		this.retired.delete(id)
		link?.close()
	}

	/** Ends the use of a link whose engine is no longer registered. */
	private retire(id: string, link: AgentLink): void {
		const {engineChoice, log, now} = this.options
		this.links.delete(id)
		this.closeRetired(id)
		this.retired.set(id, {link, closeAt: now() + retiredLinkMs})
		engineChoice.dropView(id)
		log.decide("agent.down", {endpoint: id, reason: "engine removed"})
		link.retire()
	}

	/**
	 * Opens links to new engines and closes those to removed ones; reopens a link
	 * whose address changed. While an engine's agent is disconnected, takes its
	 * residency from the registration.
	 */
	private syncLinks(): void {
		const {fleet, engineChoice} = this.options
		const engines = new Map<string, FleetEndpoint>()
		for (const endpoint of fleet.listEndpoints()) {
			if (!this.enginePools.has(endpoint.pool)) continue
			engines.set(endpoint.id, endpoint)
		}
		for (const [id, link] of this.links) {
			const address = this.getAgentAddress(engines.get(id))
			if (address === link.address) continue
			if (address === undefined) {
				this.retire(id, link)
				continue
			}
			link.close()
			this.links.delete(id)
		}
		if (this.links.size === 0 && engines.size > 0) this.beginCatchUp()
		for (const [id, endpoint] of engines) {
			if (!this.links.has(id)) this.links.set(id, this.createLink(endpoint))
			if (!engineChoice.isLinked(id)) {
				engineChoice.applyResidency(id, endpoint.residents, [])
			}
		}
		engineChoice.retain(new Set(engines.keys()))
		this.updateIntervals()
	}

	private beginCatchUp(): void {
		this.catchUpBy = this.options.now() + catchUpMs
	}

	/** Tells the agents a new pace when the number of engines has changed much. */
	private updateIntervals(): void {
		const next = chooseLinkIntervals(this.links.size, 0, grantLinkPace)
		const change = next.minReportMs / this.intervals.minReportMs
		if (change > 1 / paceHysteresis && change < paceHysteresis) return
		this.intervals = next
		this.options.engineChoice.setStateInterval(next.minReportMs)
		for (const link of this.links.values()) link.sendHello()
	}

	private getAgentAddress(
		endpoint: FleetEndpoint | undefined
	): string | undefined {
		if (endpoint === undefined) return undefined
		const [ip = ""] = endpoint.address.split(":")
		return `${ip}:${this.options.agentPort}`
	}

	private createLink(endpoint: FleetEndpoint): AgentLink {
		const {id, pool} = endpoint
		const {gateway, fleet, engineChoice, log, tls, now} = this.options
		const link: AgentLink = new AgentLink({
			address: this.getAgentAddress(endpoint) ?? "",
			gateway,
			tls,
			now,
			getEngineId: () => id,
			pool,
			getIntervals: () => this.intervals,
			getLimits: () => this.getLimits(pool),
			onState: state => {
				if (this.links.get(id) !== link) return
				this.reportedGateways = Math.max(1, state.gateways)
				engineChoice.applyView(id, {
					isUsable: state.usable,
					waitMs: state.waitMs,
					tokensPerMs: Math.max(1, state.tokensPerSecond) / 1000,
					freeSlots: state.freeSlots,
					slotStepMs: state.slotStepMs,
					...decodeWork(state)
				})
				if (state.hasResidency)
					engineChoice.applyResidency(id, state.resident, state.recent)
				else engineChoice.applyResidencyChange(id, state.loaded, state.evicted)
				for (const key of [...state.resident, ...state.loaded]) {
					const newest = fleet.findVersion(key)
					if (newest === undefined) continue
					this.announceVersion(link, newest)
				}
			},
			onNotice: notice => {
				if (this.links.get(id) === link) this.receiveNotice(notice, id)
			},
			onOrigin: answer => {
				this.options.onOrigin(id, answer)
			},
			onPermit: answer => {
				this.options.onPermit(id, answer)
			},
			onQuota: answer => {
				this.options.onQuota(id, answer)
			},
			onUnsendable: (kind, err) => {
				log.decide("message.unsendable", {
					endpoint: id,
					kind,
					error: messageOf(err)
				})
			},
			onUnhandled: (kind, err) => {
				log.fault("message of an agent", err, {endpoint: id, kind})
			},
			onForeign: agentPool => {
				if (this.links.get(id) !== link) return
				log.decide("agent.foreign", {endpoint: id, pool, agentPool})
				engineChoice.applyView(id, unusableView)
				engineChoice.applyResidency(id, [], [])
			},
			onUp: () => {
				if (this.retired.get(id)?.link === link) return
				log.decide("agent.up", {endpoint: id})
				for (const notice of this.options.notices.list(now()))
					link.announce(notice)
			},
			onDown: reason => {
				if (this.links.get(id) !== link) return
				if (reason === pausedReason) this.beginCatchUp()
				log.decide("agent.down", {endpoint: id, reason})
				engineChoice.dropView(id)
			}
		})
		return link
	}

	private announceVersion(link: AgentLink, version: AnnouncedVersion): void {
		const {fleet, now} = this.options
		const {model, adapter} = version
		link.announceVersion(version, fleet.getVersionAgeMs(model, adapter, now()))
	}

	private getLimits(pool: string): EngineLimits | undefined {
		const engine = this.options.fleet.getPool(pool)?.engine
		if (engine === undefined) return undefined
		const {seats, adapterSlots, memoryTokens, weightsMb, models} = engine
		return create(EngineLimitsSchema, {
			seats,
			adapterSlots,
			memoryTokens,
			weightsMb,
			models: models.map(model => ({...model}))
		})
	}
}

/** What the engine still has to do; nothing while no output was predicted there. */
function decodeWork(state: EngineState): {work?: EngineWork} {
	if (state.tokenUs === 0) return {}
	return {
		work: {
			decodeMs: state.decodeMs,
			tokenMs: state.tokenUs / 1000,
			freeMemoryTokens: state.freeMemoryTokens,
			freedTokensPerMs: state.freedTokensPerSecond / 1000,
			freeSeats: state.freeSeats,
			running: state.running,
			lastingTokensPerMs: state.lastingTokensPerSecond / 1000
		}
	}
}
