/**
 * The entry process. Accepts callers' requests over HTTP and routes them to
 * endpoint processes. No other process depends on its state.
 */
import {create} from "@bufbuild/protobuf"
import * as grpc from "@grpc/grpc-js"
import {
	type Ack,
	AckSchema,
	type Announce,
	type ConfigOffer,
	type DrainRequest,
	HostState,
	type StatusResponse,
	StatusResponseSchema
} from "../contract/gen/link_pb.js"
import {HostRole} from "../host/host.js"
import {
	requireTlsUnlessLoopback,
	ClientPool,
	HttpPlatform,
	LinkServer,
	readTlsKeys,
	RefusedCallError,
	type TlsKeys
} from "../link/index.js"
import {
	LeastLoadedRouter,
	PolicyName,
	ResidencyRouter,
	RetryBudget,
	type Router,
	StaticHashRouter
} from "../policy/index.js"
import {MembershipState} from "../policy/membershipTypes.js"
import {
	getAdvertisedAddress,
	Counters,
	createListenerErrorLog,
	createLog,
	endAfter,
	EndReason,
	ExitCode,
	isMatchingToken,
	type Log,
	logFault,
	type RunningService
} from "../program/index.js"
import {answerConfigRequest, ConfigStore, SpreadTask} from "../spread/index.js"
import {runDespiteFaults, sleep} from "../utils/common.js"
import {BurnTask} from "./burnTask.js"
import {CallerServer} from "./callerServer.js"
import {Fleet} from "./fleet.js"
import {RequestHandler} from "./requestHandler.js"
import type {EntrySettings} from "./settings.js"

const peerUpdateIntervalMs = 1000
const linkDrainTimeoutMs = 500

export class EntryTask implements RunningService {
	private readonly log: Log
	private readonly counters: Counters
	private readonly platform: HttpPlatform
	private readonly store = new ConfigStore()
	private readonly clients: ClientPool
	private readonly spread: SpreadTask
	private readonly fleet: Fleet
	private readonly burn: BurnTask
	private retryBudget = new RetryBudget()
	private readonly stop = new AbortController()
	private link: LinkServer | undefined
	private callerServer: CallerServer | undefined
	private state = HostState.LIVE

	private constructor(
		private readonly settings: EntrySettings,
		private readonly tls: TlsKeys | undefined
	) {
		const {id, logLevel, statsd, platform, failureDomain} = settings
		const selfAddress = getAdvertisedAddress(settings)
		const role = HostRole.Entry
		this.log = createLog({role, hostId: id, level: logLevel})
		this.counters = new Counters({statsd, role, hostId: id})
		this.platform = new HttpPlatform({url: platform})
		this.clients = new ClientPool(tls)
		this.burn = new BurnTask(id, this.platform)
		this.spread = new SpreadTask({
			selfAddress,
			failureDomain,
			isEntry: true,
			platform: this.platform,
			store: this.store,
			client: address => this.clients.get(address),
			counters: this.counters,
			log: this.log
		})
		this.fleet = new Fleet({
			selfId: id,
			selfAddress,
			platform: this.platform,
			tls,
			counters: this.counters,
			log: this.log,
			generation: () => this.store.generation,
			onGeneration: (address, generation) => {
				if (generation > this.store.generation) {
					this.spread.handlePeerGeneration(address, generation)
				}
			}
		})
	}

	static async start(settings: EntrySettings): Promise<EntryTask> {
		const tls = readTlsKeys(settings)
		requireTlsUnlessLoopback([settings.link], tls, settings.insecure)
		if (settings.callerCert === "") {
			const flags = "--caller-cert and --caller-key"
			requireTlsUnlessLoopback(
				[settings.listen],
				undefined,
				settings.insecure,
				flags
			)
		}
		const task = new EntryTask(settings, tls)
		await task.open()
		return task
	}

	async drain(): Promise<void> {
		this.log.info("draining")
		this.state = HostState.LEAVING
		const {drainMs, lameDuckMs} = this.settings
		const deadline = Date.now() + drainMs
		await this.callerServer?.drain(lameDuckMs, deadline)
		await this.close()
		this.log.info("stopped")
	}

	private async open(): Promise<void> {
		const handler = new RequestHandler({
			entryId: this.settings.id,
			failureDomain: this.settings.failureDomain,
			memberSecret: this.settings.memberSecret,
			store: this.store,
			fleet: this.fleet,
			router: createRouter(this.settings.policy),
			budget: () => this.retryBudget,
			counters: this.counters,
			burn: this.burn
		})
		this.store.onInstall(root => {
			this.burn.configure(root)
			this.retryBudget = new RetryBudget(root.settings.retryBudget)
			this.fleet.sendAcks()
		})
		await this.openLink()
		this.callerServer = await CallerServer.start({
			address: this.settings.listen,
			handler,
			isReady: () => this.isReady(),
			counters: this.counters,
			log: this.log,
			callerCert: this.settings.callerCert,
			callerKey: this.settings.callerKey
		})
		const loops = [() => this.fleet.run(), () => this.updatePeersUntilClosed()]
		for (const loop of loops) {
			void runDespiteFaults(loop, err => {
				logFault(this.log, "loop", err)
			})
		}
	}

