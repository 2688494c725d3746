/**
 * One engine of this endpoint process. The task owns the engine's connections,
 * its orders and the watch over its restarts.
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

/** What the engine worker tells its owner. */
export interface WorkerListener {
	/** The engine answers; `resident` is what it holds. */
	onUp(worker: string, resident: AdapterName[]): void
	/** The engine restarted and holds only `resident`. */
	onReset(worker: string, resident: AdapterName[]): void
	onDown(worker: string): void
	/** The engine obeys a process with a higher fencing number. */
	onFenced(worker: string, detail: string): void
}

export interface EngineWorkerOptions {
	name: string
	engine: EngineClient
	listener: WorkerListener
	pollMs?: number
}

/** How a run on an engine ended. */
export enum RunEnd {
	Finished = "finished",
	/** The engine refused it before starting. */
	Refused = "refused",
	/** It may have started; nothing of the answer arrived. */
	LostBeforeText = "lostBeforeText",
	/** Part of the answer arrived and the rest cannot be had. */
	LostMidStream = "lostMidStream",
	/** The engine answered for another adapter. */
	WrongAdapter = "wrongAdapter",
	Cancelled = "cancelled"
}

export interface RunResult {
	end: RunEnd
	detail: string
	/** The engine's last event, when finished. */
	last: CompletionEvent | undefined
}

const missedPollsUntilDown = 2
const maxResumes = 3
const minQuietPolls = 2
const maxQuietWaitMs = 15_000
const refusedStatuses = new Set([400, 404, 409, 429])
const notFoundStatus = 404
const staleFenceStatus = 409

export class EngineWorker {
	readonly name: string
	private readonly engine: EngineClient
	private readonly listener: WorkerListener
	private readonly pollMs: number
	private readonly orders = new PQueue({concurrency: 1})
	private readonly stop = new AbortController()
	private readonly loaded = new Set<AdapterName>()
	/** Number of runs of each adapter in use. */
	private readonly inUse = new Map<AdapterName, number>()
	/** Orders that ended, to tell whether a load report is still current. */
	private ordersEnded = 0
	/** Load reports in a row without runs, before the engine is first used. */
	private quietPolls = 0
	private readonly quietDeadline = Date.now() + maxQuietWaitMs
	private incarnation = ""
	private isUp = false
	private missedPolls = 0

	constructor({name, engine, listener, pollMs = 500}: EngineWorkerOptions) {
		this.name = name
		this.engine = engine
		this.listener = listener
		this.pollMs = pollMs
	}

	/** Polls the engine until `close`. */
	async watch(): Promise<void> {
		while (!this.stop.signal.aborted) {
			await this.poll()
			await sleep(this.pollMs, this.stop.signal)
		}
	}

	/** Unloads `evict`, then loads `adapter`; orders go one at a time. */
	async load(
		adapter: AdapterName,
		source: string,
		evict: AdapterName | undefined
	): Promise<void> {
		await this.orders.add(async () => {
			try {
				if (evict !== undefined) await this.unload(evict)
				await this.engine.load(adapter, source)
				this.loaded.add(adapter)
			} catch (err) {
				this.checkFence(err)
				await this.reconcile()
				throw err
			} finally {
				this.ordersEnded += 1
			}
		})
	}

	/**
	 * Runs a generation to its end, resuming on the engine when it breaks. The
	 * adapter counts as in use until `settle`.
	 */
	async run(generation: Generation): Promise<RunResult> {
		const {draft, req, abort} = generation
		const {adapter} = draft
		this.inUse.set(adapter, (this.inUse.get(adapter) ?? 0) + 1)
		try {
			const events = await this.engine.complete({
				requestId: draft.id,
				adapter,
				prompt: req.prompt,
				maxTokens: req.maxTokens,
				priority: draft.class,
				signal: abort.signal
			})
			return await this.readToEnd(generation, events)
		} catch (err) {
			return await this.explainFailure(generation, err)
		}
	}

