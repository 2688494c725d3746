/**
 * One engine of this endpoint process. Runs completions, sends the load and
 * unload commands one at a time, and polls the engine to detect that it is
 * down, has restarted, or was used by a newer endpoint process.
 */
import PQueue from "p-queue"
import {Step, StepError} from "../contract/errors.js"
import {
	type CompletionEvent,
	type EngineClient,
	EngineError,
	type EngineLoad
} from "../link/engineClient.js"
import type {AdapterName} from "../policy/types.js"
import {sleep} from "../utils/common.js"
import type {Generation} from "./generation.js"

/** Notifications of an engine worker. */
export interface WorkerListener {
	/** The engine can be used; its loaded adapters are `resident`. */
	onUp(worker: string, resident: AdapterName[]): void
	/** The engine restarted; its only loaded adapters are `resident`. */
	onReset(worker: string, resident: AdapterName[]): void
	onDown(worker: string): void
	/** The engine has seen a higher fencing number, of a newer process. */
	onFenced(worker: string, detail: string): void
}

export interface EngineWorkerOptions {
	name: string
	engine: EngineClient
	listener: WorkerListener
	pollIntervalMs?: number
}

/** How a run on an engine ended. */
export enum RunEnd {
	Finished = "finished",
	/** The engine rejected the request before starting it. */
	Refused = "refused",
	/** The request may have started, but no text arrived. */
	LostBeforeText = "lostBeforeText",
	/** Part of the text arrived, and the stream could not be resumed. */
	LostMidStream = "lostMidStream",
	/** An event named an adapter other than the requested one. */
	WrongAdapter = "wrongAdapter",
	Cancelled = "cancelled"
}

export interface RunResult {
	end: RunEnd
	detail: string
	/** The engine's last event if the run finished, otherwise undefined. */
	last: CompletionEvent | undefined
}

const missedPollsUntilDown = 2
const maxResumes = 3
const minIdlePolls = 2
const maxIdleWaitMs = 15_000
const refusedStatuses = new Set([400, 404, 409, 429])
const notFoundStatus = 404
const staleFenceStatus = 409

export class EngineWorker {
	readonly name: string
	private readonly engine: EngineClient
	private readonly listener: WorkerListener
	private readonly pollIntervalMs: number
	private readonly commandQueue = new PQueue({concurrency: 1})
	private readonly stop = new AbortController()
	private readonly loadedAdapters = new Set<AdapterName>()
	/** Number of runs of each adapter, which must not be unloaded meanwhile. */
	private readonly runsPerAdapter = new Map<AdapterName, number>()
	/**
	 * Number of `load` calls that have ended, also with an error. If it changes
	 * during a poll, the load report may lack what the call changed.
	 */
	private commandsEnded = 0
	/** Consecutive load reports without runs, before the engine is first used. */
	private idlePolls = 0
	private readonly idleWaitDeadline = Date.now() + maxIdleWaitMs
	/**
	 * The engine's own incarnation, as last reported; empty until the engine is
	 * ready for use.
	 */
	private incarnation = ""
	private isUp = false
	private missedPolls = 0

	constructor({
		name,
		engine,
		listener,
		pollIntervalMs = 500
	}: EngineWorkerOptions) {
		this.name = name
		this.engine = engine
		this.listener = listener
		this.pollIntervalMs = pollIntervalMs
	}

	/** Polls the engine until `close`. */
	async pollUntilClosed(): Promise<void> {
		while (!this.stop.signal.aborted) {
			await this.poll()
			await sleep(this.pollIntervalMs, this.stop.signal)
		}
	}

	/**
	 * Unloads `evict`, then loads `adapter`. Calls are queued, so that only one
	 * command at a time is sent to the engine. A load that failed here, such as by
	 * a timeout, may have succeeded on the engine; so after a failure, adapters
	 * that this process does not know to be loaded are unloaded.
	 */
	async load(
		adapter: AdapterName,
		source: string,
		evict: AdapterName | undefined
	): Promise<void> {
		await this.commandQueue.add(async () => {
			try {
				if (evict !== undefined) await this.unload(evict)
				await this.engine.load(adapter, source)
				this.loadedAdapters.add(adapter)
			} catch (err) {
				this.reportStaleFence(err)
				await this.reconcile()
				throw err
			} finally {
				this.commandsEnded += 1
			}
		})
	}

	/**
	 * Runs a generation to its end, and resumes the engine's stream up to
	 * `maxResumes` times when it breaks. The adapter can't be unloaded until
	 * `confirmStopped` resolves.
	 */
	async run(generation: Generation): Promise<RunResult> {
		const {draft, req, abort} = generation
		const {adapter} = draft
		this.runsPerAdapter.set(
			adapter,
			(this.runsPerAdapter.get(adapter) ?? 0) + 1
		)
		try {
			const events = await this.engine.complete({
				requestId: draft.id,
				adapter,
				prompt: req.prompt,
				maxTokens: req.maxTokens,
				priority: draft.class,
				signal: abort.signal
			})
			return await this.readWithResume(generation, events)
		} catch (err) {
			return await this.classifyFailure(generation, err)
		}
	}

	/**
	 * Resolves when the engine no longer runs the generation, or when this worker
	 * is closed. Unless the generation finished or was refused, repeats the cancel
	 * request until the engine answers it or has restarted.
	 */
	async confirmStopped({draft}: Generation, {end}: RunResult): Promise<void> {
		const {incarnation} = this
		const isStopped = end === RunEnd.Finished || end === RunEnd.Refused
		while (!isStopped && !this.stop.signal.aborted) {
			if (await this.engine.cancel(draft.id)) break
			await sleep(this.pollIntervalMs, this.stop.signal)
			if (incarnation !== this.incarnation) break
		}
		this.releaseAdapter(draft.adapter)
	}

