/**
 * Types of the validated configuration that the operator's files declare, and
 * of the objects that store it on the platform.
 */
import type {RequestClass} from "../../policy/types.js"

export enum PoolType {
	/** Model engines that serve adapters. */
	Engines = "engines",
	/** Plain services; some of their calls are not idempotent. */
	Service = "service"
}

export interface FailureDomain {
	name: string
	region: string
}

export interface BaseModel {
	name: string
}

/** A version of an adapter; its source never changes. */
export interface AdapterVersion {
	version: string
	/** Path of the weights in the weight store. */
	source: string
}

export interface Adapter {
	base: string
	name: string
	versions: AdapterVersion[]
}

/** A set of interchangeable endpoints. */
export interface Pool {
	name: string
	type: PoolType
	/** Base model of an engine pool; empty for a plain service. */
	baseModel: string
	/** Adapter slots of each engine; 0 for a plain service. */
	slots: number
	/** Requests that each endpoint runs concurrently. */
	seats: number
	/**
	 * True when the endpoints reject load, unload and service calls whose fencing
	 * number is lower than the highest they have received.
	 */
	checksOrders: boolean
	/** Failure domains that may serve the pool. */
	failureDomains: string[]
	/** Expected time to generate one token; 0 for a plain service. */
	msPerToken: number
	/** Expected time of one call; 0 for an engine pool. */
	callMs: number
}

export enum KeyRule {
	/** Calls are idempotent; an idempotency key is ignored. */
	None = "none",
	/** An idempotency key is optional; one that the caller sends is honoured. */
	Optional = "optional",
	/** Calls without an idempotency key are rejected. */
	Required = "required"
}

/** A kind of call that callers may make, with its retry rules. */
export interface Route {
	name: string
	pool: string
	/** Method and path below `/v1/services/`; empty for an engine pool. */
	method: string
	path: string
	class: RequestClass
	idempotent: boolean
	/**
	 * After an attempt that may have run, the request is retried only if fewer
	 * attempts than this were made; 1 means never. Calls with an idempotency key
	 * and attempts that certainly did not run have limits of their own.
	 */
	maxAttempts: number
	key: KeyRule
	/** True when identical concurrent calls of one Member share one answer. */
	coalesce: boolean
	/** Longest deadline that a caller may request, counted from arrival. */
	maxDeadlineMs: number
}

/** Target share of requests answered completely, and once, within a time window. */
export interface ServiceLevel {
	name: string
	/** Names of the routes whose requests count. */
	routes: string[]
	/** For example 0.999. */
	target: number
	/** Longest time from a request's arrival to its complete answer. */
	windowMs: number
}

/** Capacity of the weight store, shared by the whole deployment. */
export interface WeightStoreLimits {
	loadsPerSecond: number
	/** Upper bound of concurrent loads. */
	inFlight: number
	/** Expected time to load one adapter. */
	loadMs: number
}

/** Relative weights, 0 to 1, of avoiding load stalls and of batch efficiency. */
export interface ConfigObjective {
	loadStalls: number
	batchEfficiency: number
}

/** Limit on retries, as a share of recent requests. */
export interface RetryBudgetRule {
	ratio: number
	/** Retries per second that are permitted even when there are few requests. */
	minPerSecond: number
}

/** The configuration without its adapters; small enough for every process. */
export interface Settings {
	deployment: string
	failureDomains: FailureDomain[]
	baseModels: BaseModel[]
	pools: Pool[]
	routes: Route[]
	serviceLevels: ServiceLevel[]
	weightStore: WeightStoreLimits
	objective: ConfigObjective
	retryBudget: RetryBudgetRule
	/** Fair-share weight by Member; 1 when absent. */
	memberWeights: Record<string, number>
}

export interface Configuration {
	settings: Settings
	adapters: Adapter[]
}

/**
 * An apply listed in the root. An operator command that got no answer to its
 * write looks for its own record to learn whether the write took effect.
 */
export interface ApplyRecord {
	id: string
	generation: number
	operator: string
	/** Unix milliseconds. */
	at: number
	summary: string
}

/**
 * The root object. An apply writes the parts first and then the root; the
 * configuration is accepted when the conditional write of the root succeeds.
 */
export interface ConfigRoot {
	generation: number
	settings: Settings
	/** Hash of the part of each adapter bucket; "" for an empty bucket. */
	buckets: string[]
	/** Recent applies, newest first. */
	applies: ApplyRecord[]
}

/** Content of one part: the adapters whose keys hash into its bucket. */
export interface ConfigPartContent {
	adapters: Adapter[]
}

/** A part as stored on the platform. */
export interface StoredPart extends ConfigPartContent {
	/**
	 * Unix milliseconds at which an apply last wrote or reused the part. Prune
	 * removes a part once this is old enough, unless the current root lists it.
	 */
	writtenAt: number
}

/** Kinds and name of the platform objects that store the configuration. */
export const configRootKind = "config"
export const configRootName = "root"
export const configPartKind = "config-part"
