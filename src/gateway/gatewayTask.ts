/** A gateway: the callers' server, the links to agents and their upkeep. */
import type {Server} from "node:http"
import type {TlsKeys} from "../link/tls.js"
import {EngineChoice, ServiceChoice} from "../policy/dispatch/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {startProbeServer} from "../program/probeServer.js"
import {AgentLinks} from "./agentLinks.js"
import {FleetFollower} from "./fleetFollower.js"
import {FleetPublisher} from "./fleetPublisher.js"
import {FleetState} from "./fleetState.js"
import type {GatewayContext} from "./gatewayContext.js"
import {GatewayMetrics} from "./gatewayMetrics.js"
import {GatewayServer} from "./gatewayServer.js"
import {RepeatBudgets} from "./repeatBudgets.js"
import type {Wire} from "./wire.js"

export interface GatewayTaskOptions {
	host: string
	failureDomain: string
	/** `ip:port` for callers. */
	callerAddress: string
	/** `ip:port` of the balancer's readiness probe. */
	readyAddress: string
	/** `ip:port` of the metrics; none when empty. */
	metricsAddress: string
	/** `ip:port` at which other gateways follow this one; none when empty. */
	followAddress?: string
	/** Gateways that may watch the platform, this one perhaps included. */
	sources?: readonly string[]
	/** Whether what this gateway knows is fresh enough to be followed. */
	isFresh?: () => boolean
	agentPort: number
	graceMs: number
	repeatRatio: number
	repeatExtra: number
	repeatWindowMs: number
	wire: Wire
	log: DecisionLog
	tls?: TlsKeys | undefined
	now?: () => number
	random?: () => number
}

const tickMs = 100

export class GatewayTask {
	readonly fleet: FleetState
	readonly metrics = new GatewayMetrics()
	private readonly ctx: GatewayContext
	private readonly server: GatewayServer
	private readonly servers: Server[] = []
	private readonly publisher: FleetPublisher | undefined
	private readonly follower: FleetFollower
	private readonly isSource: boolean
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly options: GatewayTaskOptions) {
		const now = options.now ?? (() => performance.now())
		const {log, wire, failureDomain, tls} = options
		const engines = new EngineChoice()
		this.fleet = new FleetState(log)
		const links = new AgentLinks({
			gateway: options.host,
			fleet: this.fleet,
			choice: engines,
			log,
			agentPort: options.agentPort,
			tls,
			now
		})
		this.ctx = {
			wire,
			fleet: this.fleet,
			links,
			engines,
			services: new ServiceChoice(),
			repeats: new RepeatBudgets({
				ratio: options.repeatRatio,
				extra: options.repeatExtra,
				windowMs: options.repeatWindowMs,
				now
			}),
			log,
			metrics: this.metrics,
			failureDomain,
			now,
			random: options.random ?? Math.random
		}
		this.fleet.listen({
			onEndpoints: () => {
				const ids = this.fleet.listEndpoints().map(({id}) => id)
				this.ctx.services.retain(new Set(ids))
			}
		})
		const {followAddress = "", sources = []} = options
		const isSource = sources.includes(followAddress)
		if (isSource) {
			this.publisher = new FleetPublisher({
				address: followAddress,
				fleet: this.fleet,
				isFresh: options.isFresh ?? (() => false),
				tls
			})
		}
		this.follower = new FleetFollower({
			gateway: options.host,
			sources: sources.filter(source => source !== followAddress),
			fleet: this.fleet,
			log,
			now,
			tls
		})
		this.isSource = isSource
		const {callerAddress: address, graceMs} = options
		this.server = new GatewayServer({address, ctx: this.ctx, graceMs})
	}

	/** Whether others keep this gateway up to date with the platform. */
	get isCovered(): boolean {
		return !this.isSource && this.follower.isCovered
	}

	async start(): Promise<void> {
		const {readyAddress, metricsAddress} = this.options
		await this.publisher?.start()
		await this.server.start()
		this.servers.push(
			await startProbeServer(readyAddress, {isReady: () => this.server.isReady})
		)
		if (metricsAddress !== "") {
			const {registry} = this.metrics
			this.servers.push(await startProbeServer(metricsAddress, {registry}))
		}
		this.timer = setInterval(() => {
			this.tick()
		}, tickMs)
	}

	async drain(): Promise<void> {
		await this.server.drain()
		clearInterval(this.timer)
		this.ctx.links.close()
		this.publisher?.stop()
		this.follower.stop()
		for (const server of this.servers) server.close()
	}

	private tick(): void {
		const {links, repeats, now} = this.ctx
		links.tick()
		this.follower.tick()
		repeats.setGateways(links.gateways)
		this.fleet.expireLapsed(now())
	}
}
