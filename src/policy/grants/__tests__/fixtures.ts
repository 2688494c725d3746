import type {EngineLimits, EngineReport, GrantRequest} from "../types.js"

export const limits: EngineLimits = {
	seats: 64,
	adapterSlots: 2,
	memoryTokens: 100_000,
	weightsMb: 66_000,
	models: [{name: "base", weightsMb: 65_000, adapterMb: 12, loadMs: 2000}]
}

/** A request that arrives at `now`, by default with a prompt of 2,000 tokens. */
export function createRequest(
	key: string,
	now: number,
	options: Partial<GrantRequest> = {}
): GrantRequest {
	return {
		key,
		requestId: key,
		owner: "g1",
		model: "base",
		adapter: "a1",
		parts: [{id: key, tokens: 2000}],
		promptTokens: 2000,
		outputTokens: 30,
		priority: 1,
		objectiveAt: now + 800,
		startBy: now + 2000,
		deadline: now + 4000,
		...options
	}
}

/** A report of an engine with resident `adapters` of the base model. */
export function createReport(
	adapters: readonly string[],
	options: Partial<EngineReport> = {}
): EngineReport {
	return {
		bornAt: 1,
		sequence: 0,
		isBusy: false,
		running: 0,
		runIds: undefined,
		models: [
			{
				name: "base",
				adapters: adapters.map(adapter => ({adapter, version: 1}))
			}
		],
		incoming: [],
		memoryTokens: 100_000,
		...options
	}
}
