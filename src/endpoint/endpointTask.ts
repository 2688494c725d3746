/**
 * The endpoint process, through which all requests to its engines or plain
 * services pass. It binds its link address before anything else: a second
 * process with the same address fails to start, so only one of them sends.
 */
import {create} from "@bufbuild/protobuf"
import * as grpc from "@grpc/grpc-js"
import type {Server} from "node:http"
import {PoolType, type ConfigRoot, type Pool} from "../contract/config/index.js"
import {
	type Ack,
	AckSchema,
	type DrainRequest,
	HostState,
	NotRunReason,
	type ReportAck,
	type Residency,
	type StatusResponse,
	StatusResponseSchema,
	type Ticket,
	type TicketRequest,
	TicketSchema
} from "../contract/gen/link_pb.js"
import {HostRole} from "../host/host.js"
import {
	requireTlsUnlessLoopback,
	HttpPlatform,
	LinkServer,
	type ReportCall,
	type RunCall,
	readTlsKeys,
	RefusedCallError,
	type TlsKeys
} from "../link/index.js"
import {getAdvertisedAddress} from "../program/commonSpecs.js"
import {bindWhenFree} from "../program/bindWhenFree.js"
import {Counters} from "../program/counters.js"
import {startHealthServer} from "../program/health.js"
import {ExitCode} from "../program/exitCode.js"
import {createListenerErrorLog} from "../program/listenerErrors.js"
import {createLog, type Log, logFault} from "../program/log.js"
import {endAfter, EndReason, endProcess} from "../program/processLife.js"
import {isMatchingToken} from "../program/token.js"
import type {RunningService} from "../program/run.js"
import {answerConfigRequest, ConfigStore} from "../spread/index.js"
import {runDespiteFaults, sleep} from "../utils/common.js"
import {
	type EndpointPool,
	type EndpointPoolOptions,
	type PoolStats
} from "./endpointPool.js"
import {EnginePool, readHighestFences} from "./enginePool.js"
import {EntryContacts} from "./entryContacts.js"
import {createNotRunEvent, type Sink, toRunEvent} from "./generation.js"
import {IncarnationTask} from "./incarnation.js"
import {Reporter, type ReportStats} from "./reporter.js"
import {ServicePool} from "./servicePool.js"
import type {EndpointSettings} from "./settings.js"

const noResidency: ReadonlyMap<string, Residency> = new Map()
const zeroStats: PoolStats = {
	workers: 0,
	seats: 0,
	slots: 0,
	running: 0,
	queued: 0,
	loadDemand: 0,
	loadMs: 0
}
/**
 * Time between the drain and the closing of the links. Entries apply the LEAVING
 * state meanwhile, and requests that they sent before are answered as not run.
 */
const drainNoticeMs = 300
const linkDrainTimeoutMs = 500

export class EndpointTask implements RunningService {
	private readonly log: Log
	private readonly counters: Counters
	private readonly platform: HttpPlatform
	private readonly store = new ConfigStore()
	private readonly contacts: EntryContacts
	private readonly reporter: Reporter
	private link: LinkServer | undefined
	private health: Server | undefined
	private readonly stopping = new AbortController()
	private pool: EndpointPool | undefined
	private isPoolOpening = false
	private incarnation = 0
	private incarnationTask: IncarnationTask | undefined
	private state = HostState.LIVE

	private constructor(
		private readonly settings: EndpointSettings,
		private readonly tls: TlsKeys | undefined
	) {
		const {id, logLevel, statsd, platform} = settings
		const role = HostRole.Endpoint
		this.log = createLog({role, hostId: id, level: logLevel})
		this.counters = new Counters({statsd, role, hostId: id})
		this.platform = new HttpPlatform({url: platform})
		this.contacts = new EntryContacts({
			selfAddress: getAdvertisedAddress(settings),
			failureDomain: settings.failureDomain,
			seeds: settings.entries,
			tls,
			platform: this.platform,
			store: this.store,
			counters: this.counters,
			log: this.log,
			canAnnounce: () => this.incarnation > 0,
			describeSelf: () => this.describeSelf()
		})
		this.reporter = new Reporter({
			getStats: () => this.getReportStats(),
			getResidency: () => this.pool?.getResidency() ?? noResidency,
			onAck: ack => {
				this.handleAck(ack)
			}
		})
	}

