/**
 * The endpoint process: the only way to the engines or plain services beside
 * it. It binds its link address first, which makes it their only sender.
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
	Residency,
	type RunEvent,
	type StatusResponse,
	StatusResponseSchema,
	type Ticket,
	type TicketRequest,
	TicketSchema
} from "../contract/gen/link_pb.js"
import {HostRole} from "../host/host.js"
import {
	checkPlainText,
	EngineClient,
	HttpPlatform,
	LinkServer,
	type ReportCall,
	type RunCall,
	readTlsKeys,
	RefusedCallError,
	ServiceClient,
	type TlsKeys
} from "../link/index.js"
import {claimBuckets} from "../policy/claimHome.js"
import type {AdapterName, LoadShares} from "../policy/index.js"
import {advertisedAddress} from "../program/commonSpecs.js"
import {Counters} from "../program/counters.js"
import {startHealthServer} from "../program/health.js"
import {createLog, type Log} from "../program/log.js"
import {isToken} from "../program/token.js"
import type {Service} from "../program/run.js"
import {answerConfigRequest, ConfigStore} from "../spread/index.js"
import {sleep} from "../utils/common.js"
import {ClaimTask} from "./claims/index.js"
import {createLoadShares, createScheduler} from "./createScheduler.js"
import {EngineHost} from "./engineHost.js"
import {EngineWorker} from "./engineWorker.js"
import {EntryContacts} from "./entryContacts.js"
import {notRun, type Sink, wrap} from "./generation.js"
import {IncarnationTask} from "./incarnation.js"
import {Reporter, type ReportFigures} from "./reporter.js"
import {ServiceHost} from "./serviceHost.js"
import type {EndpointSettings} from "./settings.js"

/** Longest wait of a call for its claim while the platform is slow. */
const claimWaitMs = 4000
const maxQueuedPerSeat = 64
const maxQueuedCalls = 1024
const drainNoticeMs = 300
const closeGraceMs = 500

