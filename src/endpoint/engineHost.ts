/**
 * Runs generations on the engines of one endpoint process. It passes events to
 * the scheduler and executes the actions that the scheduler returns: adapter
 * loads, runs, refusals and the timer for the next tick.
 */
import murmurhash from "murmurhash"
import {ulid} from "ulid"
import {
	NotRunReason,
	RequestClass as LinkClass,
	type RunRequest
} from "../contract/gen/link_pb.js"
import {engineAdapterName} from "../contract/names.js"
import type {Counters} from "../program/counters.js"
import type {Log} from "../program/log.js"
import {
	type AdapterName,
	type Draft,
	type LoadShare,
	RefusalReason,
	RequestClass,
	type Scheduler,
	type SchedulerAction,
	SchedulerActionKind,
	type SchedulerEvent,
	SchedulerEventKind,
	type SchedulerSnapshot
} from "../policy/index.js"
import {assertNever, messageOf} from "../utils/common.js"
import {type EngineWorker, RunEnd, type RunResult} from "./engineWorker.js"
import {
	createUnknownEvent,
	Generation,
	GenerationState,
	type Sink
} from "./generation.js"
import {GenerationRegistry} from "./generationRegistry.js"

export interface EngineHostOptions {
	hostId: string
	incarnation: number
	scheduler: Scheduler
	workers: ReadonlyMap<string, EngineWorker>
	counters: Counters
	log: Log
	/** Called when an adapter's residency or the load may have changed. */
	onChange: () => void
	/** Called with the duration of each successful adapter load. */
	onLoadTime?: (ms: number) => void
	/** Time without readers after which a running generation is cancelled. */
	resumeWindowMs?: number
	/** How long the stream of an ended generation can be resumed. */
	finishedRetentionMs?: number
}

type LoadAction = Extract<SchedulerAction, {kind: SchedulerActionKind.Load}>

type ReconfiguredEvent = Extract<
	SchedulerEvent,
	{kind: SchedulerEventKind.Reconfigured}
>

const hashedPrefixChars = 64
const maxLocalAttempts = 3
const retryDelayMs = 100

const refusalReasons: Record<RefusalReason, NotRunReason> = {
	[RefusalReason.Deadline]: NotRunReason.DEADLINE,
	[RefusalReason.Overloaded]: NotRunReason.OVERLOADED,
	[RefusalReason.Leaving]: NotRunReason.LEAVING,
	[RefusalReason.LoadFailed]: NotRunReason.LOAD_FAILED,
	[RefusalReason.Cancelled]: NotRunReason.CANCELLED
}

const requestClasses: Record<LinkClass, RequestClass> = {
	[LinkClass.UNSPECIFIED]: RequestClass.Interactive,
	[LinkClass.STATUS]: RequestClass.Status,
	[LinkClass.BOOKING]: RequestClass.Booking,
	[LinkClass.INTERACTIVE]: RequestClass.Interactive,
	[LinkClass.DEFERRABLE]: RequestClass.Deferrable
}

export class EngineHost {
	private readonly options: Required<EngineHostOptions>
	private readonly generations: GenerationRegistry
	private readonly adapterSources = new Map<AdapterName, string>()
	private readonly upWorkers = new Set<string>()
	private wakeTimer: NodeJS.Timeout | undefined
	private wakeAt = Infinity
	private isLeaving = false

	constructor(options: EngineHostOptions) {
		this.options = {
			resumeWindowMs: 5000,
			finishedRetentionMs: 30_000,
			onLoadTime: () => undefined,
			...options
		}
		this.generations = new GenerationRegistry(this.options.finishedRetentionMs)
	}

	/**
	 * Starts a request or resumes its stream, and sends the events to `sink`. The
	 * returned function detaches the sink; without another reader, the generation
	 * is then cancelled, after `resumeWindowMs` if it runs.
	 */
	run(req: RunRequest, sink: Sink): () => void {
		if (req.resume) return this.resume(req, sink)
		const generation = this.createGeneration(req)
		const detach = generation.attach(sink, 0)
		if (this.isLeaving) {
			generation.refuse(NotRunReason.LEAVING, "the host is leaving")
			return detach
		}
		this.generations.add(generation)
		this.enqueue(generation)
		return () => {
			detach()
			this.cancelIfAbandoned(generation)
		}
	}

	setLoadShare(share: LoadShare): void {
		this.step({kind: SchedulerEventKind.ShareUpdated, share})
	}

	reconfigure(event: ReconfiguredEvent): void {
		this.step(event)
	}

	/** Number of engines that answer and can be used. */
	get upCount(): number {
		return this.upWorkers.size
	}

