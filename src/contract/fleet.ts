/** Types of the fleet state of gateways: routes, pools, endpoints, versions. */

/** Whether and how a gateway may retry the requests of a route. */
export enum RouteKind {
	/** Idempotent: may be sent again even if an earlier attempt ran. */
	Safe = "safe",
	/** Not idempotent: must run at most once. */
	Unsafe = "unsafe",
	/** A text generation, answered by a stream of events. */
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
	/** Pools that may serve the route, with their traffic weights. */
	pools: readonly PoolShare[]
	/** Upper bound of a request's deadline, counted from its arrival. */
	timeoutMs: number
	/** Latency objective of an answer, or of a generation's first event. */
	objectiveMs: number
	/** Longest gap between two events of a stream that meets the objective. */
	eventGapMs: number
	/** 0 is the most urgent. */
	priority: number
	/** Upper bound of the sends of one request that may have run. */
	maxAttempts: number
	/** Whether another endpoint may continue a generation that broke off. */
	isResumable: boolean
	/** Whether callers need no key. */
	isPublic: boolean
}

/** What a quota counts. */
export enum QuotaUnit {
	Requests = "requests",
	/** Tokens of the prompt and the longest answer that the caller takes. */
	Tokens = "tokens"
}

/** How much a Member may ask of all gateways together. */
export interface MemberQuota {
	unit: QuotaUnit
	perSecond: number
	/** What may be used at once after a time without requests. */
	burst: number
	/** What a request counts that states no tokens. */
	plainTokens: number
}

/** An organisation whose callers identify themselves with one of its keys. */
export interface Member {
	name: string
	keys: readonly string[]
	/** Goes before the priority of the route; undefined if it has none. */
	priority: number | undefined
	/** Undefined if its requests are not limited. */
	quota: MemberQuota | undefined
}

export interface EngineModel {
	name: string
	/** Size of the base model's weights. */
	weightsMb: number
	/** Size of one adapter. */
	adapterMb: number
	/** Expected time to load the model's weights. */
	loadMs: number
}

/** Key of an adapter slot, `model/adapter`, in gateways and agents. */
export function slotKey(model: string, adapter: string): string {
	return `${model}/${adapter}`
}

/** Inverse of `slotKey`. */
export function splitSlotKey(key: string): {model: string; adapter: string} {
	const separator = key.lastIndexOf("/")
	return {model: key.slice(0, separator), adapter: key.slice(separator + 1)}
}

export interface EngineSpec {
	/** Requests that the engine runs concurrently. */
	seats: number
	adapterSlots: number
	/** Capacity of the KV cache, in tokens. */
	memoryTokens: number
	/** Memory for base models and adapters. */
	weightsMb: number
	models: readonly EngineModel[]
}

export interface EndpointPool {
	name: string
	/** Not used by the gateway. */
	maxConnections: number
	/** Undefined for a plain service. */
	engine: EngineSpec | undefined
}

/** Limits on callers' requests and connections. */
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
	/** Undefined if callers need no keys. */
	members: readonly Member[] | undefined
}

export enum EndpointState {
	Ready = "ready",
	Draining = "draining"
}

/** An endpoint, as read from its registration in the platform's store. */
export interface FleetEndpoint {
	id: string
	pool: string
	/** `ip:port`. */
	address: string
	failureDomain: string
	seats: number
	state: EndpointState
	/** Start time, Unix milliseconds; 0 when the registration has none. */
	bornAt: number
	/**
	 * Build of its software; empty when the registration has none. Builds have no
	 * order, and a stream can't be resumed at another build than its first.
	 */
	build: string
	/** Store era and revision of the registration; earlier ones are stale. */
	era: number
	revision: number
	/** Adapters resident at the time of the registration, as `model/adapter`. */
	residents: readonly string[]
}

/** The newest version of an adapter that the platform announced. */
export interface AnnouncedVersion {
	model: string
	adapter: string
	version: number
}
