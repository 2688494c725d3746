/**
 * Sends load and unload orders to an engine and reads its reports, strictly one
 * after the other, so that no order is planned from a state that an order in
 * progress is about to change.
 */
import {
	type EngineOrder,
	type EngineReport,
	type GrantScheduler,
	type GrantDecision,
	OrderKind,
	OrderOutcome
} from "../policy/grants/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {messageOf, runDespiteFaults, sleep} from "../utils/common.js"
import {
	EngineGoneError,
	type EnginePort,
	type FencingTokenSource
} from "./enginePort.js"

export interface EngineLoopOptions {
	engine: EnginePort
	fencingTokens: FencingTokenSource
	scheduler: GrantScheduler
	log: DecisionLog
	/** Called with each report, once the engine's id is known; it was asked at that time. */
	onReport?: (askedAt: number) => void
	/** Whether the engine may be ordered; always by default. */
	mayOrder?: () => boolean
	/** Receives the grants and refusals that the scheduler decides after a report. */
	onDecisions: (decisions: readonly GrantDecision[]) => void
	/** Monotonic milliseconds. */
	now: () => number
}

/**
 * Interval of reports while no load or unload is pending. A report crosses no
 * network, since the engine is on the same host, but it costs processor time.
 */
const idleReportIntervalMs = 500
/** Interval of reports while a load takes longer than expected. */
const overdueLoadReportIntervalMs = 15
/**
 * Interval of reports while requests wait and runs whose end only a report shows
 * may block an eviction.
 */
const unconfirmedRunsReportIntervalMs = 50
const reportRetryIntervalMs = 250
/**
 * Maximum age of the report on which an eviction is based. After the report the
 * engine may have received requests that the agent does not know of: from a
 * gateway that lost its link to the agent, or while the agent was paused.
 */
const maxEvictionReportAgeMs = 10
/** Number of consecutive failed reports after which the engine counts as down. */
const reportFailuresUntilDown = 2
const fencingTokenRetryIntervalMs = 500

interface EngineCheck {
	bornAt: number
	askedAt: number
	resolve: (hasEnded: boolean) => void
}

export class EngineLoop {
	/** Fencing token of this agent's orders; undefined until acquired. */
	private fencingToken: number | undefined
	private nextReportAt = 0
	/** Time at which the last successful report was requested. */
	private reportRequestedAt = Number.NEGATIVE_INFINITY
	/** Names of the base models in the last report, to log changes only. */
	private lastModelNames: string | undefined
	private reportFailures = 0
	private isUp = false
	private isStopped = false
	private endSleep: (() => void) | undefined
	/** Incarnations of which it is to be found out whether they have ended. */
	private checks: EngineCheck[] = []

	constructor(private readonly options: EngineLoopOptions) {}

	start(): void {
		void this.acquireFencingToken()
		void runDespiteFaults(
			() => this.run(),
			err => {
				this.options.log.fault("engine loop", err)
				this.nextReportAt = 0
			}
		)
	}

	stop(): void {
		this.isStopped = true
		this.requestPlan()
	}

	/**
	 * Wakes the loop to plan an order. Also brings the next report forward while an
	 * eviction may be blocked by runs whose end only a report shows: those without a
	 * grant, or granted to a gateway that disconnected.
	 */
	requestPlan(): void {
		const {scheduler, now} = this.options
		if (scheduler.hasUnconfirmedRuns) {
			const soon = now() + unconfirmedRunsReportIntervalMs
			this.nextReportAt = Math.min(this.nextReportAt, soon)
		}
		this.endSleep?.()
	}

	/**
	 * Wakes the loop to read a report, after a response of the engine contradicted
	 * the agent's view of it.
	 */
	requestReport(): void {
		this.nextReportAt = 0
		this.endSleep?.()
	}

	/** Finds out by a report whether an incarnation of the engine has ended. */
	check(bornAt: number): Promise<boolean> {
		return new Promise(resolve => {
			this.checks.push({bornAt, askedAt: this.options.now(), resolve})
			this.requestReport()
		})
	}

	/** Ends the checks with what a report shows that was requested after them. */
	private endChecks(
		requestedAt: number,
		hasEnded: (bornAt: number) => boolean
	): void {
		const checks = this.checks
		this.checks = checks.filter(({askedAt}) => askedAt > requestedAt)
		for (const check of checks) {
			if (!this.checks.includes(check)) check.resolve(hasEnded(check.bornAt))
		}
	}

