/**
 * Assembles one gateway process: the HTTP server for callers, the gRPC links to
 * agents, the fleet state and the periodic timer that maintains them.
 */
import type {Server} from "node:http"
import type {TlsKeys} from "../link/tls.js"
import {OutputForecast} from "../policy/costs/index.js"
import {
	EndpointPauses,
	EngineChoice,
	ServiceChoice
} from "../policy/dispatch/index.js"
import {
	CrashNotices,
	LeavingNotices,
	LimitNotices,
	NoticeBoard,
	TrialNotices
} from "../notices/index.js"
import {CrashRecords} from "../policy/crashes/index.js"
import {getViewLimits} from "../policy/freshness/index.js"
import {StatedLimits} from "../policy/limits/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {bindWhenFree} from "../program/bindWhenFree.js"
import {
	type ProbeServerOptions,
	startProbeServer
} from "../program/probeServer.js"
import {AgentLinks} from "./links/agentLinks.js"
import {CallerBuffers} from "./callers/callerBuffers.js"
import {FleetFollower} from "./fleet/fleetFollower.js"
import {FleetPublisher} from "./fleet/fleetPublisher.js"
import {FleetState} from "./fleet/fleetState.js"
import type {GatewayContext} from "./gatewayContext.js"
import {GatewayMetrics} from "./gatewayMetrics.js"
import {GatewayServer} from "./gatewayServer.js"
import {CallerAccess, ConfigFreshness, ProofRenewal} from "./identity/index.js"
import {Permits} from "./links/permits.js"
import {Quotas} from "./quotas/index.js"
import {CrashGuard} from "./crashes/crashGuard.js"
import {RetryBudgets} from "./sends/retryBudgets.js"
import {
	BuildRecorder,
	type BuildStore,
	StreamDirectory,
	ViewCheck
} from "./streams/index.js"
import type {WireCodec} from "./wire.js"

export interface GatewayTaskOptions {
	host: string
	failureDomain: string
	/** `ip:port` at which the HTTP server accepts callers' requests. */
	callerAddress: string
	/** `ip:port` that serves the load balancer's readiness probe. */
	readyAddress: string
	/** `ip:port` that serves Prometheus metrics; empty disables it. */
	metricsAddress: string
	/**
	 * `ip:port` at which this gateway publishes its fleet state to other gateways,
	 * if the address is one of `sources`; empty disables it.
	 */
	publishAddress?: string
	/**
	 * `ip:port` of the gateways that watch the platform's store and publish what
	 * they read; may include this gateway's own address.
	 */
	sources?: readonly string[]
	/**
	 * Whether this gateway has recently read every kind of object from the store;
	 * sent to followers. Without it, its view counts as fresh for itself.
	 */
	isFresh?: () => boolean
	/** Whether this gateway has recently read the configuration; as `isFresh` else. */
	isConfigFresh?: () => boolean
	/**
	 * Time since its view was known to have every change of the store, milliseconds;
	 * sent to followers, which don't rely on this gateway without it.
	 */
	getViewAgeMs?: () => number
	/**
	 * Time within which a change of the store has to be in force, milliseconds; 2000
	 * by default.
	 */
	applyMs?: number
	/**
	 * Reads all endpoints from the store into the fleet state; rejects if that fails.
	 * Without it, the state counts as current.
	 */
	readEndpoints?: () => Promise<void>
	/** Where the builds of pools are kept; without it those that left are unknown. */
	buildStore?: BuildStore
	/** Whether the system serves for the first time; false by default. */
	isFirstStart?: boolean
	/** Port at which each agent listens on the host of its engine. */
	agentPort: number
	/** Time from SIGTERM until the process is killed, milliseconds. */
	graceMs: number
	/** Retries permitted for each request, over all gateways. */
	repeatRatio: number
	/** Additional retries permitted in each window, over all gateways. */
	repeatExtra: number
	repeatWindowMs: number
	/** See `GatewayServerOptions`. */
	headerCheckMs?: number | undefined
	/**
	 * Whether keyed requests are sent only with proof that the configuration is the
	 * newest; true by default.
	 */
	isRevocationStrict?: boolean
	/** Time after which a key that was removed must not be used any more. */
	revokeMs?: number
	/** Timeout for connecting to an endpoint, milliseconds. */
	connectTimeoutMs?: number
	/** Bytes that the process may hold for its callers; see `CallerBuffers`. */
	maxBufferedBytes?: number | undefined
	/** Bytes that may wait for one caller before its engine is not read. */
	maxStreamBytes?: number | undefined
	/** Whether engines are chosen by predicted costs; true by default. */
	predictsCosts?: boolean
	wire: WireCodec
	log: DecisionLog
	tls?: TlsKeys | undefined
	now?: () => number
	/** Time of day in milliseconds, to notice that the host was suspended. */
	wallNow?: () => number
	random?: () => number
}

