/** Links to the agents of all engines, kept in step with the fleet. */
import {create} from "@bufbuild/protobuf"
import type {FleetEndpoint} from "../contract/fleet.js"
import {
	type EngineLimits,
	EngineLimitsSchema
} from "../contract/gen/grants_pb.js"
import type {TlsKeys} from "../link/tls.js"
import type {EngineChoice} from "../policy/dispatch/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {AgentLink} from "./agentLink.js"
import type {FleetState} from "./fleetState.js"

export interface AgentLinksOptions {
	gateway: string
	fleet: FleetState
	choice: EngineChoice
	log: DecisionLog
	/** Port at which agents listen, on the host of their engine. */
	agentPort: number
	tls?: TlsKeys | undefined
	now: () => number
}

export class AgentLinks {
	private readonly links = new Map<string, AgentLink>()
	/** Gateways that the agents know of, this one included. */
	private peers = 1

	constructor(private readonly options: AgentLinksOptions) {
		options.fleet.listen({
			onEndpoints: () => {
				this.follow()
			},
			onConfig: () => {
				this.follow()
				for (const link of this.links.values()) link.greet()
			},
			onVersion: ({model, adapter, version}) => {
				for (const link of this.links.values()) {
					link.announce(model, adapter, version)
				}
			}
		})
	}

	get gateways(): number {
		return this.peers
	}

	get(endpointId: string): AgentLink | undefined {
		return this.links.get(endpointId)
	}

	tick(): void {
		for (const link of this.links.values()) link.tick()
	}

	close(): void {
		for (const link of this.links.values()) link.close()
		this.links.clear()
	}

	/** Opens links to new engines and closes those to engines that are gone. */
	private follow(): void {
		const {fleet, choice} = this.options
		const engines = new Map<string, FleetEndpoint>()
		for (const endpoint of fleet.listEndpoints()) {
			if (fleet.getPool(endpoint.pool)?.engine === undefined) continue
			engines.set(endpoint.id, endpoint)
		}
		for (const [id, link] of this.links) {
			const address = this.addressOf(engines.get(id))
			if (address === link.address) continue
			link.close()
			this.links.delete(id)
		}
		for (const [id, endpoint] of engines) {
			if (!this.links.has(id)) this.links.set(id, this.createLink(endpoint))
			if (!choice.isLinked(id)) {
				choice.applyResidency(id, endpoint.residents, [])
			}
		}
		choice.retain(new Set(engines.keys()))
	}

	private addressOf(endpoint: FleetEndpoint | undefined): string | undefined {
		if (endpoint === undefined) return undefined
		const [ip = ""] = endpoint.address.split(":")
		return `${ip}:${this.options.agentPort}`
	}

	private createLink(endpoint: FleetEndpoint): AgentLink {
		const {id, pool} = endpoint
		const {gateway, fleet, choice, log, tls, now} = this.options
		const link: AgentLink = new AgentLink({
			address: this.addressOf(endpoint) ?? "",
			gateway,
			tls,
			now,
			getEngineId: () => id,
			getLimits: () => this.getLimits(pool),
			onState: state => {
				this.peers = Math.max(1, state.gateways)
				choice.applyView(id, {
					isUsable: state.usable,
					waitMs: state.waitMs,
					tokensPerMs: Math.max(1, state.tokensPerSecond) / 1000,
					freeSlots: state.freeSlots,
					slotStepMs: state.slotStepMs
				})
				if (!state.hasResidency) return
				choice.applyResidency(id, state.resident, state.recent)
			},
			onUp: () => {
				log.decide("agent.up", {endpoint: id})
				for (const {model, adapter, version} of fleet.listVersions()) {
					link.announce(model, adapter, version)
				}
			},
			onDown: reason => {
				log.decide("agent.down", {endpoint: id, reason})
				choice.dropView(id)
			}
		})
		return link
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