	onUp(worker: string, resident: AdapterName[]): void {
		this.upWorkers.add(worker)
		this.options.log.info("engine is up; it gets requests", {worker})
		this.step({kind: SchedulerEventKind.WorkerUp, worker, resident})
	}

	onDown(worker: string): void {
		this.upWorkers.delete(worker)
		this.options.log.warn("engine is down; it gets no requests", {worker})
		this.options.counters.add("engine.down")
		this.step({kind: SchedulerEventKind.WorkerDown, worker})
	}

	onReset(worker: string, resident: AdapterName[]): void {
		this.options.log.warn("engine restarted cold; its runs are lost", {worker})
		this.options.counters.add("engine.restarts")
		for (const generation of this.generations.listActive()) {
			if (generation.worker === worker) generation.worker = ""
		}
		this.step({kind: SchedulerEventKind.WorkerReset, worker, resident})
	}

	snapshot(): SchedulerSnapshot {
		return this.options.scheduler.snapshot(Date.now())
	}

	/**
	 * Refuses all waiting generations as not run, so that they can run on another
	 * host. Resolves when no generation runs.
	 */
	async drain(): Promise<void> {
		this.isLeaving = true
		for (const generation of this.generations.listWaiting()) {
			this.removeWaiting(generation)
			generation.refuse(NotRunReason.LEAVING, "the host is leaving")
		}
		await this.generations.waitUntilIdle()
	}

	close(): void {
		clearTimeout(this.wakeTimer)
	}

	private resume(req: RunRequest, sink: Sink): () => void {
		const generation = this.generations.findStream(req)
		if (generation === undefined) {
			const detail = `stream ${req.requestId} is not held here`
			const refused = this.createGeneration(req)
			const detach = refused.attach(sink, 0)
			refused.refuse(NotRunReason.UNREACHABLE, detail)
			return detach
		}
		const detach = generation.attach(sink, req.resumeOffset)
		return () => {
			detach()
			this.cancelIfAbandoned(generation)
		}
	}

	private createGeneration(req: RunRequest): Generation {
		const adapter = engineAdapterName(req.adapter, req.adapterSource)
		this.adapterSources.set(adapter, req.adapterSource)
		const draft: Draft = {
			id: ulid(),
			adapter,
			member: req.member,
			class: requestClasses[req.class],
			deadline: req.deadlineMs,
			arrivedAt: Date.now(),
			maxTokens: req.maxTokens,
			prefixHash: murmurhash.v3(req.prompt.slice(0, hashedPrefixChars))
		}
		return new Generation(req, draft)
	}

	private enqueue(generation: Generation): void {
		generation.state = GenerationState.Waiting
		generation.worker = ""
		this.step({kind: SchedulerEventKind.Arrived, draft: generation.draft})
	}

	/**
	 * Cancels a generation that has no readers: at once if it waits, after
	 * `resumeWindowMs` without a new reader if it runs.
	 */
	private cancelIfAbandoned(generation: Generation): void {
		if (!generation.isAbandoned) return
		if (generation.state === GenerationState.Ended) return
		if (generation.state === GenerationState.Waiting) {
			this.removeWaiting(generation)
			generation.refuse(NotRunReason.CANCELLED, "the caller went away")
			return
		}
		setTimeout(() => {
			if (!generation.isAbandoned) return
			generation.abort.abort()
		}, this.options.resumeWindowMs).unref()
	}

	/** Removes a waiting generation from the registry and the scheduler. */
	private removeWaiting(generation: Generation): void {
		const {id} = generation.draft
		this.generations.remove(generation)
		this.step({kind: SchedulerEventKind.Cancelled, id})
	}

	private step(event: SchedulerEvent): void {
		const actions = this.options.scheduler.step(event, Date.now())
		for (const action of actions) this.execute(action)
		this.options.onChange()
	}

	private execute(action: SchedulerAction): void {
		switch (action.kind) {
			case SchedulerActionKind.Load:
				void this.loadAdapter(action)
				return
			case SchedulerActionKind.Run:
				void this.startRun(action.worker, action.id, action.loadStallMs)
				return
			case SchedulerActionKind.Refuse:
				this.refuse(action.id, action.reason, action.retryAfterMs)
				return
			case SchedulerActionKind.Wake:
				this.scheduleWake(action.at)
				return
			default:
				assertNever(action)
		}
	}

	private async loadAdapter({
		worker,
		adapter,
		evict,
		load
	}: LoadAction): Promise<void> {
		const startedAt = Date.now()
		let ok = true
		try {
			const source = this.adapterSources.get(adapter) ?? ""
			await this.requireWorker(worker).load(adapter, source, evict)
			this.options.counters.add("load.ok")
		} catch (err) {
			ok = false
			this.options.counters.add("load.failed")
			const reason = messageOf(err)
			this.options.log.debug("adapter load failed", {worker, adapter, reason})
		}
		const tookMs = Date.now() - startedAt
		if (ok) this.options.onLoadTime(tookMs)
		this.step({
			kind: SchedulerEventKind.LoadEnded,
			worker,
			adapter,
			ok,
			tookMs,
			...(load === undefined ? {} : {load})
		})
	}

