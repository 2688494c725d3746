/** What the weight store and the engines permit, whatever the policy. */
import type {DeploymentSpec} from "../deployment/index.js"
import {Zipf} from "./random.js"

export interface BoundOptions {
	spec: DeploymentSpec
	zipfExponent: number
	/** Mean tokens of one answer. */
	tokens: number
	/** Longest that requests may wait to share a load. */
	groupingMs: number
}

/** Sustained drafts a second. */
export interface CapacityBound {
	/** Best static residency, each miss with a load of its own. */
	ungrouped: number
	/** As above, with misses of one adapter grouped while the window lasts. */
	grouped: number
	/** Seats of all engines at full batches. */
	seats: number
}

const msPerSecond = 1000
const slowdownPerSequence = 0.02
const searchSteps = 40
const highestRate = 100_000

export function computeBound({
	spec,
	zipfExponent,
	tokens,
	groupingMs
}: BoundOptions): CapacityBound {
	const {workers, slots, seats, msPerToken} = spec.engines
	const {loadsPerSecond} = spec.weightStore
	const zipf = new Zipf(spec.adapters, zipfExponent)
	const resident = workers * slots
	const missShare = 1 - zipf.shareOfTop(resident)
	const stepMs = msPerToken * (1 + slowdownPerSequence * (seats - 1))
	return {
		ungrouped: loadsPerSecond / missShare,
		grouped: findRate(loadsPerSecond, rate =>
			countLoads(zipf, resident, rate, groupingMs / msPerSecond)
		),
		seats: (workers * seats * msPerSecond) / (tokens * stepMs)
	}
}

/** Loads a second when each load serves all that arrive within the window. */
function countLoads(
	zipf: Zipf,
	resident: number,
	rate: number,
	windowSeconds: number
): number {
	let loads = 0
	for (let rank = resident; rank < zipf.count; rank++) {
		const arrivals = rate * zipf.probabilityOf(rank)
		if (arrivals > 0) loads += 1 / (windowSeconds + 1 / arrivals)
	}
	return loads
}

/** The highest rate whose loads stay within the limit. */
function findRate(limit: number, loadsAt: (rate: number) => number): number {
	let low = 0
	let high = highestRate
	for (let i = 0; i < searchSteps; i++) {
		const middle = (low + high) / 2
		if (loadsAt(middle) <= limit) low = middle
		else high = middle
	}
	return low
}
