/**
 * Collects the measurements of one run of the model after its warm-up. A stall
 * is the time from a request's arrival until its adapter became resident at the
 * engine that ran it, 0 when it was resident before.
 */
import {RequestClass} from "../../src/policy/index.js"
import type {Draft} from "../../src/policy/index.js"
import type {Scenario} from "./scenarios.js"

interface Stall {
	at: number
	ms: number
	isDeferrable: boolean
}

const recoveryWindowMs = 10_000
/** A window has recovered up to this multiple of the p95 stall before. */
const maxRecoveredStallRatio = 1.25

export class RunMeasurements {
	arrived = 0
	answered = 0
	answeredByDeadline = 0
	refused = 0
	loads = 0
	/** Answers from the end of the warm-up to the end of the run. */
	private answersAfterWarmUp = 0
	private readonly stalls: Stall[] = []
	private busyMs = 0
	private usedSeatMs = 0
	private readonly batchChangedAt = new Map<string, number>()

	constructor(private readonly scenario: Scenario) {}

	recordArrival(now: number): void {
		if (this.isInMeasuredPeriod(now)) this.arrived += 1
	}

	recordRefusal(draft: Draft): void {
		if (this.isInMeasuredPeriod(draft.arrivedAt)) this.refused += 1
	}

	recordLoad(now: number): void {
		if (this.isAfterWarmUp(now)) this.loads += 1
	}

	recordAnswer(draft: Draft, stallMs: number, now: number): void {
		if (this.isAfterWarmUp(now)) this.answersAfterWarmUp += 1
		const isDeferrable = draft.class === RequestClass.Deferrable
		this.stalls.push({at: draft.arrivedAt, ms: stallMs, isDeferrable})
		if (!this.isInMeasuredPeriod(draft.arrivedAt)) return
		this.answered += 1
		if (now <= draft.deadline) this.answeredByDeadline += 1
	}

	/** Adds the time since the last change of an engine's batch size. */
	addBatchTime(host: string, running: number, now: number): void {
		const since = this.batchChangedAt.get(host) ?? now
		this.batchChangedAt.set(host, now)
		if (running === 0 || !this.isAfterWarmUp(since)) return
		this.busyMs += now - since
		this.usedSeatMs += (now - since) * running
	}

	getStallMs(share: number, deferrable: boolean): number {
		const chosen = this.stalls.filter(
			stall =>
				this.isInMeasuredPeriod(stall.at) && stall.isDeferrable === deferrable
		)
		return getQuantile(chosen, share)
	}

	getAllStallMs(share: number): number {
		const chosen = this.stalls.filter(stall =>
			this.isInMeasuredPeriod(stall.at)
		)
		return getQuantile(chosen, share)
	}

	/** Share of the answered requests whose stall was not 0. */
	getStalledShare(): number {
		const chosen = this.stalls.filter(stall =>
			this.isInMeasuredPeriod(stall.at)
		)
		const stalled = chosen.filter(stall => stall.ms > 0)
		return stalled.length / Math.max(1, chosen.length)
	}

	/** Mean share of an engine's seats in use while it runs any request. */
	getBatchEfficiency(): number {
		return this.usedSeatMs / Math.max(1, this.busyMs * this.scenario.seats)
	}

	getLoadsPerThousandAnswers(): number {
		return (1000 * this.loads) / Math.max(1, this.answersAfterWarmUp)
	}

	/** Answers per second at which the loads would reach the store's limit. */
	getAnswerBoundPerSecond(): number {
		const loadsPerAnswer = this.loads / Math.max(1, this.answersAfterWarmUp)
		return this.scenario.store.loadsPerSecond / loadsPerAnswer
	}

	getAnsweredPerSecond(): number {
		const {durationMs, warmUpMs} = this.scenario
		return (1000 * this.answersAfterWarmUp) / (durationMs - warmUpMs)
	}

	/**
	 * Time from a disturbance at `since` to the end of the first window that has
	 * recovered, by the p95 stall of interactive requests.
	 */
	getRecoveryMs(since: number): number | undefined {
		const {warmUpMs, durationMs} = this.scenario
		const steady = this.getP95StallMs(warmUpMs, since)
		for (
			let at = since;
			at + recoveryWindowMs <= durationMs;
			at += recoveryWindowMs / 2
		) {
			const stall = this.getP95StallMs(at, at + recoveryWindowMs)
			if (stall <= steady * maxRecoveredStallRatio)
				return at + recoveryWindowMs - since
		}
		return undefined
	}

	private getP95StallMs(from: number, until: number): number {
		const chosen = this.stalls.filter(
			stall => stall.at >= from && stall.at < until && !stall.isDeferrable
		)
		return getQuantile(chosen, 0.95)
	}

	private isAfterWarmUp(at: number): boolean {
		return at >= this.scenario.warmUpMs
	}

	/**
	 * Only requests that arrive early enough for every deadline to pass before
	 * the end of the run are measured.
	 */
	private isInMeasuredPeriod(at: number): boolean {
		return (
			at >= this.scenario.warmUpMs && at < getMeasuredPeriodEnd(this.scenario)
		)
	}
}

function getMeasuredPeriodEnd(scenario: Scenario): number {
	return scenario.durationMs - scenario.deferrableWindowMs
}

function getQuantile(stalls: readonly Stall[], share: number): number {
	const sorted = stalls.map(stall => stall.ms).sort((a, b) => a - b)
	return sorted[Math.floor((sorted.length - 1) * share)] ?? 0
}
