/** A gateway: the callers' server, the links to agents and their upkeep. */
import type {Server} from "node:http"
import type {TlsKeys} from "../link/tls.js"
import {EngineChoice, ServiceChoice} from "../policy/dispatch/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {startProbeServer} from "../program/probeServer.js"
import {AgentLinks} from "./agentLinks.js"
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
		const {callerAddress: address, graceMs} = options
		this.server = new GatewayServer({address, ctx: this.ctx, graceMs})
	}

	async start(): Promise<void> {
		const {readyAddress, metricsAddress} = this.options
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
		for (const server of this.servers) server.close()
	}

	private tick(): void {
		const {links, repeats, now} = this.ctx
		links.tick()
		repeats.setGateways(links.gateways)
		this.fleet.expireLapsed(now())
	}
}
