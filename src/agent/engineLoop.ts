/**
 * Gives an engine its orders and reads its reports, one after the other, so that
 * no order is planned from a belief that another order is about to change.
 */
import {
	type EngineOrder,
	type EngineReport,
	type GrantScheduler,
	type GrantStep,
	OrderKind,
	OrderOutcome
} from "../policy/grants/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {messageOf, sleep} from "../utils/common.js"
import type {EnginePort, FenceSource} from "./enginePort.js"

export interface EngineLoopOptions {
	engine: EnginePort
	fences: FenceSource
	scheduler: GrantScheduler
	log: DecisionLog
	/** Carries out what the scheduler decided after a report. */
	onSteps: (steps: readonly GrantStep[]) => void
	/** Monotonic milliseconds. */
	now: () => number
}

/** A report is free on the engine's own host, but takes processor time. */
const idleReportMs = 500
/** While an adapter is on its way past its expected time. */
const busyReportMs = 15
/** While runs that were not granted keep adapters from being evicted. */
const heldBackReportMs = 50
const failedReportMs = 250
/** An eviction needs a report of this age at most: gateways that lost their
 * agent, or the agent itself when it was paused, may have sent since. */
const evictionReportMs = 10
/** Reports that must fail in a row before the engine counts as down. */
const failuresUntilDown = 2
const fenceRetryMs = 500

export class EngineLoop {
	private fence: number | undefined
	private nextReportAt = 0
	/** Time at which the last report that arrived was asked for. */
	private reportedAt = Number.NEGATIVE_INFINITY
	/** Names of the base models in the last report. */
	private heldModels: string | undefined
	private failures = 0
	private isUp = false
	private isStopped = false
	private wake: (() => void) | undefined

	constructor(private readonly options: EngineLoopOptions) {}

	start(): void {
		void this.acquireFence()
		void this.run()
	}

	stop(): void {
		this.isStopped = true
		this.poke()
	}

	/** Lets the loop plan again now. */
	poke(): void {
		const {scheduler, now} = this.options
		if (scheduler.isHeldBack) {
			const soon = now() + heldBackReportMs
			this.nextReportAt = Math.min(this.nextReportAt, soon)
		}
		this.wake?.()
	}

	/** Reads a report now: the engine differs from what is believed. */
	recheck(): void {
		this.nextReportAt = 0
		this.wake?.()
	}

	private async acquireFence(): Promise<void> {
		while (!this.isStopped && this.fence === undefined) {
			try {
				this.fence = await this.options.fences.acquire()
				this.options.log.decide("fence.acquired", {fence: this.fence})
				this.poke()
			} catch (err) {
				this.options.log.decide("fence.failed", {error: messageOf(err)})
				await sleep(fenceRetryMs)
			}
		}
	}

	private async run(): Promise<void> {
		while (!this.isStopped) {
			if (this.options.now() >= this.nextReportAt) await this.readReport()
			const order =
				this.fence === undefined
					? undefined
					: this.options.scheduler.planOrder(this.options.now())
			if (order === undefined || this.fence === undefined) {
				await this.sleepUntil(this.nextReportAt)
				continue
			}
			if (this.isReportFreshFor(order)) {
				await this.give(order, this.fence)
				continue
			}
			await this.readReport()
			if (this.failures > 0) await this.sleepUntil(this.nextReportAt)
		}
	}

	private isReportFreshFor({kind}: EngineOrder): boolean {
		if (kind !== OrderKind.Unload) return true
		return this.options.now() - this.reportedAt <= evictionReportMs
	}

	private async readReport(): Promise<void> {
		const {engine, log, now} = this.options
		const askedAt = now()
		try {
			const report = await engine.report()
			this.reportedAt = askedAt
			this.failures = 0
			if (!this.isUp) {
				this.isUp = true
				await engine.identify()
				log.decide("engine.up", {engine: engine.engineId, born: report.bornAt})
			}
			if (this.options.scheduler.applyReport(report, now())) {
				await engine.identify()
				log.decide("engine.restarted", {
					engine: engine.engineId,
					born: report.bornAt,
					sequence: report.sequence
				})
			}
			this.logModels(report)
			this.nextReportAt = this.getNextReportAt()
			this.options.onSteps(this.options.scheduler.schedule(this.options.now()))
		} catch (err) {
			this.failures += 1
			this.nextReportAt = this.options.now() + failedReportMs
			if (this.failures < failuresUntilDown || !this.isUp) return
			this.isUp = false
			log.decide("engine.down", {error: messageOf(err)})
			this.options.scheduler.markDown()
			this.options.onSteps(this.options.scheduler.schedule(this.options.now()))
		}
	}

	/** Tells that the engine holds other base models than before. */
	private logModels({models}: EngineReport): void {
		const names = models.map(({name}) => name).join(" ")
		if (names === this.heldModels) return
		this.heldModels = names
		const {engine, log} = this.options
		log.decide("models.held", {engine: engine.engineId, models: names})
	}

	private getNextReportAt(): number {
		const now = this.options.now()
		const {slots} = this.options.scheduler
		if (this.options.scheduler.isHeldBack) return now + heldBackReportMs
		if (!slots.isChanging) return now + idleReportMs
		const readyAt = Math.min(slots.getNextReadyAt(), now + idleReportMs)
		return Math.max(now + busyReportMs, readyAt)
	}

	private async give(order: EngineOrder, fence: number): Promise<void> {
		const {engine, log} = this.options
		this.options.scheduler.slots.beginOrder(order)
		const outcome = await engine.order(order, fence)
		this.options.scheduler.endOrder(outcome, this.options.now())
		log.decide("order", {
			order: order.kind,
			model: order.model,
			adapter: order.adapter,
			version: order.version,
			sequence: order.expectedSequence,
			fence,
			outcome
		})
		const isKnown =
			outcome === OrderOutcome.Accepted ||
			(outcome === OrderOutcome.Holds && order.kind === OrderKind.Unload)
		this.nextReportAt = isKnown ? this.getNextReportAt() : 0
		if (outcome !== OrderOutcome.Refused) return
		// The engine has seen a higher fence: only a newer one is of use.
		this.fence = undefined
		void this.acquireFence()
	}

	private sleepUntil(at: number): Promise<void> {
		return new Promise(resolve => {
			const done = (): void => {
				clearTimeout(timer)
				this.wake = undefined
				resolve()
			}
			const timer = setTimeout(done, Math.max(1, at - this.options.now()))
			this.wake = done
		})
	}
}