const maintenanceIntervalMs = 250
const defaultRevokeMs = 5000
const defaultApplyMs = 2000
/** Several times the longest time for which a caller resumes a stream. */
const forgetBuildsAfterMs = 60_000

export class GatewayTask {
	readonly fleet: FleetState
	readonly metrics = new GatewayMetrics()
	/** Proof that the configuration is the newest. */
	readonly freshness: ConfigFreshness
	private readonly renewal: ProofRenewal
	private readonly recorder: BuildRecorder
	readonly callerBuffers: CallerBuffers
	private readonly ctx: GatewayContext
	private readonly crashes = new CrashRecords()
	private readonly server: GatewayServer
	private readonly servers: Server[] = []
	private readonly publisher: FleetPublisher | undefined
	private readonly follower: FleetFollower
	/** Whether this gateway watches the store and publishes it to the others. */
	readonly isPublisher: boolean
	private readonly stopping = new AbortController()
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly options: GatewayTaskOptions) {
		const now = options.now ?? (() => performance.now())
		const {log, wire, failureDomain, tls} = options
		const random = options.random ?? Math.random
		const engines = new EngineChoice({random})
		this.fleet = new FleetState(log)
		this.freshness = new ConfigFreshness({
			fleet: this.fleet,
			log,
			metrics: this.metrics,
			isStrict: options.isRevocationStrict ?? true,
			revokeMs: options.revokeMs ?? defaultRevokeMs,
			now,
			wallNow: options.wallNow ?? Date.now
		})
		const limits = new StatedLimits()
		const {crashes} = this
		const notices = new NoticeBoard({
			leaving: new LeavingNotices(({endpointId, bornAt}, source) => {
				this.fleet.markLeaving(endpointId, bornAt, source)
			}),
			limit: new LimitNotices(limits, ({endpointId, perSecond}, source) => {
				log.decide("endpoint.limit", {endpoint: endpointId, perSecond, source})
			}),
			crash: new CrashNotices(crashes, (_, source) => {
				guard.handleNews(source)
			}),
			trial: new TrialNotices(crashes, (_, source) => {
				guard.handleNews(source)
			})
		})
		const links = new AgentLinks({
			gateway: options.host,
			fleet: this.fleet,
			engineChoice: engines,
			notices,
			log,
			agentPort: options.agentPort,
			tls,
			now,
			onOrigin: (endpointId, answer) => {
				streams.applyAnswer(endpointId, answer)
			},
			onPermit: (endpointId, answer) => {
				permits.applyAnswer(endpointId, answer)
			},
			onQuota: (endpointId, answer) => {
				quotas.applyAnswer(endpointId, answer)
			}
		})
		const permits = new Permits({links, limits, now, random})
		const quotas = new Quotas({
			links,
			fleet: this.fleet,
			log,
			metrics: this.metrics,
			now,
			random
		})
		const guard = new CrashGuard({
			records: crashes,
			notices,
			links,
			log,
			metrics: this.metrics,
			gateway: options.host,
			now
		})
		this.recorder = new BuildRecorder({
			fleet: this.fleet,
			store: options.buildStore,
			plan: {
				forgetAfterMs: forgetBuildsAfterMs,
				isFirstStart: options.isFirstStart ?? false
			},
			isWriter: () => !this.isCovered,
			log,
			now
		})
		const {fleet, recorder} = this
		const {isFresh, isConfigFresh = isFresh, readEndpoints} = options
		const streams = new StreamDirectory({
			fleet,
			links,
			recorder,
			isViewFresh: () => isFresh?.() !== false || this.follower.isCovered,
			viewCheck:
				readEndpoints === undefined
					? undefined
					: new ViewCheck({readEndpoints, log}),
			now
		})
		this.callerBuffers = new CallerBuffers({
			maxProcessBytes: options.maxBufferedBytes,
			maxStreamBytes: options.maxStreamBytes,
			metrics: this.metrics,
			now
		})
		this.ctx = {
			wire,
			fleet: this.fleet,
			isConfigCurrent: () =>
				isConfigFresh?.() !== false || this.follower.isCovered,
			access: new CallerAccess({
				fleet: this.fleet,
				freshness: this.freshness,
				log,
				metrics: this.metrics,
				random
			}),
			links,
			engines,
			services: new ServiceChoice(),
			forecast: new OutputForecast(options.predictsCosts ?? true),
			pauses: new EndpointPauses(),
			limits,
			permits,
			quotas,
			streams,
			notices,
			guard,
			retryBudgets: new RetryBudgets({
				ratio: options.repeatRatio,
				extra: options.repeatExtra,
				windowMs: options.repeatWindowMs,
				now
			}),
			log,
			metrics: this.metrics,
			callerBuffers: this.callerBuffers,
			failureDomain,
			connectTimeoutMs: options.connectTimeoutMs,
			now,
			random
		}
		this.fleet.addListener({
			onEndpoints: () => {
				const ids = new Set(this.fleet.listEndpoints().map(({id}) => id))
				this.ctx.services.retain(ids)
				this.ctx.pauses.retain(ids, now())
				this.ctx.limits.retain(ids)
				permits.retain(ids)
			}
		})
		const {publishAddress = "", sources = []} = options
		const isPublisher = sources.includes(publishAddress)
		if (isPublisher) {
			this.publisher = new FleetPublisher({
				address: publishAddress,
				fleet: this.fleet,
				isFresh: options.isFresh ?? (() => false),
				getViewAgeMs: options.getViewAgeMs ?? (() => Number.POSITIVE_INFINITY),
				getProofAgeMs: () => this.freshness.ageMs,
				log,
				tls
			})
		}
		this.follower = new FleetFollower({
			gateway: options.host,
			sources: sources.filter(source => source !== publishAddress),
			fleet: this.fleet,
			log,
			relies: !isPublisher,
			maxViewAgeMs: getViewLimits(options.applyMs ?? defaultApplyMs).maxAgeMs,
			now,
			tls
		})
		this.renewal = new ProofRenewal({
			fleet: this.fleet,
			freshness: this.freshness,
			metrics: this.metrics,
			listSources: () => this.follower.listConnected(),
			confirm: (source, onAnswer) => {
				this.follower.confirm(source, onAnswer)
			},
			isPublisher,
			random
		})
		this.isPublisher = isPublisher
		const {callerAddress: address, graceMs} = options
		this.server = new GatewayServer({
			address,
			ctx: this.ctx,
			graceMs,
			headerCheckMs: options.headerCheckMs
		})
	}

	/**
	 * Whether enough other gateways with a recent view publish the store's changes
	 * to this one, and confirm its configuration where that has Members, so that it
	 * needs no watch of its own.
	 */
	get isCovered(): boolean {
		return this.isConfirmedFollower && this.follower.isCovered
	}

	/** Time until which that is so if nothing more is heard. */
	get coveredUntil(): number {
		return this.isConfirmedFollower
			? this.follower.coveredUntil
			: Number.NEGATIVE_INFINITY
	}

	/** Whether other gateways rely on this one's view of the store. */
	get isReliedOn(): boolean {
		return this.publisher?.isReliedOn === true
	}

	private get isConfirmedFollower(): boolean {
		if (this.isPublisher) return false
		return !this.fleet.hasMembers || this.renewal.isConfirmed
	}

	/**
	 * Resolves after the first attempt to bind each address; those that are taken are
	 * bound later, and what the others serve doesn't wait for them.
	 */
	async start(): Promise<void> {
		const {readyAddress, metricsAddress} = this.options
		const isReady = (): boolean => this.server.isReady
		const {registry} = this.metrics
		await Promise.all([
			this.publisher?.start(),
			this.server.start(),
			this.startProbes("readiness probe", readyAddress, {isReady}),
			metricsAddress === ""
				? undefined
				: this.startProbes("metrics", metricsAddress, {registry})
		])
		this.renewal.start()
		this.recorder.tick()
		this.timer = setInterval(() => {
			this.tick()
		}, maintenanceIntervalMs)
	}

	async drain(): Promise<void> {
		this.stopping.abort()
		await this.server.drain()
		clearInterval(this.timer)
		this.ctx.quotas.close()
		this.renewal.stop()
		this.ctx.links.close()
		this.publisher?.stop()
		this.follower.stop()
		for (const server of this.servers) server.close()
	}

	private startProbes(
		purpose: string,
		address: string,
		options: Omit<ProbeServerOptions, "onError">
	): Promise<void> {
		return bindWhenFree({
			address,
			purpose,
			bind: ({onError}) => startProbeServer(address, {...options, onError}),
			onBound: server => {
				this.servers.push(server)
			},
			unbind: server => {
				server.close()
			},
			signal: this.stopping.signal,
			log: this.options.log
		})
	}

	/** A step that throws keeps none of the others from its work. */
	private tick(): void {
		const {links, quotas, retryBudgets, streams, now, log} = this.ctx
		const steps: Record<string, () => void> = {
			links: () => {
				links.tick()
			},
			quotas: () => {
				quotas.tick()
			},
			follower: () => {
				this.follower.tick()
			},
			recorder: () => {
				this.recorder.tick()
			},
			streams: () => {
				streams.tick()
			},
			retryBudgets: () => {
				retryBudgets.setGateways(links.gatewayCount)
			},
			registrations: () => {
				this.fleet.settleRegistrations(now())
			},
			crashes: () => {
				this.crashes.expire(now())
			}
		}
		for (const [name, step] of Object.entries(steps)) {
			try {
				step()
			} catch (err) {
				log.fault(`tick of ${name}`, err)
			}
		}
	}
}