	/** Starts the process; rejects when its link address is already in use. */
	static async start(settings: EndpointSettings): Promise<EndpointTask> {
		const tls = readTlsKeys(settings)
		requireTlsUnlessLoopback([settings.link], tls, settings.insecure)
		const task = new EndpointTask(settings, tls)
		await task.open()
		return task
	}

	get isReady(): boolean {
		return this.state === HostState.LIVE && this.getReportStats().workers > 0
	}

	async drain(): Promise<void> {
		this.log.info("draining", {running: this.getReportStats().running})
		this.state = HostState.LEAVING
		this.reporter.flush()
		await this.contacts.announce()
		const drainTimeout = new AbortController()
		await Promise.race([
			this.pool?.drain(),
			sleep(this.settings.drainMs, drainTimeout.signal)
		])
		drainTimeout.abort()
		await sleep(drainNoticeMs)
		await this.close()
		this.log.info("stopped")
	}

	async close(): Promise<void> {
		this.stopping.abort()
		this.reporter.close()
		this.contacts.close()
		this.incarnationTask?.close()
		await Promise.race([this.link?.drain(), sleep(linkDrainTimeoutMs)])
		this.link?.close()
		await this.pool?.close()
		this.health?.close()
		await this.platform.close()
		this.counters.close()
	}

	private async open(): Promise<void> {
		const {link, health} = this.settings
		this.link = await LinkServer.start({
			address: link,
			tls: this.tls,
			onError: createListenerErrorLog({
				address: link,
				purpose: "link",
				write: (event, inputs) => {
					this.log.error(event, inputs)
				}
			}),
			handlers: {
				run: call => {
					this.run(call)
				},
				report: (call: ReportCall) => {
					this.reporter.attach(call)
				},
				config: req => Promise.resolve(answerConfigRequest(this.store, req)),
				drain: req => this.handleDrainRequest(req),
				status: () => Promise.resolve(this.status()),
				ticket: req => this.mintTicket(req)
			}
		})
		if (health !== undefined) {
			await bindWhenFree({
				address: health,
				purpose: "health checks",
				bind: ({onError}) =>
					startHealthServer(health, {
						isReady: () => this.isReady,
						counters: this.counters,
						onError
					}),
				onBound: server => {
					this.health = server
				},
				unbind: server => {
					server.close()
				},
				signal: this.stopping.signal,
				log: {
					decide: (event, inputs) => {
						this.log.warn(event, inputs)
					}
				}
			})
		}
		this.store.onInstall(root => {
			this.configure(root).catch((err: unknown) => {
				logFault(this.log, "configure", err)
				if (this.pool !== undefined) return
				// Nothing would open the pool any more.
				const reason = EndReason.StartFailed
				endProcess({code: ExitCode.Failed, reason, err})
			})
		})
		void runDespiteFaults(
			() => this.contacts.run(),
			err => {
				logFault(this.log, "contacts", err)
			}
		)
	}

	/**
	 * Applies a configuration. The first one that has this process's pool also
	 * opens the pool and announces the process to the entries.
	 */
	private async configure(root: ConfigRoot): Promise<void> {
		this.pool?.configure(root)
		this.reporter.markChanged()
		if (this.isPoolOpening || this.pool !== undefined) return
		const name = this.settings.pool
		const pool = root.settings.pools.find(other => other.name === name)
		if (pool === undefined) {
			this.log.warn("pool is not in the configuration; not serving it", {
				pool: name
			})
			return
		}
		this.isPoolOpening = true
		this.pool = await this.openPool(root, pool)
		const {incarnation} = this
		const {generation} = this.store
		this.log.info("serving", {pool: name, incarnation, generation})
		// A newer configuration may have been installed while the pool opened.
		this.pool.configure(this.store.requireRoot())
		this.reporter.flush()
		await this.contacts.announce()
	}

