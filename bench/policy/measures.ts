/** What one run of the model measures after its warm-up. */
import {RequestClass} from "../../src/policy/index.js"
import type {Draft} from "../../src/policy/index.js"
import type {Scenario} from "./scenarios.js"

interface Stall {
	at: number
	ms: number
	isDeferrable: boolean
}

const windowMs = 10_000
/** A window counts as recovered up to this multiple of the steady stall. */
const recoveredFactor = 1.25

export class Measures {
	arrived = 0
	answered = 0
	inWindow = 0
	refused = 0
	loads = 0
	/** Answers between the warm-up and the end of the run. */
	private ended = 0
	private readonly stalls: Stall[] = []
	private busyMs = 0
	private seatMs = 0
	private readonly changedAt = new Map<string, number>()

	constructor(private readonly scenario: Scenario) {}

	arrive(now: number): void {
		if (this.isMeasured(now)) this.arrived += 1
	}

	refuse(draft: Draft): void {
		if (this.isMeasured(draft.arrivedAt)) this.refused += 1
	}

	load(now: number): void {
		if (this.isWarm(now)) this.loads += 1
	}

	answer(draft: Draft, stallMs: number, now: number): void {
		if (this.isWarm(now)) this.ended += 1
		const isDeferrable = draft.class === RequestClass.Deferrable
		this.stalls.push({at: draft.arrivedAt, ms: stallMs, isDeferrable})
		if (!this.isMeasured(draft.arrivedAt)) return
		this.answered += 1
		if (now <= draft.deadline) this.inWindow += 1
	}

	/** Counts the time since the last change of an engine's batch. */
	addBatchTime(host: string, running: number, now: number): void {
		const since = this.changedAt.get(host) ?? now
		this.changedAt.set(host, now)
		if (running === 0 || !this.isWarm(since)) return
		this.busyMs += now - since
		this.seatMs += (now - since) * running
	}

	getStallMs(share: number, deferrable: boolean): number {
		const chosen = this.stalls.filter(
			stall => this.isMeasured(stall.at) && stall.isDeferrable === deferrable
		)
		return getQuantile(chosen, share)
	}

	getAllStallMs(share: number): number {
		const chosen = this.stalls.filter(stall => this.isMeasured(stall.at))
		return getQuantile(chosen, share)
	}

	/** Share of the answers that waited for their adapter at all. */
	getStalledShare(): number {
		const chosen = this.stalls.filter(stall => this.isMeasured(stall.at))
		const stalled = chosen.filter(stall => stall.ms > 0)
		return stalled.length / Math.max(1, chosen.length)
	}

	/** Mean part of the seats in use while an engine runs anything. */
	getBatchEfficiency(): number {
		return this.seatMs / Math.max(1, this.busyMs * this.scenario.seats)
	}

	getLoadsPerThousand(): number {
		return (1000 * this.loads) / Math.max(1, this.ended)
	}

	/** Answers a second that the weight store permits at this loads per answer. */
	getBoundPerSecond(): number {
		const perAnswer = this.loads / Math.max(1, this.ended)
		return this.scenario.store.loadsPerSecond / perAnswer
	}

	getAnsweredPerSecond(): number {
		const {durationMs, warmUpMs} = this.scenario
		return (1000 * this.ended) / (durationMs - warmUpMs)
	}

	/** Time from `since` until the p95 stall of requests is steady again. */
	getRecoveryMs(since: number): number | undefined {
		const {warmUpMs, durationMs} = this.scenario
		const steady = this.getWindowStallMs(warmUpMs, since)
		for (let at = since; at + windowMs <= durationMs; at += windowMs / 2) {
			const stall = this.getWindowStallMs(at, at + windowMs)
			if (stall <= steady * recoveredFactor) return at + windowMs - since
		}
		return undefined
	}

	private getWindowStallMs(from: number, until: number): number {
		const chosen = this.stalls.filter(
			stall => stall.at >= from && stall.at < until && !stall.isDeferrable
		)
		return getQuantile(chosen, 0.95)
	}

	private isWarm(at: number): boolean {
		return at >= this.scenario.warmUpMs
	}

	/** Requests count only when their windows close before the run ends. */
	private isMeasured(at: number): boolean {
		return at >= this.scenario.warmUpMs && at < getMeasuredUntil(this.scenario)
	}
}

function getMeasuredUntil(scenario: Scenario): number {
	return scenario.durationMs - scenario.deferrableWindowMs
}

function getQuantile(stalls: readonly Stall[], share: number): number {
	const sorted = stalls.map(stall => stall.ms).sort((a, b) => a - b)
	return sorted[Math.floor((sorted.length - 1) * share)] ?? 0
}
