/** The engines beside an endpoint process, with their scheduler and shares. */
import type {ConfigRoot, Pool} from "../contract/config/index.js"
import {
	type ReportAck,
	Residency,
	type RunRequest
} from "../contract/gen/link_pb.js"
import {EngineClient} from "../link/index.js"
import {
	type AdapterName,
	type LoadShares,
	SchedulerEventKind,
	type SchedulerTuning
} from "../policy/index.js"
import {createLoadShares, createScheduler} from "./createScheduler.js"
import {
	EndpointPool,
	type EndpointPoolOptions,
	type PoolFigures
} from "./endpointPool.js"
import {EngineHost} from "./engineHost.js"
import {EngineWorker} from "./engineWorker.js"
import type {Sink} from "./generation.js"

const maxQueuedPerSeat = 64

/** Fencing numbers that the engines report as used. */
export async function readUsedFences(
	urls: readonly string[]
): Promise<number[]> {
	const clients = urls.map(url => new EngineClient({url, fence: 0}))
	const reports = await Promise.allSettled(clients.map(c => c.report()))
	await Promise.all(clients.map(client => client.close()))
	return reports.flatMap(report =>
		report.status === "fulfilled" ? [report.value.highestFence] : []
	)
}

export class EnginePool extends EndpointPool {
	private readonly engines: EngineHost
	private readonly workers = new Map<string, EngineWorker>()
	private shares: LoadShares
	private pool: Pool
	private processes = 1
	private lastLoadMs = 0

	constructor(options: EndpointPoolOptions, root: ConfigRoot, pool: Pool) {
		super(options)
		this.pool = pool
		this.shares = this.createShares(root)
		const urls = options.settings.workers
		const {hostId, counters, log, onChange} = {
			...options,
			hostId: options.settings.id
		}
		this.engines = new EngineHost({
			hostId,
			incarnation: options.incarnation,
			scheduler: createScheduler(options.settings.policy, {
				...tuningOf(root, pool),
				workers: urls,
				share: this.shares.getShare(Date.now()),
				maxQueued: maxQueuedPerSeat * pool.seats * urls.length
			}),
			workers: this.workers,
			counters,
			log,
			onChange,
			onLoadTime: ms => {
				this.lastLoadMs = ms
				this.shares.addLoad(ms, Date.now())
			}
		})
		for (const url of urls) this.openWorker(url)
	}

	override run(req: RunRequest, sink: Sink): () => void {
		return this.engines.run(req, sink)
	}

	override figures(): PoolFigures {
		const {running, queued, loadDemand} = this.engines.snapshot()
		const workers = this.engines.upCount
		return {
			workers,
			seats: this.pool.seats * workers,
			slots: this.pool.slots * workers,
			running,
			queued,
			loadDemand,
			loadMs: this.lastLoadMs
		}
	}

	override residency(): ReadonlyMap<AdapterName, Residency> {
		const residency = new Map<AdapterName, Residency>()
		const {resident, loading} = this.engines.snapshot()
		for (const adapter of loading) residency.set(adapter, Residency.LOADING)
		for (const adapter of resident) residency.set(adapter, Residency.RESIDENT)
		return residency
	}

	override hear(ack: ReportAck): void {
		const now = Date.now()
		this.processes = Math.max(1, ack.loadingProcesses)
		this.shares.setProcesses(this.processes)
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

	override configure(root: ConfigRoot): void {
		const {name} = this.pool
		this.pool = root.settings.pools.find(p => p.name === name) ?? this.pool
		this.shares = this.createShares(root)
		this.engines.setShare(this.shares.getShare(Date.now()))
		this.engines.reconfigure({
			kind: SchedulerEventKind.Reconfigured,
			tuning: tuningOf(root, this.pool)
		})
	}

	override mintTicket(): undefined {
		return undefined
	}

	override drain(): Promise<void> {
		return this.engines.drain()
	}

	override async close(): Promise<void> {
		this.engines.close()
		await Promise.all([...this.workers.values()].map(w => w.close()))
	}

	private createShares({settings}: ConfigRoot): LoadShares {
		return createLoadShares(this.options.settings.policy, {
			limits: settings.weightStore,
			processes: this.processes
		})
	}

	private openWorker(url: string): void {
		const {engines} = this
		const {incarnation, onFenced} = this.options
		engines.onDown(url)
		const worker = new EngineWorker({
			name: url,
			engine: new EngineClient({url, fence: incarnation}),
			listener: {
				onUp: (name, resident) => {
					engines.onUp(name, resident)
				},
				onDown: name => {
					engines.onDown(name)
				},
				onReset: (name, resident) => {
					engines.onReset(name, resident)
				},
				onFenced
			}
		})
		this.workers.set(url, worker)
		void worker.watch()
	}
}

function tuningOf({settings}: ConfigRoot, pool: Pool): SchedulerTuning {
	return {
		slots: pool.slots,
		seats: pool.seats,
		objective: settings.objective,
		memberWeights: settings.memberWeights,
		msPerToken: pool.msPerToken,
		loadMs: settings.weightStore.loadMs
	}
}