	private async openLink(): Promise<void> {
		this.link = await LinkServer.start({
			address: this.settings.link,
			tls: this.tls,
			onError: createListenerErrorLog({
				address: this.settings.link,
				purpose: "link",
				write: (event, inputs) => {
					this.log.error(event, inputs)
				}
			}),
			handlers: {
				config: req => Promise.resolve(answerConfigRequest(this.store, req)),
				offer: offer => this.handleOffer(offer),
				announce: announce => this.handleAnnounce(announce),
				drain: req => this.handleDrainRequest(req),
				status: () => Promise.resolve(this.status())
			}
		})
	}

	private isReady(): boolean {
		if (!this.store.isReady) return false
		const {pools} = this.store.requireRoot().settings
		return pools.every(pool => this.fleet.isServing(pool.name))
	}

	/**
	 * Until `close`, gives the spread task the current peers: the entries in the
	 * host list, and those in the settings that are not listed there.
	 */
	private async updatePeersUntilClosed(): Promise<void> {
		while (!this.stop.signal.aborted) {
			this.updatePeers()
			await sleep(peerUpdateIntervalMs, this.stop.signal)
		}
	}

	private updatePeers(): void {
		const entries = this.fleet
			.listHosts()
			.filter(host => host.role === HostRole.Entry)
			.map(({address, failureDomain}) => ({id: address, failureDomain}))
		const listed = new Set(entries.map(({id}) => id))
		const seeds = this.settings.peers
			.filter(address => !listed.has(address))
			.map(id => ({id, failureDomain: ""}))
		this.spread.setPeers([...entries, ...seeds])
	}

	private async handleOffer(offer: ConfigOffer): Promise<Ack> {
		await Promise.resolve()
		if (offer.root.length > 0) {
			this.checkToken(offer.token)
			this.spread.handleOperatorOffer(offer)
		} else {
			this.spread.handlePeerGeneration(offer.address, offer.generation)
		}
		return this.createAck()
	}

	private handleAnnounce(announce: Announce): Promise<Ack> {
		this.fleet.handleAnnounce(announce)
		return Promise.resolve(this.createAck())
	}

	/** Drains this entry, or forwards the request to an endpoint process. */
	private async handleDrainRequest(req: DrainRequest): Promise<Ack> {
		this.checkToken(req.token)
		if (req.hostId === this.settings.id) {
			void endAfter(this.drain(), {
				code: ExitCode.Ok,
				reason: EndReason.Order
			})
			return this.createAck()
		}
		const link = this.fleet.getLink(req.hostId)
		if (link !== undefined) return link.client.drain(req)
		const message = `host ${JSON.stringify(req.hostId)} is not known`
		throw new RefusedCallError(grpc.status.NOT_FOUND, message)
	}

	private checkToken(token: string): void {
		if (isMatchingToken(this.settings.operatorToken, token)) return
		const message = "the operator token is missing or wrong"
		throw new RefusedCallError(grpc.status.PERMISSION_DENIED, message)
	}

	private createAck(): Ack {
		return create(AckSchema, {generation: this.store.generation})
	}

	private status(): StatusResponse {
		const {id, failureDomain} = this.settings
		return create(StatusResponseSchema, {
			self: {
				hostId: id,
				role: HostRole.Entry,
				failureDomain,
				address: getAdvertisedAddress(this.settings),
				state: this.state,
				generation: this.store.generation,
				platformReachable: true
			},
			hosts: this.fleet.listHosts().map(host => {
				const report = this.fleet.getLink(host.id)?.report
				return {
					hostId: host.id,
					role: host.role,
					failureDomain: host.failureDomain,
					pool: host.pool,
					state:
						host.state === MembershipState.Leaving
							? HostState.LEAVING
							: HostState.LIVE,
					generation: report?.generation ?? 0,
					incarnation: host.incarnation,
					address: host.address,
					running: report?.running ?? 0,
					queued: report?.queued ?? 0
				}
			}),
			counters: JSON.stringify(this.counters.snapshot())
		})
	}

	private async close(): Promise<void> {
		this.stop.abort()
		await this.burn.stop()
		this.spread.close()
		this.fleet.close()
		await Promise.race([this.link?.drain(), sleep(linkDrainTimeoutMs)])
		this.link?.close()
		this.clients.close()
		await this.platform.close()
		this.counters.close()
	}
}

function createRouter(policy: PolicyName): Router {
	switch (policy) {
		case PolicyName.LeastLoaded:
			return new LeastLoadedRouter()
		case PolicyName.Static:
			return new StaticHashRouter()
		default:
			return new ResidencyRouter()
	}
}
