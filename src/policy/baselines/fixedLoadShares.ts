/** A baseline for comparisons: splits the weight store's load limits evenly among
 * the endpoint processes, whatever their demand. */
import {LoadShares} from "../loadShares.js"
import type {LoadSharesOptions} from "../loadShares.js"
import type {LoadShare} from "../types.js"

export class FixedLoadShares extends LoadShares {
	private readonly options: LoadSharesOptions
	private processes: number

	constructor(options: LoadSharesOptions) {
		super()
		this.options = options
		this.processes = options.processes
	}

	setDemand(): void {
		return
	}

	addFleetDemand(): void {
		return
	}

	addLoad(): void {
		return
	}

	setProcesses(processes: number): void {
		this.processes = processes
	}

	getShare(): LoadShare {
		const {loadsPerSecond, inFlight} = this.options.limits
		const processes = Math.max(1, this.processes)
		return {
			loadsPerSecond: loadsPerSecond / processes,
			inFlight: inFlight / processes
		}
	}
}