	private async startRun(
		worker: string,
		id: string,
		loadStallMs: number
	): Promise<void> {
		const generation = this.generations.get(id)
		if (generation === undefined) return
		generation.worker = worker
		generation.attempts += 1
		this.reportStarted(generation, loadStallMs)
		const timer = this.startDeadlineTimer(generation)
		const result = await this.requireWorker(worker).run(generation)
		clearTimeout(timer)
		await this.finishRun(generation, worker, result)
	}

	private reportStarted(generation: Generation, loadStallMs: number): void {
		const {hostId, incarnation, counters} = this.options
		const queueMs = Date.now() - generation.draft.arrivedAt
		counters.time("load.stall", loadStallMs)
		counters.time("queue.wait", queueMs)
		generation.start({
			$typeName: "goldcrestloom.link.v1.Started",
			hostId,
			incarnation,
			loadStallMs,
			queueMs
		})
	}

	/** Aborts a run at its deadline, after which its answer is of no use. */
	private startDeadlineTimer(generation: Generation): NodeJS.Timeout {
		const leftMs = Math.max(0, generation.draft.deadline - Date.now())
		return setTimeout(() => {
			generation.abort.abort()
		}, leftMs)
	}

	private async finishRun(
		generation: Generation,
		worker: string,
		result: RunResult
	): Promise<void> {
		this.options.counters.add(`run.${result.end}`)
		const isRetry = this.canRetryHere(generation, result)
		if (!isRetry) this.endGeneration(generation, worker, result)
		await this.requireWorker(worker).confirmStopped(generation, result)
		// When the engine restarted meanwhile, `onReset` has cleared `worker` and
		// the scheduler has dropped the run.
		if (generation.worker === worker) {
			const {id} = generation.draft
			this.step({kind: SchedulerEventKind.RunEnded, worker, id})
		}
		if (!isRetry) return
		if (result.end === RunEnd.LostBeforeText)
			generation.lostRun = {step: result.end, worker}
		this.scheduleRetry(generation)
	}

	private endGeneration(
		generation: Generation,
		worker: string,
		result: RunResult
	): void {
		if (result.end === RunEnd.Finished && result.last !== undefined) {
			const {last} = result
			generation.end({
				case: "finished",
				value: {
					$typeName: "goldcrestloom.link.v1.Finished",
					length: generation.length,
					finishReason: last.finishReason ?? "stop",
					adapter: last.adapter,
					completionTokens: last.completionTokens,
					promptTokens: last.promptTokens
				}
			})
			this.generations.removeAfterRetention(generation)
			return
		}
		const {end, detail} = result
		if (end === RunEnd.Refused)
			generation.refuse(NotRunReason.ENDPOINT_REFUSED, detail)
		else generation.end(createUnknownEvent(end, worker, detail))
		this.generations.removeAfterRetention(generation)
	}

	private canRetryHere(generation: Generation, result: RunResult): boolean {
		if (this.isLeaving || generation.attempts >= maxLocalAttempts) return false
		if (result.end === RunEnd.Refused) return true
		return result.end === RunEnd.LostBeforeText && generation.req.idempotent
	}

	private scheduleRetry(generation: Generation): void {
		generation.state = GenerationState.Waiting
		setTimeout(() => {
			if (generation.state !== GenerationState.Waiting) return
			if (this.isLeaving) {
				this.generations.remove(generation)
				generation.refuse(NotRunReason.LEAVING, "the host is leaving")
				return
			}
			this.enqueue(generation)
		}, retryDelayMs)
	}

	private refuse(
		id: string,
		reason: RefusalReason,
		retryAfterMs: number
	): void {
		const generation = this.generations.get(id)
		if (generation === undefined) return
		this.options.counters.add(`refused.${reason}`)
		this.generations.remove(generation)
		generation.refuse(refusalReasons[reason], reason, retryAfterMs)
	}

	private scheduleWake(at: number): void {
		if (at >= this.wakeAt) return
		this.wakeAt = at
		clearTimeout(this.wakeTimer)
		const waitMs = Math.max(0, at - Date.now())
		this.wakeTimer = setTimeout(() => {
			this.wakeAt = Infinity
			this.step({kind: SchedulerEventKind.Tick})
		}, waitMs)
	}

	private requireWorker(name: string): EngineWorker {
		const worker = this.options.workers.get(name)
		if (worker === undefined)
			throw new TypeError(`no engine worker for ${name}`)
		return worker
	}
}