export class EndpointTask implements Service {
	private readonly log: Log
	private readonly counters: Counters
	private readonly platform: HttpPlatform
	private readonly store = new ConfigStore()
	private readonly contacts: EntryContacts
	private readonly reporter: Reporter
	private readonly workers = new Map<string, EngineWorker>()
	private link: LinkServer | undefined
	private health: Server | undefined
	private engines: EngineHost | undefined
	private services: ServiceHost | undefined
	private shares: LoadShares | undefined
	private pool: Pool | undefined
	private incarnation = 0
	private fencing: IncarnationTask | undefined
	private lastLoadMs = 0
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
			selfAddress: advertisedAddress(settings),
			failureDomain: settings.failureDomain,
			seeds: settings.entries,
			tls,
			platform: this.platform,
			store: this.store,
			counters: this.counters,
			log: this.log,
			isAnnounceable: () => this.incarnation > 0,
			describe: () => this.describe()
		})
		this.reporter = new Reporter({
			figures: () => this.figures(),
			residency: () => this.residency(),
			onAck: ack => {
				this.hearEntry(ack)
			}
		})
	}

	/** Starts the process; rejects when its address is taken. */
	static async start(settings: EndpointSettings): Promise<EndpointTask> {
		const tls = readTlsKeys(settings)
		checkPlainText([settings.link], tls, settings.insecure)
		const task = new EndpointTask(settings, tls)
		await task.open()
		return task
	}

	get isReady(): boolean {
		return this.state === HostState.LIVE && this.countUsable() > 0
	}

	/** Engines or plain services that can take work. */
	private countUsable(): number {
		if (this.engines !== undefined) return this.engines.upCount
		return this.services === undefined ? 0 : this.settings.workers.length
	}

	async drain(): Promise<void> {
		this.log.info("draining", {running: this.figures().running})
		this.state = HostState.LEAVING
		this.reporter.flush()
		await this.contacts.announce()
		const limit = new AbortController()
		const work = Promise.all([this.engines?.drain(), this.services?.drain()])
		await Promise.race([work, sleep(this.settings.drainMs, limit.signal)])
		limit.abort()
		await sleep(drainNoticeMs)
		await this.close()
		this.log.info("stopped")
	}

	async close(): Promise<void> {
		this.reporter.close()
		this.contacts.close()
		this.fencing?.close()
		this.engines?.close()
		this.services?.close()
		await Promise.race([this.link?.drain(), sleep(closeGraceMs)])
		this.link?.close()
		await Promise.all([...this.workers.values()].map(w => w.close()))
		this.health?.close()
		await this.platform.close()
		this.counters.close()
	}

	private async open(): Promise<void> {
		const {link, health} = this.settings
		this.link = await LinkServer.start({
			address: link,
			tls: this.tls,
			handlers: {
				run: call => {
					this.run(call)
				},
				report: (call: ReportCall) => {
					this.reporter.attach(call)
				},
				config: req => Promise.resolve(answerConfigRequest(this.store, req)),
				drain: req => this.drainByOperator(req),
				status: () => Promise.resolve(this.status()),
				ticket: req => this.mintTicket(req)
			}
		})
		if (health !== undefined) {
			this.health = await startHealthServer(health, {
				isReady: () => this.isReady,
				counters: this.counters
			})
		}
		this.store.onInstall(root => {
			void this.configure(root)
		})
		void this.contacts.run()
	}

	/** Builds the hosts of the pool when the first configuration arrives. */
	private async configure(root: ConfigRoot): Promise<void> {
		if (this.pool !== undefined) {
			this.reporter.noteChange()
			return
		}
		const name = this.settings.pool
		const pool = root.settings.pools.find(entry => entry.name === name)
		if (pool === undefined) {
			this.log.warn("pool is not configured", {pool: name})
			return
		}
		this.pool = pool
		if (pool.type === PoolType.Engines) await this.openEngines(root, pool)
		else await this.openServices(pool)
		this.log.info("serving", {
			pool: name,
			incarnation: this.incarnation,
			generation: root.generation
		})
		this.reporter.flush()
		await this.contacts.announce()
	}

	private async openEngines(root: ConfigRoot, pool: Pool): Promise<void> {
		const clients = this.settings.workers.map(
			url => new EngineClient({url, fence: 0})
		)
		const reports = await Promise.allSettled(clients.map(c => c.report()))
		const used = reports.flatMap(report =>
			report.status === "fulfilled" ? [report.value.highestFence] : []
		)
		await this.takeIncarnation(used)
		const {weightStore, objective} = root.settings
		const processes = 1
		this.shares = createLoadShares(this.settings.policy, {
			limits: weightStore,
			processes
		})
		const names = clients.map(client => client.url)
		const scheduler = createScheduler(this.settings.policy, {
			workers: names,
			slots: pool.slots,
			seats: pool.seats,
			objective,
			share: this.shares.getShare(Date.now()),
			msPerToken: pool.msPerToken,
			loadMs: weightStore.loadMs,
			maxQueued: maxQueuedPerSeat * pool.seats * names.length
		})
		const engines = new EngineHost({
			hostId: this.settings.id,
			incarnation: this.incarnation,
			scheduler,
			workers: this.workers,
			counters: this.counters,
			log: this.log,
			onChange: () => {
				this.reporter.noteChange()
			},
			onLoadTime: ms => {
				this.lastLoadMs = ms
				this.shares?.addLoad(ms, Date.now())
			}
		})
		this.engines = engines
		for (const client of clients) this.openWorker(client, engines)
	}

	private openWorker(client: EngineClient, engines: EngineHost): void {
		client.fence = this.incarnation
		const name = client.url
		engines.onDown(name)
		const worker = new EngineWorker({
			name,
			engine: client,
			listener: {
				onUp: (id, resident) => {
					engines.onUp(id, resident)
				},
				onDown: id => {
					engines.onDown(id)
				},
				onReset: (id, resident) => {
					engines.onReset(id, resident)
				},
				onFenced: (id, detail) => {
					this.stopFenced(id, detail)
				}
			}
		})
		this.workers.set(name, worker)
		void worker.watch()
	}

	private async openServices(pool: Pool): Promise<void> {
		await this.takeIncarnation()
		const services = this.settings.workers.map(
			url => new ServiceClient(url, this.incarnation)
		)
		const {id} = this.settings
		const address = advertisedAddress(this.settings)
		this.services = new ServiceHost({
			services,
			claims: new ClaimTask({
				platform: this.platform,
				pool: pool.name,
				buckets: claimBuckets,
				claimWaitMs,
				owner: {hostId: id, address, incarnation: this.incarnation}
			}),
			counters: this.counters,
			seats: pool.seats,
			maxQueued: maxQueuedCalls,
			callMs: pool.callMs,
			onChange: () => {
				this.reporter.noteChange()
			},
			onFenced: (service, detail) => {
				this.stopFenced(service, detail)
			}
		})
	}

	private async takeIncarnation(used: readonly number[] = []): Promise<void> {
		this.fencing = new IncarnationTask({
			platform: this.platform,
			address: this.settings.link,
			used,
			log: this.log,
			onSuperseded: observed => {
				this.stopFenced(this.settings.link, `incarnation ${observed} is in use`)
			}
		})
		this.incarnation = await this.fencing.take()
	}

	private async mintTicket({member, route}: TicketRequest): Promise<Ticket> {
		await Promise.resolve()
		if (this.services === undefined || !this.isReady) {
			return create(TicketSchema, {
				refused: {
					reason: NotRunReason.NOT_CONFIGURED,
					detail: `host ${this.settings.id} mints no tickets`
				}
			})
		}
		const {ticket, expiresAt} = this.services.mintTicket({member, route})
		return create(TicketSchema, {ticket, expiresMs: expiresAt})
	}

	private run(call: RunCall): void {
		const write: Sink = (event, isLast) => {
			if (call.cancelled) return
			call.write(event)
			if (isLast) call.end()
		}
		call.on("error", () => undefined)
		if (this.engines !== undefined) {
			const detach = this.engines.run(call.request, write)
			call.on("cancelled", detach)
			return
		}
		if (this.services !== undefined) {
			void this.runService(this.services, call, write)
			return
		}
		const detail = `host ${this.settings.id} is not configured yet`
		write(wrap(notRun(NotRunReason.NOT_CONFIGURED, detail)), true)
	}

	private async runService(
		services: ServiceHost,
		call: RunCall,
		write: Sink
	): Promise<void> {
		let event: RunEvent["event"]
		try {
			event = await services.run(call.request)
		} catch (err) {
			call.destroy(err instanceof Error ? err : new Error(String(err)))
			return
		}
		write(wrap(event), true)
	}

	private hearEntry(ack: ReportAck): void {
		this.contacts.hear(ack)
		if (ack.hasPoolHosts) {
			const {pool, id} = this.settings
			this.services?.syncHomes(pool, id, ack.poolHosts)
		}
		if (this.shares === undefined || this.engines === undefined) return
		const now = Date.now()
		this.shares.setProcesses(Math.max(1, ack.loadingProcesses))
		this.shares.setDemand(this.engines.snapshot().loadDemand)
		this.shares.addFleetDemand(
			{
				entry: ack.entryId,
				demand: ack.fleetLoadDemand,
				demanding: ack.fleetDemanding
			},
			now
		)
		this.engines.setShare(this.shares.getShare(now))
	}

	/** A newer process holds the engines: this one must not send any more. */
	private stopFenced(worker: string, detail: string): void {
		if (this.state === HostState.LEAVING) return
		this.log.error("fenced by a newer process", {worker, detail})
		this.counters.add("fenced")
		void this.drain().then(() => process.exit(1))
	}

	private async drainByOperator({token}: DrainRequest): Promise<Ack> {
		await Promise.resolve()
		if (!isToken(this.settings.operatorToken, token)) {
			const message = "the operator token is missing or wrong"
			throw new RefusedCallError(grpc.status.PERMISSION_DENIED, message)
		}
		if (this.state !== HostState.LEAVING) {
			void this.drain().then(() => process.exit(0))
		}
		return create(AckSchema, {generation: this.store.generation})
	}

	private residency(): ReadonlyMap<AdapterName, Residency> {
		const residency = new Map<AdapterName, Residency>()
		if (this.engines === undefined) return residency
		const {resident, loading} = this.engines.snapshot()
		for (const adapter of loading) residency.set(adapter, Residency.LOADING)
		for (const adapter of resident) residency.set(adapter, Residency.RESIDENT)
		return residency
	}

	private figures(): ReportFigures {
		const snapshot = this.engines?.snapshot()
		const workers = this.countUsable()
		return {
			hostId: this.settings.id,
			incarnation: this.incarnation,
			pool: this.settings.pool,
			failureDomain: this.settings.failureDomain,
			state: this.state,
			generation: this.store.generation,
			workers,
			seats: (this.pool?.seats ?? 0) * workers,
			slots: (this.pool?.slots ?? 0) * workers,
			running: snapshot?.running ?? this.services?.running ?? 0,
			queued: snapshot?.queued ?? this.services?.queued ?? 0,
			loadDemand: snapshot?.loadDemand ?? 0,
			loadMs: this.lastLoadMs
		}
	}

	private describe(): {
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
			address: advertisedAddress(this.settings),
			pool,
			failureDomain,
			role: HostRole.Endpoint,
			state: this.state,
			incarnation: this.incarnation
		}
	}

	private status(): StatusResponse {
		const figures = this.figures()
		return create(StatusResponseSchema, {
			self: {
				...this.describe(),
				generation: figures.generation,
				running: figures.running,
				queued: figures.queued,
				platformReachable: true
			},
			counters: JSON.stringify(this.counters.snapshot())
		})
	}
}