	async close(): Promise<void> {
		this.stop.abort()
		await this.engine.close()
	}

	private releaseAdapter(adapter: AdapterName): void {
		const left = (this.runsPerAdapter.get(adapter) ?? 0) - 1
		if (left > 0) this.runsPerAdapter.set(adapter, left)
		else this.runsPerAdapter.delete(adapter)
	}

	private async unload(adapter: AdapterName): Promise<void> {
		if (this.runsPerAdapter.has(adapter)) {
			throw this.loadError(
				`cannot unload adapter ${adapter}: running requests use it`
			)
		}
		this.loadedAdapters.delete(adapter)
		try {
			await this.engine.unload(adapter)
		} catch (err) {
			const isNotLoaded =
				err instanceof EngineError && err.status === notFoundStatus
			if (!isNotLoaded) throw err
		}
	}

	/** Unloads the engine's adapters that this process has not loaded. */
	private async reconcile(): Promise<void> {
		try {
			const {resident} = await this.engine.report()
			for (const adapter of resident) {
				if (!this.loadedAdapters.has(adapter)) await this.unload(adapter)
			}
		} catch {
			// `poll` detects an engine that does not answer.
		}
	}

	private reportStaleFence(err: unknown): void {
		if (!(err instanceof EngineError)) return
		if (err.status !== staleFenceStatus) return
		this.listener.onFenced(this.name, err.message)
	}

	private async readWithResume(
		generation: Generation,
		first: AsyncGenerator<CompletionEvent>
	): Promise<RunResult> {
		let events = first
		for (let resumes = 0; ; resumes += 1) {
			try {
				return await this.readStream(generation, events)
			} catch (err) {
				if (generation.abort.signal.aborted || resumes >= maxResumes) throw err
				events = await this.engine.resume(
					generation.draft.id,
					generation.length,
					generation.abort.signal
				)
			}
		}
	}

	private async readStream(
		generation: Generation,
		events: AsyncGenerator<CompletionEvent>
	): Promise<RunResult> {
		for await (const event of events) {
			if (event.adapter !== generation.draft.adapter) {
				const detail = `the engine answered for ${event.adapter}`
				return {end: RunEnd.WrongAdapter, detail, last: undefined}
			}
			this.checkOffset(generation, event)
			generation.append(event.text)
			if (event.finishReason !== null) {
				return {end: RunEnd.Finished, detail: "", last: event}
			}
		}
		throw this.streamError("the stream ended without a finish reason")
	}

	private checkOffset(generation: Generation, event: CompletionEvent): void {
		if (event.offset === generation.length) return
		throw this.streamError(
			`expected text at offset ${generation.length}, got ${event.offset}`
		)
	}

	private async classifyFailure(
		generation: Generation,
		err: unknown
	): Promise<RunResult> {
		const detail = err instanceof Error ? err.message : String(err)
		const last = undefined
		if (generation.abort.signal.aborted) {
			return {end: RunEnd.Cancelled, detail, last}
		}
		const isRefused =
			err instanceof EngineError &&
			err.step === Step.Send &&
			refusedStatuses.has(err.status)
		if (isRefused) {
			await this.poll()
			return {end: RunEnd.Refused, detail, last}
		}
		const end =
			generation.length === 0 ? RunEnd.LostBeforeText : RunEnd.LostMidStream
		return {end, detail, last}
	}

	private async poll(): Promise<void> {
		let report: EngineLoad
		const {commandsEnded} = this
		try {
			report = await this.engine.report()
		} catch {
			this.countMissedPoll()
			return
		}
		this.missedPolls = 0
		// A report that overlaps a load command may lack what it changed.
		const isCurrent = commandsEnded === this.commandsEnded
		if (isCurrent && this.commandQueue.pending === 0) this.applyReport(report)
	}

	private countMissedPoll(): void {
		this.missedPolls += 1
		if (this.missedPolls < missedPollsUntilDown || !this.isUp) return
		this.isUp = false
		this.listener.onDown(this.name)
	}

	private applyReport(report: EngineLoad): void {
		if (report.highestFence > this.engine.fence) {
			const detail = `fencing number ${report.highestFence} is in use`
			this.listener.onFenced(this.name, detail)
		}
		if (!this.isReadyForUse(report)) return
		const isFirst = this.incarnation === ""
		const isRestarted = !isFirst && report.incarnation !== this.incarnation
		this.incarnation = report.incarnation
		if (isRestarted || isFirst) {
			this.loadedAdapters.clear()
			for (const adapter of report.resident) this.loadedAdapters.add(adapter)
		}
		if (isRestarted) this.listener.onReset(this.name, report.resident)
		if (this.isUp) return
		this.isUp = true
		this.listener.onUp(this.name, report.resident)
	}

	/**
	 * Before its first use, an engine must have reported no runs in
	 * `minIdlePolls` consecutive polls, or `maxIdleWaitMs` must have passed. Runs
	 * of a previous endpoint process may still use adapters, which must not be
	 * evicted. One report is not enough, since reports lag behind.
	 */
	private isReadyForUse({running, waiting}: EngineLoad): boolean {
		if (this.incarnation !== "") return true
		this.idlePolls = running + waiting === 0 ? this.idlePolls + 1 : 0
		return this.idlePolls >= minIdlePolls || Date.now() > this.idleWaitDeadline
	}

	private loadError(message: string): StepError {
		return new StepError(message, {step: Step.Load, peer: this.engine.url})
	}

	private streamError(message: string): StepError {
		return new StepError(message, {step: Step.Stream, peer: this.engine.url})
	}
}
