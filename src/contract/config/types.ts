/**
 * The configuration as the processes use it: what the operator's files declare,
 * validated as a whole.
 */
import type {RequestClass} from "../../policy/types.js"

export enum PoolType {
	/** Model engines that serve adapters. */
	Engines = "engines",
	/** Plain services, some of whose calls may not be repeated. */
	Service = "service"
}

export interface FailureDomain {
	name: string
	region: string
}

export interface BaseModel {
	name: string
}

/** An immutable version of an adapter. */
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

/** A set of like endpoints. */
export interface Pool {
	name: string
	type: PoolType
	/** Base model of an engine pool; empty for a plain service. */
	baseModel: string
	/** Adapter slots of each engine; 0 for a plain service. */
	slots: number
	/** Requests each endpoint runs at a time. */
	seats: number
	/** True when the endpoints refuse an order with an old fencing number. */
	checksOrders: boolean
	/** Failure domains the pool may be served from. */
	failureDomains: string[]
	/** Expected time to generate one token; 0 for a plain service. */
	msPerToken: number
	/** Expected time of one call; 0 for an engine pool. */
	callMs: number
}

export enum KeyRule {
	/** Calls are idempotent; keys are ignored. */
	None = "none",
	/** A key is honoured when the caller sends one. */
	Optional = "optional",
	/** A call without a key is refused. */
	Required = "required"
}

/** What callers may do, and how it may be retried. */
export interface Route {
	name: string
	pool: string
	/** For services: the method and path below `/v1/services/`. */
	method: string
	path: string
	class: RequestClass
	idempotent: boolean
	/** Attempts in all after failures that may have run; 1 means no retry. */
	maxAttempts: number
	key: KeyRule
	/** Identical concurrent calls of one Member share one answer. */
	coalesce: boolean
	/** Longest deadline a caller may ask for, from arrival. */
	maxDeadlineMs: number
}

/** A target share of requests answered complete, once, in the window. */
export interface ServiceLevel {
	name: string
	/** Names of the routes it counts. */
	routes: string[]
	/** For example 0.999. */
	target: number
	/** Agreed window from arrival to complete answer. */
	windowMs: number
}

/** Capacity of the weight store, shared by the whole deployment. */
export interface WeightStoreLimits {
	loadsPerSecond: number
	inFlight: number
	loadMs: number
}

export interface ConfigObjective {
	loadStalls: number
	batchEfficiency: number
}

/** Retries permitted, as a share of recent requests. */
export interface RetryBudgetRule {
	ratio: number
	/** Retries always permitted per second, for quiet times. */
	minPerSecond: number
}

/** Everything but the adapters; small, held by every process. */
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
	/** Relative share of a Member under contention; 1 when absent. */
	memberWeights: Record<string, number>
}

export interface Configuration {
	settings: Settings
	adapters: Adapter[]
}

/** An apply that the root remembers, so that a lost answer can be settled. */
export interface ApplyRecord {
	id: string
	generation: number
	operator: string
	at: number
	summary: string
}

/**
 * The root object. Parts are content-addressed and written before the root;
 * the conditional write of the root is the acceptance.
 */
export interface ConfigRoot {
	generation: number
	settings: Settings
	/** Hash of the part of each adapter bucket, "" for an empty bucket. */
	buckets: string[]
	/** Recent applies, newest first. */
	applies: ApplyRecord[]
}

/** Content of one part: the adapters whose key hashes into the bucket. */
export interface ConfigPartContent {
	adapters: Adapter[]
}

/** A part as the platform holds it. */
export interface StoredPart extends ConfigPartContent {
	/** When an apply last wrote or relied on it; parts in use may be older. */
	writtenAt: number
}

/** Kind and names of the platform's objects that hold the configuration. */
export const configRootKind = "config"
export const configRootName = "root"
export const configPartKind = "config-part"
