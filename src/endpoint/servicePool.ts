/** The plain services of an endpoint process, with their claims. */
import type {ConfigRoot, Pool} from "../contract/config/index.js"
import type {
	ReportAck,
	Residency,
	RunEvent,
	RunRequest
} from "../contract/gen/link_pb.js"
import {ServiceClient} from "../link/index.js"
import {claimBucketCount, type KeyScope} from "../policy/claimHome.js"
import type {AdapterName} from "../policy/index.js"
import {messageOf} from "../utils/common.js"
import {ClaimTask} from "./claims/index.js"
import {
	EndpointPool,
	type EndpointPoolOptions,
	type MintedTicket,
	type PoolStats
} from "./endpointPool.js"
import {createUnknownEvent, type Sink, toRunEvent} from "./generation.js"
import {ServiceHost} from "./serviceHost.js"

/**
 * Maximum time that a call waits for its claim to be written. Above the default
 * of 1 s, so that calls still run while the platform is slow.
 */
const claimWaitMs = 4000
const maxQueued = 1024

export class ServicePool extends EndpointPool {
	private readonly clients: ServiceClient[]
	private readonly serviceHost: ServiceHost

	constructor(
		options: EndpointPoolOptions,
		private readonly pool: Pool
	) {
		super(options)
		const {settings, address, incarnation, platform} = options
		this.clients = settings.workers.map(
			url => new ServiceClient(url, incarnation)
		)
		this.serviceHost = new ServiceHost({
			services: this.clients,
			claims: new ClaimTask({
				platform,
				pool: pool.name,
				buckets: claimBucketCount,
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
		void this.runAndReply(req, sink)
		return () => undefined
	}

	override getStats(): PoolStats {
		const {running, queued, seats} = this.serviceHost
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

	override getResidency(): ReadonlyMap<AdapterName, Residency> {
		return new Map()
	}

	override handleAck(ack: ReportAck): void {
		if (!ack.hasPoolHosts) return
		const {id} = this.options.settings
		this.serviceHost.syncHomeBuckets(this.pool.name, id, ack.poolHosts)
	}

	override configure({settings}: ConfigRoot): void {
		const pool = settings.pools.find(({name}) => name === this.pool.name)
		if (pool !== undefined) this.serviceHost.configure(pool.seats, pool.callMs)
	}

	override mintTicket(scope: KeyScope): MintedTicket {
		return this.serviceHost.mintTicket(scope)
	}

	override drain(): Promise<void> {
		return this.serviceHost.drain()
	}

	override async close(): Promise<void> {
		this.serviceHost.close()
		await Promise.all(this.clients.map(client => client.close()))
	}

	private async runAndReply(req: RunRequest, sink: Sink): Promise<void> {
		let event: RunEvent["event"]
		try {
			event = await this.serviceHost.run(req)
		} catch (err) {
			event = createUnknownEvent(
				"send",
				this.options.settings.id,
				messageOf(err)
			)
		}
		sink(toRunEvent(event), true)
	}
}
