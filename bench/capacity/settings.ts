/** Settings of the configurations that the benchmarks use. */
import {
	KeyRule,
	PoolType,
	type Pool,
	type Route,
	type Settings
} from "../../src/contract/config/index.js"
import {RequestClass} from "../../src/policy/index.js"

const failureDomains = ["a", "b", "c", "d", "e"]
const msPerHour = 3_600_000

/**
 * Creates a pool and a route for each base model, and a pool and a route of a
 * plain service.
 */
export function createSettings(baseModels: number): Settings {
	const names = Array.from(
		{length: baseModels},
		(_, index) => `loom-${index + 1}`
	)
	return {
		deployment: "capacity",
		failureDomains: failureDomains.map((name, index) => ({
			name,
			region: index < 3 ? "north" : "south"
		})),
		baseModels: names.map(name => ({name})),
		pools: [...names.map(name => createPool(name, name)), createPool("desk")],
		routes: [
			...names.map(name => createRoute(name, name)),
			createRoute("bookings", "desk")
		],
		serviceLevels: [
			{name: "drafts", routes: names, target: 0.999, windowMs: 30_000},
			{name: "bookings", routes: ["bookings"], target: 0.999, windowMs: 10_000}
		],
		weightStore: {loadsPerSecond: 100, inFlight: 64, loadMs: 250},
		objective: {loadStalls: 0.5, batchEfficiency: 0.5},
		retryBudget: {ratio: 0.1, minPerSecond: 1},
		memberWeights: {}
	}
}

function createPool(name: string, baseModel = ""): Pool {
	const isEngines = baseModel !== ""
	return {
		name,
		type: isEngines ? PoolType.Engines : PoolType.Service,
		baseModel,
		slots: isEngines ? 8 : 0,
		seats: 8,
		checksOrders: false,
		failureDomains,
		msPerToken: isEngines ? 20 : 0,
		callMs: isEngines ? 0 : 40
	}
}

export function createRoute(name: string, pool: string): Route {
	return {
		name,
		pool,
		method: "POST",
		path: name,
		class: RequestClass.Interactive,
		idempotent: true,
		maxAttempts: 2,
		key: KeyRule.None,
		coalesce: false,
		maxDeadlineMs: msPerHour
	}
}