	/**
	 * Resolves when the engine certainly does not run the generation any more:
	 * it finished, was refused, or the engine answered a cancel or restarted.
	 */
	async settle({draft}: Generation, {end}: RunResult): Promise<void> {
		const {incarnation} = this
		const isOver = end === RunEnd.Finished || end === RunEnd.Refused
		while (!isOver && !this.stop.signal.aborted) {
			if (await this.engine.cancel(draft.id)) break
			await sleep(this.pollMs, this.stop.signal)
			if (incarnation !== this.incarnation) break
		}
		this.release(draft.adapter)
	}

	async close(): Promise<void> {
		this.stop.abort()
		await this.engine.close()
	}

	private release(adapter: AdapterName): void {
		const left = (this.inUse.get(adapter) ?? 0) - 1
		if (left > 0) this.inUse.set(adapter, left)
		else this.inUse.delete(adapter)
	}

	private async unload(adapter: AdapterName): Promise<void> {
		if (this.inUse.has(adapter)) {
			throw this.loadError(`adapter ${adapter} is in use and stays loaded`)
		}
		this.loaded.delete(adapter)
		try {
			await this.engine.unload(adapter)
		} catch (err) {
			const isGone = err instanceof EngineError && err.status === notFoundStatus
			if (!isGone) throw err
		}
	}

	/** Unloads what the engine holds beyond what this process knows of. */
	private async reconcile(): Promise<void> {
		try {
			const {resident} = await this.engine.report()
			for (const adapter of resident) {
				if (!this.loaded.has(adapter)) await this.unload(adapter)
			}
		} catch {
			// The poll reports an engine that does not answer.
		}
	}

	private checkFence(err: unknown): void {
		if (!(err instanceof EngineError)) return
		if (err.status !== staleFenceStatus) return
		this.listener.onFenced(this.name, err.message)
	}

	private async readToEnd(
		generation: Generation,
		first: AsyncGenerator<CompletionEvent>
	): Promise<RunResult> {
		let events = first
		for (let resumes = 0; ; resumes += 1) {
			try {
				return await this.read(generation, events)
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

	private async read(
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

	private async explainFailure(
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
		const {ordersEnded} = this
		try {
			report = await this.engine.report()
		} catch {
			this.missPoll()
			return
		}
		this.missedPolls = 0
		// What an order changed meanwhile may be missing from the report.
		const isCurrent = ordersEnded === this.ordersEnded
		if (isCurrent && this.orders.pending === 0) this.noteReport(report)
	}

	private missPoll(): void {
		this.missedPolls += 1
		if (this.missedPolls < missedPollsUntilDown || !this.isUp) return
		this.isUp = false
		this.listener.onDown(this.name)
	}

	private noteReport(report: EngineLoad): void {
		if (report.highestFence > this.engine.fence) {
			const detail = `fencing number ${report.highestFence} is in use`
			this.listener.onFenced(this.name, detail)
		}
		if (!this.isQuiet(report)) return
		const isFirst = this.incarnation === ""
		const isRestarted = !isFirst && report.incarnation !== this.incarnation
		this.incarnation = report.incarnation
		if (isRestarted || isFirst) {
			this.loaded.clear()
			for (const adapter of report.resident) this.loaded.add(adapter)
		}
		if (isRestarted) this.listener.onReset(this.name, report.resident)
		if (this.isUp) return
		this.isUp = true
		this.listener.onUp(this.name, report.resident)
	}

	/**
	 * At first, waits until the engine runs nothing that a predecessor of this
	 * process left behind, because its adapters must not be evicted. Reports
	 * lag, so one without runs is not enough.
	 */
	private isQuiet({running, waiting}: EngineLoad): boolean {
		if (this.incarnation !== "") return true
		this.quietPolls = running + waiting === 0 ? this.quietPolls + 1 : 0
		return this.quietPolls >= minQuietPolls || Date.now() > this.quietDeadline
	}

	private loadError(message: string): StepError {
		return new StepError(message, {step: Step.Load, peer: this.engine.url})
	}

	private streamError(message: string): StepError {
		return new StepError(message, {step: Step.Stream, peer: this.engine.url})
	}
}