	private async openPool(root: ConfigRoot, pool: Pool): Promise<EndpointPool> {
		const hasEngines = pool.type === PoolType.Engines
		const {settings, platform, counters, log} = this
		const used = hasEngines ? await readHighestFences(settings.workers) : []
		this.incarnation = await this.acquireIncarnation(used)
		const options: EndpointPoolOptions = {
			settings,
			address: getAdvertisedAddress(settings),
			incarnation: this.incarnation,
			platform,
			counters,
			log,
			onChange: () => {
				this.reporter.markChanged()
			},
			onFenced: (endpoint, detail) => {
				this.stopAfterFencing(endpoint, detail)
			}
		}
		if (hasEngines) return new EnginePool(options, root, pool)
		return new ServicePool(options, pool)
	}

	private acquireIncarnation(used: readonly number[]): Promise<number> {
		this.incarnationTask = new IncarnationTask({
			platform: this.platform,
			address: this.settings.link,
			used,
			log: this.log,
			onSuperseded: observed => {
				this.stopAfterFencing(
					this.settings.link,
					`incarnation ${observed} is in use`
				)
			}
		})
		return this.incarnationTask.acquire()
	}

	private async mintTicket({member, route}: TicketRequest): Promise<Ticket> {
		await Promise.resolve()
		const minted = this.isReady
			? this.pool?.mintTicket({member, route})
			: undefined
		if (minted === undefined) {
			return create(TicketSchema, {
				refused: {
					reason: NotRunReason.NOT_CONFIGURED,
					detail: `host ${this.settings.id} mints no tickets`
				}
			})
		}
		const {ticket, expiresAt} = minted
		return create(TicketSchema, {ticket, expiresMs: expiresAt})
	}

	private run(call: RunCall): void {
		const write: Sink = (event, isLast) => {
			if (call.cancelled) return
			call.write(event)
			if (isLast) call.end()
		}
		call.on("error", () => undefined)
		if (this.pool === undefined) {
			const detail = `host ${this.settings.id} is not configured yet`
			write(
				toRunEvent(createNotRunEvent(NotRunReason.NOT_CONFIGURED, detail)),
				true
			)
			return
		}
		const detach = this.pool.run(call.request, write)
		call.on("cancelled", detach)
	}

	private handleAck(ack: ReportAck): void {
		this.contacts.handleAck(ack)
		this.pool?.handleAck(ack)
	}

	/**
	 * Drains and exits with code 1: another process has the same or a higher
	 * fencing number, so this one must stop using the endpoints.
	 */
	private stopAfterFencing(worker: string, detail: string): void {
		if (this.state === HostState.LEAVING) return
		this.log.error("fenced by a newer process", {worker, detail})
		this.counters.add("fenced")
		void endAfter(this.drain(), {
			code: ExitCode.Failed,
			reason: EndReason.Fenced
		})
	}

	private async handleDrainRequest({token}: DrainRequest): Promise<Ack> {
		await Promise.resolve()
		if (!isMatchingToken(this.settings.operatorToken, token)) {
			const message = "the operator token is missing or wrong"
			throw new RefusedCallError(grpc.status.PERMISSION_DENIED, message)
		}
		if (this.state !== HostState.LEAVING) {
			void endAfter(this.drain(), {
				code: ExitCode.Ok,
				reason: EndReason.Order
			})
		}
		return create(AckSchema, {generation: this.store.generation})
	}

	private getReportStats(): ReportStats {
		return {
			hostId: this.settings.id,
			incarnation: this.incarnation,
			pool: this.settings.pool,
			failureDomain: this.settings.failureDomain,
			state: this.state,
			generation: this.store.generation,
			...(this.pool?.getStats() ?? zeroStats)
		}
	}

	private describeSelf(): {
		hostId: string
		address: string
		pool: string
		failureDomain: string
		role: string
		state: HostState
		incarnation: number
	} {
		const {id, pool, failureDomain} = this.settings
		return {
			hostId: id,
			address: getAdvertisedAddress(this.settings),
			pool,
			failureDomain,
			role: HostRole.Endpoint,
			state: this.state,
			incarnation: this.incarnation
		}
	}

	private status(): StatusResponse {
		const stats = this.getReportStats()
		return create(StatusResponseSchema, {
			self: {
				...this.describeSelf(),
				generation: stats.generation,
				running: stats.running,
				queued: stats.queued,
				platformReachable: true
			},
			counters: JSON.stringify(this.counters.snapshot())
		})
	}
}
