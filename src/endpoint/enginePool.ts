/**
 * The engines of an endpoint process, with their scheduler and this process's
 * share of the weight store.
 */
import type {ConfigRoot, Pool} from "../contract/config/index.js"
import {
	type ReportAck,
	Residency,
	type RunRequest
} from "../contract/gen/link_pb.js"
import {EngineClient} from "../link/index.js"
import {logFault} from "../program/log.js"
import {runDespiteFaults} from "../utils/common.js"
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
	type PoolStats
} from "./endpointPool.js"
import {EngineHost} from "./engineHost.js"
import {EngineWorker} from "./engineWorker.js"
import type {Sink} from "./generation.js"

const maxQueuedPerSeat = 64

/**
 * Reads the highest fencing number that each engine has seen. Engines that do
 * not answer are left out.
 */
export async function readHighestFences(
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
	private readonly engineHost: EngineHost
	private readonly workers = new Map<string, EngineWorker>()
	private loadShares: LoadShares
	private pool: Pool
	/** Endpoint processes that load adapters from the weight store. */
	private processCount = 1
	private lastLoadMs = 0

	constructor(options: EndpointPoolOptions, root: ConfigRoot, pool: Pool) {
		super(options)
		this.pool = pool
		this.loadShares = this.buildLoadShares(root)
		const urls = options.settings.workers
		const {hostId, counters, log, onChange} = {
			...options,
			hostId: options.settings.id
		}
		this.engineHost = new EngineHost({
			hostId,
			incarnation: options.incarnation,
			scheduler: createScheduler(options.settings.policy, {
				...getTuning(root, pool),
				workers: urls,
				share: this.loadShares.getShare(Date.now()),
				maxQueued: maxQueuedPerSeat * pool.seats * urls.length
			}),
			workers: this.workers,
			counters,
			log,
			onChange,
			onLoadTime: ms => {
				this.lastLoadMs = ms
				this.loadShares.addLoad(ms, Date.now())
			}
		})
		for (const url of urls) this.openWorker(url)
	}

	override run(req: RunRequest, sink: Sink): () => void {
		return this.engineHost.run(req, sink)
	}

	override getStats(): PoolStats {
		const {running, queued, loadDemand} = this.engineHost.snapshot()
		const workers = this.engineHost.upCount
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

	override getResidency(): ReadonlyMap<AdapterName, Residency> {
		const residency = new Map<AdapterName, Residency>()
		const {resident, loading} = this.engineHost.snapshot()
		for (const adapter of loading) residency.set(adapter, Residency.LOADING)
		for (const adapter of resident) residency.set(adapter, Residency.RESIDENT)
		return residency
	}

	override handleAck(ack: ReportAck): void {
		const now = Date.now()
		this.processCount = Math.max(1, ack.loadingProcesses)
		this.loadShares.setProcesses(this.processCount)
		this.loadShares.setDemand(this.engineHost.snapshot().loadDemand)
		this.loadShares.addFleetDemand(
			{
				entry: ack.entryId,
				demand: ack.fleetLoadDemand,
				demanding: ack.fleetDemanding
			},
			now
		)
		this.engineHost.setLoadShare(this.loadShares.getShare(now))
	}

	override configure(root: ConfigRoot): void {
		const {name} = this.pool
		this.pool = root.settings.pools.find(p => p.name === name) ?? this.pool
		this.loadShares = this.buildLoadShares(root)
		this.engineHost.setLoadShare(this.loadShares.getShare(Date.now()))
		this.engineHost.reconfigure({
			kind: SchedulerEventKind.Reconfigured,
			tuning: getTuning(root, this.pool)
		})
	}

	override mintTicket(): undefined {
		return undefined
	}

	override drain(): Promise<void> {
		return this.engineHost.drain()
	}

	override async close(): Promise<void> {
		this.engineHost.close()
		await Promise.all([...this.workers.values()].map(w => w.close()))
	}

	private buildLoadShares({settings}: ConfigRoot): LoadShares {
		return createLoadShares(this.options.settings.policy, {
			limits: settings.weightStore,
			processes: this.processCount
		})
	}

	private openWorker(url: string): void {
		const {engineHost} = this
		const {incarnation, onFenced} = this.options
		// Down until the worker calls `onUp`; logged and counted once at the start.
		engineHost.onDown(url)
		const worker = new EngineWorker({
			name: url,
			engine: new EngineClient({url, fence: incarnation}),
			listener: {
				onUp: (name, resident) => {
					engineHost.onUp(name, resident)
				},
				onDown: name => {
					engineHost.onDown(name)
				},
				onReset: (name, resident) => {
					engineHost.onReset(name, resident)
				},
				onFenced
			}
		})
		this.workers.set(url, worker)
		void runDespiteFaults(
			() => worker.pollUntilClosed(),
			err => {
				logFault(this.options.log, "polls of an engine", err)
			}
		)
	}
}

function getTuning({settings}: ConfigRoot, pool: Pool): SchedulerTuning {
	return {
		slots: pool.slots,
		seats: pool.seats,
		objective: settings.objective,
		memberWeights: settings.memberWeights,
		msPerToken: pool.msPerToken,
		loadMs: settings.weightStore.loadMs
	}
}
