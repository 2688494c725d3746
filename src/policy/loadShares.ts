/**
 * Divides the capacity of the weight store among the endpoint processes without
 * a coordinator. Each process computes its own share from its load demand and
 * from that of the other processes, which the entries report, and reduces the
 * share while loads are slow.
 */
import type {LoadShare} from "./types.js"

/** Capacity of the weight store, shared by the whole deployment. */
export interface StoreLimits {
	loadsPerSecond: number
	inFlight: number
	loadMs: number
}

/** Load demand of the other endpoint processes, as reported by one entry. */
export interface FleetDemand {
	entry: string
	/** Sum of the load demands of the other processes. */
	demand: number
	/** Number of other processes that have load demand. */
	demanding: number
}

export interface LoadSharesOptions {
	limits: StoreLimits
	/** Number of endpoint processes with engines, configured or listed as live. */
	processes: number
}

export abstract class LoadShares {
	/** Sets the number of adapters that this process wants to load. */
	abstract setDemand(demand: number): void
	abstract addFleetDemand(fleet: FleetDemand, now: number): void
	/** Records the duration of a successful load. */
	abstract addLoad(tookMs: number, now: number): void
	/** Sets the number of endpoint processes with engines. */
	abstract setProcesses(processes: number): void
	abstract getShare(now: number): LoadShare
}

interface DemandReport {
	demand: number
	demanding: number
	expiresAt: number
}

/**
 * Part of the store that is divided evenly among this process and the others
 * that have demand, so that a process with little demand keeps a part of it.
 */
const evenSplitShare = 0.25
/** Time after which a report is ignored. */
const reportTtlMs = 10_000
/** Ratio to the load time at full use above which loads count as slow. */
const slowLoadFactor = 1.5
/** Multiplies `scale` while loads are slow. */
const decreaseFactor = 0.85
/** Added to `scale` while loads are not slow. */
const increaseStep = 0.05
const minScale = 0.5
/** Weight of the newest load in the moving average of load times. */
const meanSmoothing = 0.2
/** Least time between two changes of `scale`. */
const adaptIntervalMs = 1000

export class DemandLoadShares extends LoadShares {
	private readonly limits: StoreLimits
	private readonly reports = new Map<string, DemandReport>()
	private processes: number
	private demand = 0
	/** Factor on the share, from `minScale` to 1. */
	private scale = 1
	private nextAdaptAt = 0
	private meanLoadMs: number

	constructor(options: LoadSharesOptions) {
		super()
		this.limits = options.limits
		this.processes = options.processes
		this.meanLoadMs = options.limits.loadMs
	}

	setDemand(demand: number): void {
		this.demand = demand
	}

	addFleetDemand(fleet: FleetDemand, now: number): void {
		const {entry, demand, demanding} = fleet
		this.reports.set(entry, {demand, demanding, expiresAt: now + reportTtlMs})
	}

	setProcesses(processes: number): void {
		this.processes = processes
	}

	addLoad(tookMs: number, now: number): void {
		this.meanLoadMs += meanSmoothing * (tookMs - this.meanLoadMs)
		if (now < this.nextAdaptAt) return
		this.nextAdaptAt = now + adaptIntervalMs
		const isSlow =
			this.meanLoadMs > getFullUseLoadMs(this.limits) * slowLoadFactor
		this.scale = isSlow
			? Math.max(minScale, this.scale * decreaseFactor)
			: Math.min(1, this.scale + increaseStep)
	}

	getShare(now: number): LoadShare {
		const part = this.getStorePart(now) * this.scale
		return {
			loadsPerSecond: this.limits.loadsPerSecond * part,
			inFlight: this.limits.inFlight * part
		}
	}

	/** Part of the store for this process, from 0 to 1, before `scale` applies. */
	private getStorePart(now: number): number {
		const others = this.getLargestReport(now)
		if (!others) return 1 / Math.max(1, this.processes)
		const own = Math.max(1, this.demand)
		const byDemand = own / (own + others.demand)
		const even = 1 / (1 + others.demanding)
		return (1 - evenSplitShare) * byDemand + evenSplitShare * even
	}

	/** Returns the report with most demand, as an entry may not see all processes. */
	private getLargestReport(now: number): DemandReport | undefined {
		let largest: DemandReport | undefined
		for (const [entry, report] of this.reports) {
			if (report.expiresAt < now) this.reports.delete(entry)
			else if (!largest || report.demand > largest.demand) largest = report
		}
		return largest
	}
}

/** Expected load time at full use of the store, by Little's law. */
function getFullUseLoadMs(limits: StoreLimits): number {
	const queuedMs = (1000 * limits.inFlight) / limits.loadsPerSecond
	return Math.max(limits.loadMs, queuedMs)
}
