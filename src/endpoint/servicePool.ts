/** The plain services beside an endpoint process, with their claims. */
import type {ConfigRoot, Pool} from "../contract/config/index.js"
import type {
	ReportAck,
	Residency,
	RunEvent,
	RunRequest
} from "../contract/gen/link_pb.js"
import {ServiceClient} from "../link/index.js"
import {claimBuckets, type KeyScope} from "../policy/claimHome.js"
import type {AdapterName} from "../policy/index.js"
import {messageOf} from "../utils/common.js"
import {ClaimTask} from "./claims/index.js"
import {
	EndpointPool,
	type EndpointPoolOptions,
	type MintedTicket,
	type PoolFigures
} from "./endpointPool.js"
import {type Sink, unknownOutcome, wrap} from "./generation.js"
import {ServiceHost} from "./serviceHost.js"

/** Longest wait of a call for its claim while the platform is slow. */
const claimWaitMs = 4000
const maxQueued = 1024

export class ServicePool extends EndpointPool {
	private readonly clients: ServiceClient[]
	private readonly services: ServiceHost

	constructor(
		options: EndpointPoolOptions,
		private readonly pool: Pool
	) {
		super(options)
		const {settings, address, incarnation, platform} = options
		this.clients = settings.workers.map(
			url => new ServiceClient(url, incarnation)
		)
		this.services = new ServiceHost({
			services: this.clients,
			claims: new ClaimTask({
				platform,
				pool: pool.name,
				buckets: claimBuckets,
				claimWaitMs,
				owner: {hostId: settings.id, address, incarnation}
			}),
			counters: options.counters,
			seats: pool.seats,
			maxQueued,
			callMs: pool.callMs,
			onChange: options.onChange,
			onFenced: options.onFenced
		})
	}

	override run(req: RunRequest, sink: Sink): () => void {
		void this.runToEnd(req, sink)
		return () => undefined
	}

	override figures(): PoolFigures {
		const {running, queued, seats} = this.services
		const workers = this.clients.length
		return {
			workers,
			seats,
			slots: 0,
			running,
			queued,
			loadDemand: 0,
			loadMs: 0
		}
	}

	override residency(): ReadonlyMap<AdapterName, Residency> {
		return new Map()
	}

	override hear(ack: ReportAck): void {
		if (!ack.hasPoolHosts) return
		const {id} = this.options.settings
		this.services.syncHomes(this.pool.name, id, ack.poolHosts)
	}

	override configure({settings}: ConfigRoot): void {
		const pool = settings.pools.find(({name}) => name === this.pool.name)
		if (pool !== undefined) this.services.configure(pool.seats, pool.callMs)
	}

	override mintTicket(scope: KeyScope): MintedTicket {
		return this.services.mintTicket(scope)
	}

	override drain(): Promise<void> {
		return this.services.drain()
	}

	override async close(): Promise<void> {
		this.services.close()
		await Promise.all(this.clients.map(client => client.close()))
	}

	private async runToEnd(req: RunRequest, sink: Sink): Promise<void> {
		let event: RunEvent["event"]
		try {
			event = await this.services.run(req)
		} catch (err) {
			event = unknownOutcome("send", this.options.settings.id, messageOf(err))
		}
		sink(wrap(event), true)
	}
}
