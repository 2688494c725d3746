/** What a deployment consists of, and how it is laid out on hosts. */

export enum DeploymentName {
	Society = "society",
	Serindit = "serindit"
}

export interface EnginePoolSpec {
	name: string
	workers: number
	slots: number
	seats: number
	msPerToken: number
	/** The engines refuse an order with an old fencing number. */
	checksOrders?: boolean
}

export interface ServicePoolSpec {
	name: string
	workers: number
	callMs: number
}

export interface WeightStoreSpec {
	loadsPerSecond: number
	inFlight: number
	loadMs: number
}

/** The sizes of a deployment. */
export interface DeploymentSpec {
	name: DeploymentName
	failureDomains: string[]
	entries: number
	engines: EnginePoolSpec
	service: ServicePoolSpec
	weightStore: WeightStoreSpec
	adapters: number
}

const common = {slots: 8, seats: 8, msPerToken: 5}

export const deploymentSpecs: Record<DeploymentName, DeploymentSpec> = {
	[DeploymentName.Society]: {
		name: DeploymentName.Society,
		failureDomains: ["bc-coast-a", "bc-coast-b", "bc-coast-c", "bc-coast-d"],
		entries: 3,
		engines: {name: "loom-writers", workers: 13, ...common},
		service: {name: "orders-desk", workers: 4, callMs: 40},
		weightStore: {loadsPerSecond: 5, inFlight: 8, loadMs: 250},
		adapters: 3000
	},
	[DeploymentName.Serindit]: {
		name: DeploymentName.Serindit,
		failureDomains: [
			"cyberjaya-a",
			"cyberjaya-b",
			"shah-alam",
			"petaling-jaya"
		],
		entries: 3,
		engines: {name: "draft-models", workers: 6, ...common},
		service: {name: "returns-portal", workers: 4, callMs: 40},
		weightStore: {loadsPerSecond: 2.5, inFlight: 8, loadMs: 250},
		adapters: 3000
	}
}

/** One endpoint host: its failure domain and the number of its workers. */
export interface EndpointLayout {
	id: string
	pool: string
	failureDomain: string
	workers: number
}

/** Spreads the workers of a pool over one endpoint host in each domain. */
export function layOutPool(
	pool: string,
	workers: number,
	failureDomains: readonly string[]
): EndpointLayout[] {
	const layouts = failureDomains.map((failureDomain, index) => {
		const extra = index < workers % failureDomains.length ? 1 : 0
		const count = Math.floor(workers / failureDomains.length) + extra
		return {id: `${pool}-${index + 1}`, pool, failureDomain, workers: count}
	})
	return layouts.filter(layout => layout.workers > 0)
}
