/**
 * Carries out the scheduler's decisions for the engines of one endpoint
 * process: it owns the generations, the engine workers and the wake-up timer.
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
	Generation,
	GenerationState,
	notRun,
	type Sink,
	unknownOutcome
} from "./generation.js"
import {GenerationRegistry} from "./generationRegistry.js"

export interface EngineHostOptions {
	hostId: string
	incarnation: number
	scheduler: Scheduler
	workers: ReadonlyMap<string, EngineWorker>
	counters: Counters
	log: Log
	/** Called when residency or load changed. */
	onChange: () => void
	/** Called with the time of each adapter load. */
	onLoadTime?: (ms: number) => void
	/** How long a stream without a reader keeps running. */
	resumeWindowMs?: number
	/** How long a finished answer can be read again. */
	keepFinishedMs?: number
}

type LoadAction = Extract<SchedulerAction, {kind: SchedulerActionKind.Load}>

type ReconfiguredEvent = Extract<
	SchedulerEvent,
	{kind: SchedulerEventKind.Reconfigured}
>

const prefixLength = 64
const maxLocalAttempts = 3
const refusedRetryMs = 100

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
	private readonly sources = new Map<AdapterName, string>()
	private readonly up = new Set<string>()
	private wakeTimer: NodeJS.Timeout | undefined
	private wakeAt = Infinity
	private isLeaving = false

	constructor(options: EngineHostOptions) {
		this.options = {
			resumeWindowMs: 5000,
			keepFinishedMs: 30_000,
			onLoadTime: () => undefined,
			...options
		}
		this.generations = new GenerationRegistry(this.options.keepFinishedMs)
	}

	/** Starts or resumes a request; returns the function that stops reading. */
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
			this.noteUnread(generation)
		}
	}

	setShare(share: LoadShare): void {
		this.step({kind: SchedulerEventKind.ShareUpdated, share})
	}

	reconfigure(event: ReconfiguredEvent): void {
		this.step(event)
	}

	/** Engines that answer and can be used. */
	get upCount(): number {
		return this.up.size
	}

	onUp(worker: string, resident: AdapterName[]): void {
		this.up.add(worker)
		this.options.log.info("engine is up", {worker})
		this.step({kind: SchedulerEventKind.WorkerUp, worker, resident})
	}

	onDown(worker: string): void {
		this.up.delete(worker)
		this.options.log.warn("engine is down", {worker})
		this.options.counters.add("engine.down")
		this.step({kind: SchedulerEventKind.WorkerDown, worker})
	}

	onReset(worker: string, resident: AdapterName[]): void {
		this.options.log.warn("engine restarted cold", {worker})
		this.options.counters.add("engine.restarts")
		for (const generation of this.generations.listActive()) {
			if (generation.worker === worker) generation.worker = ""
		}
		this.step({kind: SchedulerEventKind.WorkerReset, worker, resident})
	}

	snapshot(): SchedulerSnapshot {
		return this.options.scheduler.snapshot(Date.now())
	}

	/** Gives back what waits, then resolves when nothing runs. */
	async drain(): Promise<void> {
		this.isLeaving = true
		for (const generation of this.generations.listWaiting()) {
			this.drop(generation)
			generation.refuse(NotRunReason.LEAVING, "the host is leaving")
		}
		await this.generations.waitIdle()
	}

	close(): void {
		clearTimeout(this.wakeTimer)
	}

	private resume(req: RunRequest, sink: Sink): () => void {
		const generation = this.generations.findStream(req)
		if (generation === undefined) {
			const detail = `stream ${req.requestId} is not held here`
			const missing = this.createGeneration(req)
			const detach = missing.attach(sink, 0)
			missing.refuse(NotRunReason.UNREACHABLE, detail)
			return detach
		}
		const detach = generation.attach(sink, req.resumeOffset)
		return () => {
			detach()
			this.noteUnread(generation)
		}
	}

	private createGeneration(req: RunRequest): Generation {
		const adapter = engineAdapterName(req.adapter, req.adapterSource)
		this.sources.set(adapter, req.adapterSource)
		const draft: Draft = {
			id: ulid(),
			adapter,
			member: req.member,
			class: requestClasses[req.class],
			deadline: req.deadlineMs,
			arrivedAt: Date.now(),
			maxTokens: req.maxTokens,
			prefixHash: murmurhash.v3(req.prompt.slice(0, prefixLength))
		}
		return new Generation(req, draft)
	}

	private enqueue(generation: Generation): void {
		generation.state = GenerationState.Waiting
		generation.worker = ""
		this.step({kind: SchedulerEventKind.Arrived, draft: generation.draft})
	}

	/** Stops a generation that nobody reads, at once when it only waits. */
	private noteUnread(generation: Generation): void {
		if (!generation.isUnread) return
		if (generation.state === GenerationState.Ended) return
		if (generation.state === GenerationState.Waiting) {
			this.drop(generation)
			generation.refuse(NotRunReason.CANCELLED, "the caller went away")
			return
		}
		setTimeout(() => {
			if (!generation.isUnread) return
			generation.abort.abort()
		}, this.options.resumeWindowMs).unref()
	}

	/** Removes a waiting generation from the scheduler. */
	private drop(generation: Generation): void {
		const {id} = generation.draft
		this.generations.forget(generation)
		this.step({kind: SchedulerEventKind.Cancelled, id})
	}

	private step(event: SchedulerEvent): void {
		const actions = this.options.scheduler.step(event, Date.now())
		for (const action of actions) this.carryOut(action)
		this.options.onChange()
	}

	private carryOut(action: SchedulerAction): void {
		switch (action.kind) {
			case SchedulerActionKind.Load:
				void this.load(action)
				return
			case SchedulerActionKind.Run:
				void this.start(action.worker, action.id, action.loadStallMs)
				return
			case SchedulerActionKind.Refuse:
				this.refuse(action.id, action.reason, action.retryAfterMs)
				return
			case SchedulerActionKind.Wake:
				this.wake(action.at)
				return
			default:
				assertNever(action)
		}
	}

	private async load({
		worker,
		adapter,
		evict,
		load
	}: LoadAction): Promise<void> {
		const startedAt = Date.now()
		let ok = true
		try {
			const source = this.sources.get(adapter) ?? ""
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

	private async start(
		worker: string,
		id: string,
		loadStallMs: number
	): Promise<void> {
		const generation = this.generations.get(id)
		if (generation === undefined) return
		generation.worker = worker
		generation.attempts += 1
		this.announceStart(generation, loadStallMs)
		const timer = this.limitRun(generation)
		const result = await this.requireWorker(worker).run(generation)
		clearTimeout(timer)
		await this.finish(generation, worker, result)
	}

	private announceStart(generation: Generation, loadStallMs: number): void {
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

	/** Stops a run at its deadline: nobody waits for its answer after that. */
	private limitRun(generation: Generation): NodeJS.Timeout {
		const leftMs = Math.max(0, generation.draft.deadline - Date.now())
		return setTimeout(() => {
			generation.abort.abort()
		}, leftMs)
	}

	private async finish(
		generation: Generation,
		worker: string,
		result: RunResult
	): Promise<void> {
		this.options.counters.add(`run.${result.end}`)
		const isRetry = this.canRetryHere(generation, result)
		if (!isRetry) this.endForReaders(generation, worker, result)
		await this.requireWorker(worker).settle(generation, result)
		// After a cold restart the scheduler has forgotten the run already.
		if (generation.worker === worker) {
			const {id} = generation.draft
			this.step({kind: SchedulerEventKind.RunEnded, worker, id})
		}
		if (isRetry) this.retryLater(generation)
	}

	private endForReaders(
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
			this.generations.forgetLater(generation)
			return
		}
		generation.end(explainEnd(result, worker))
		this.generations.forgetLater(generation)
	}

	private canRetryHere(generation: Generation, result: RunResult): boolean {
		if (this.isLeaving || generation.attempts >= maxLocalAttempts) return false
		if (result.end === RunEnd.Refused) return true
		return result.end === RunEnd.LostBeforeText && generation.req.idempotent
	}

	private retryLater(generation: Generation): void {
		generation.state = GenerationState.Waiting
		setTimeout(() => {
			if (generation.state !== GenerationState.Waiting) return
			if (this.isLeaving) {
				this.generations.forget(generation)
				generation.refuse(NotRunReason.LEAVING, "the host is leaving")
				return
			}
			this.enqueue(generation)
		}, refusedRetryMs)
	}

	private refuse(
		id: string,
		reason: RefusalReason,
		retryAfterMs: number
	): void {
		const generation = this.generations.get(id)
		if (generation === undefined) return
		this.options.counters.add(`refused.${reason}`)
		this.generations.forget(generation)
		generation.refuse(refusalReasons[reason], reason, retryAfterMs)
	}

	private wake(at: number): void {
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
		if (worker === undefined) throw new TypeError(`unknown engine ${name}`)
		return worker
	}
}

function explainEnd(
	result: RunResult,
	worker: string
): ReturnType<typeof notRun> {
	if (result.end === RunEnd.Refused) {
		return notRun(NotRunReason.ENDPOINT_REFUSED, result.detail)
	}
	return unknownOutcome(result.end, worker, result.detail)
}
