/**
 * Shares the weight store among the endpoint processes without a coordinator:
 * each computes its own part from its demand and the fleet's, as the entries
 * report it, and yields when loads take longer than they should.
 */
import type {LoadShare} from "./types.js"

/** Capacity of the weight store, shared by the whole deployment. */
export interface StoreLimits {
	loadsPerSecond: number
	inFlight: number
	loadMs: number
}

/** What one entry sees of the other endpoint processes. */
export interface FleetDemand {
	entry: string
	/** Sum of the others' load demand. */
	demand: number
	/** Number of the others that demand loads. */
	demanding: number
}

export interface LoadSharesOptions {
	limits: StoreLimits
	/** Endpoint processes with engines, by the configuration or the live list. */
	processes: number
}

export abstract class LoadShares {
	/** Takes the loads that this process wants now. */
	abstract setDemand(demand: number): void
	abstract addFleetDemand(fleet: FleetDemand, now: number): void
	/** Takes the time of a load that ended well. */
	abstract addLoad(tookMs: number, now: number): void
	/** Takes the number of endpoint processes after a change. */
	abstract setProcesses(processes: number): void
	abstract getShare(now: number): LoadShare
}

interface Sighting {
	demand: number
	demanding: number
	until: number
}

/** Part of the store that is split evenly among those that demand loads. */
const evenShare = 0.25
const sightingMs = 10_000
const slowLoadFactor = 1.5
const decreaseFactor = 0.85
const increaseStep = 0.05
const minScale = 0.5
const smoothing = 0.2
const adaptIntervalMs = 1000

export class DemandLoadShares extends LoadShares {
	private readonly limits: StoreLimits
	private readonly sightings = new Map<string, Sighting>()
	private processes: number
	private demand = 0
	private scale = 1
	private adaptAt = 0
	private meanMs: number

	constructor(options: LoadSharesOptions) {
		super()
		this.limits = options.limits
		this.processes = options.processes
		this.meanMs = options.limits.loadMs
	}

	setDemand(demand: number): void {
		this.demand = demand
	}

	addFleetDemand(fleet: FleetDemand, now: number): void {
		const {entry, demand, demanding} = fleet
		this.sightings.set(entry, {demand, demanding, until: now + sightingMs})
	}

	setProcesses(processes: number): void {
		this.processes = processes
	}

	addLoad(tookMs: number, now: number): void {
		this.meanMs += smoothing * (tookMs - this.meanMs)
		if (now < this.adaptAt) return
		this.adaptAt = now + adaptIntervalMs
		const isSlow = this.meanMs > getBusyLoadMs(this.limits) * slowLoadFactor
		this.scale = isSlow
			? Math.max(minScale, this.scale * decreaseFactor)
			: Math.min(1, this.scale + increaseStep)
	}

	getShare(now: number): LoadShare {
		const part = this.getPart(now) * this.scale
		return {
			loadsPerSecond: this.limits.loadsPerSecond * part,
			inFlight: this.limits.inFlight * part
		}
	}

	/** This process's part of the store, between 0 and 1. */
	private getPart(now: number): number {
		const others = this.getOthers(now)
		if (!others) return 1 / Math.max(1, this.processes)
		const own = Math.max(1, this.demand)
		const byDemand = own / (own + others.demand)
		const even = 1 / (1 + others.demanding)
		return (1 - evenShare) * byDemand + evenShare * even
	}

	/** The largest demand in sight, as an entry may see only a part. */
	private getOthers(now: number): Sighting | undefined {
		let largest: Sighting | undefined
		for (const [entry, sighting] of this.sightings) {
			if (sighting.until < now) this.sightings.delete(entry)
			else if (!largest || sighting.demand > largest.demand) largest = sighting
		}
		return largest
	}
}

/** Time of a load when the store is fully used, by Little's law. */
function getBusyLoadMs(limits: StoreLimits): number {
	const queuedMs = (1000 * limits.inFlight) / limits.loadsPerSecond
	return Math.max(limits.loadMs, queuedMs)
}
