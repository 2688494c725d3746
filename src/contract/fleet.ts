/** The fleet as gateways and agents see it: routes, endpoints and versions. */

/** What may be repeated of a request, from its route. */
export enum RouteKind {
	/** May run any number of times. */
	Safe = "safe",
	/** Runs at most once. */
	Unsafe = "unsafe",
	/** A generation, answered by a stream of events. */
	Generation = "generation"
}

export interface PoolShare {
	pool: string
	weight: number
}

export interface ForwardRoute {
	name: string
	host: string
	/** Begins and ends with a slash. */
	pathPrefix: string
	kind: RouteKind
	/** Pools that may serve it, by weight. */
	pools: readonly PoolShare[]
	/** Longest time that a caller is kept waiting, milliseconds. */
	timeoutMs: number
	/** Time within which an answer counts as on time, milliseconds. */
	objectiveMs: number
	/** Longest pause between events that counts as on time, milliseconds. */
	eventGapMs: number
	/** 0 is the most urgent. */
	priority: number
	/** Endpoints that one request may be sent to. */
	maxAttempts: number
	/** Whether a generation may go on at another endpoint. */
	isResumable: boolean
}

export interface EngineModel {
	name: string
	weightsMb: number
	adapterMb: number
	/** Time that loading the weights takes, milliseconds. */
	loadMs: number
}

/** Names an adapter of a base model wherever gateways and agents compare them. */
export function slotKey(model: string, adapter: string): string {
	return `${model}/${adapter}`
}

export interface EngineSpec {
	seats: number
	adapterSlots: number
	memoryTokens: number
	weightsMb: number
	models: readonly EngineModel[]
}

export interface EndpointPool {
	name: string
	maxConnections: number
	/** Absent for a plain service. */
	engine: EngineSpec | undefined
}

/** Bounds on what callers may send. */
export interface CallerLimits {
	maxHeaderBytes: number
	maxBodyBytes: number
	headerTimeoutMs: number
	idleTimeoutMs: number
}

export interface FleetConfig {
	version: number
	routes: readonly ForwardRoute[]
	pools: readonly EndpointPool[]
	limits: CallerLimits
}

export enum EndpointState {
	Ready = "ready",
	Draining = "draining"
}

/** One worker, as it registered itself. */
export interface FleetEndpoint {
	id: string
	pool: string
	/** `ip:port`. */
	address: string
	failureDomain: string
	seats: number
	state: EndpointState
	/** Unix milliseconds of its start; 0 when it doesn't say. */
	bornAt: number
	/** Revision of the registration; a lower one is older news. */
	revision: number
	/** Resident adapters as `model/adapter`, as old as the registration. */
	residents: readonly string[]
}

/** The newest announced version of an adapter. */
export interface AnnouncedVersion {
	model: string
	adapter: string
	version: number
}