	private async acquireFencingToken(): Promise<void> {
		while (!this.isStopped && this.fencingToken === undefined) {
			try {
				this.fencingToken = await this.options.fencingTokens.acquire()
				this.options.log.decide("fence.acquired", {fence: this.fencingToken})
				this.requestPlan()
			} catch (err) {
				this.options.log.decide("fence.failed", {error: messageOf(err)})
				await sleep(fencingTokenRetryIntervalMs)
			}
		}
	}

	private async run(): Promise<void> {
		while (!this.isStopped) {
			if (this.options.now() >= this.nextReportAt) await this.readReport()
			const mayOrder =
				this.fencingToken !== undefined && this.options.mayOrder?.() !== false
			const order = mayOrder
				? this.options.scheduler.planOrder(this.options.now())
				: undefined
			if (order === undefined || this.fencingToken === undefined) {
				await this.sleepUntil(this.nextReportAt)
				continue
			}
			if (this.isReportFreshEnough(order)) {
				await this.sendOrder(order, this.fencingToken)
				continue
			}
			await this.readReport()
			if (this.reportFailures > 0) await this.sleepUntil(this.nextReportAt)
		}
	}

	private isReportFreshEnough({kind}: EngineOrder): boolean {
		if (kind !== OrderKind.Unload) return true
		return this.options.now() - this.reportRequestedAt <= maxEvictionReportAgeMs
	}

	private async readReport(): Promise<void> {
		const {engine, log, now} = this.options
		const askedAt = now()
		try {
			const report = await engine.report()
			this.reportRequestedAt = askedAt
			this.endChecks(askedAt, bornAt => report.bornAt !== bornAt)
			this.reportFailures = 0
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
			this.options.onReport?.(askedAt)
			this.logModelChange(report)
			this.nextReportAt = this.getNextReportAt()
			this.options.onDecisions(
				this.options.scheduler.schedule(this.options.now())
			)
		} catch (err) {
			const isGone = err instanceof EngineGoneError
			this.reportFailures += isGone ? reportFailuresUntilDown : 1
			this.nextReportAt = this.options.now() + reportRetryIntervalMs
			// A reset of the connection that was kept says nothing yet.
			if (!isGone && this.checks.length > 0 && this.reportFailures === 1)
				this.nextReportAt = 0
			else this.endChecks(askedAt, () => isGone)
			if (this.reportFailures < reportFailuresUntilDown || !this.isUp) return
			this.isUp = false
			log.decide("engine.down", {error: messageOf(err)})
			this.options.scheduler.markDown()
			this.options.onDecisions(
				this.options.scheduler.schedule(this.options.now())
			)
		}
	}

	/** Logs the base models that the engine holds if they changed. */
	private logModelChange({models}: EngineReport): void {
		const names = models.map(({name}) => name).join(" ")
		if (names === this.lastModelNames) return
		this.lastModelNames = names
		const {engine, log} = this.options
		log.decide("models.held", {engine: engine.engineId, models: names})
	}

	private getNextReportAt(): number {
		const now = this.options.now()
		if (this.checks.length > 0) return now
		const {slots} = this.options.scheduler
		if (this.options.scheduler.hasUnconfirmedRuns)
			return now + unconfirmedRunsReportIntervalMs
		if (!slots.hasPendingChange) return now + idleReportIntervalMs
		const readyAt = Math.min(slots.getNextReadyAt(), now + idleReportIntervalMs)
		return Math.max(now + overdueLoadReportIntervalMs, readyAt)
	}

	private async sendOrder(order: EngineOrder, fence: number): Promise<void> {
		const {engine, log} = this.options
		this.options.scheduler.slots.beginOrder(order)
		const outcome = await engine.order(order, fence).catch((err: unknown) => {
			log.fault("order", err)
			return OrderOutcome.Unanswered
		})
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
		const isStateKnown =
			outcome === OrderOutcome.Accepted ||
			(outcome === OrderOutcome.InEffect && order.kind === OrderKind.Unload)
		this.nextReportAt = isStateKnown ? this.getNextReportAt() : 0
		if (outcome !== OrderOutcome.Refused) return
		// Most likely the engine has accepted a higher fencing token and refuses all
		// lower ones, so a new token is acquired.
		this.fencingToken = undefined
		void this.acquireFencingToken()
	}

	private sleepUntil(at: number): Promise<void> {
		return new Promise(resolve => {
			const done = (): void => {
				clearTimeout(timer)
				this.endSleep = undefined
				resolve()
			}
			const timer = setTimeout(done, Math.max(1, at - this.options.now()))
			this.endSleep = done
		})
	}
}
