/**
 * The library: the parts of goldcrestloom that other programs can embed.
 *
 * Most parts are state machines without I/O. A program feeds them events with
 * the present time, carries out the actions that they return, and sends a tick
 * when they ask for one. They share nothing, so each can be used alone.
 */

/**
 * Configuration: files parsed and validated as a whole, differences, and the
 * parts that a configuration is stored as.
 */
export * from "./contract/config/index.js"

/** Errors, each with the step and the peer at which it arose. */
export * from "./contract/errors.js"

/** Names of adapters towards callers (`base:adapter@version`) and engines. */
export * from "./contract/names.js"

/** What a host is, and whether it is live or leaving. */
export * from "./host/host.js"

/**
 * The platform: `Platform` is the interface to implement for an object API
 * with versions and conditional updates; `HttpPlatform` is its HTTP client.
 */
export * from "./link/platform.js"
export {
	HttpPlatform,
	type HttpPlatformOptions,
	type PlatformCalls
} from "./link/httpPlatform.js"

/**
 * Claims: a log of idempotency keys in the platform, by which a call that is
 * not idempotent runs at most once. Keys are spread over buckets, and each
 * bucket has a home; tickets are keys that need no write to the platform.
 */
export {ClaimBucket} from "./policy/claims.js"
export * from "./policy/claimTypes.js"
export * from "./policy/claimLog.js"
export {
	computeBucket,
	claimBucketCount,
	hasMovedHome,
	type KeyScope,
	formatScopedKey,
	listHomeBuckets,
	rankHomes
} from "./policy/claimHome.js"
export * from "./policy/tickets.js"

/**
 * Spread of configuration: every process moves to the newest generation it
 * hears of from the platform, its peers or an operator, and never back.
 */
export * from "./policy/configSpread.js"
export {
	createSpread,
	getInstalledGeneration,
	knownGeneration,
	type SpreadState
} from "./policy/configSpreadState.js"

/** Fencing: incarnations that only rise, taken with or without the platform. */
export * from "./policy/fencing.js"

/** Membership: hosts by the platform's lagging list and by link evidence. */
export {Membership} from "./policy/membership.js"
export * from "./policy/membershipTypes.js"

/** Common data of admission, scheduling and routing. */
export * from "./policy/types.js"

/** Load shares: one weight store divided by demand, without a coordinator. */
export {
	DemandLoadShares,
	type FleetDemand,
	LoadShares,
	type LoadSharesOptions,
	type StoreLimits
} from "./policy/loadShares.js"
export {LoadBudget, type LoadBudgetOptions} from "./policy/loadBudget.js"

/**
 * Admission and scheduling: which request runs on which engine, what is loaded
 * and evicted, and which requests are refused with a time to retry.
 */
export * from "./policy/scheduler.js"
export {AdapterScheduler} from "./policy/adapterScheduler.js"
export {admit, type Backlog, type Verdict} from "./policy/admission.js"

/** Routing: which endpoint process gets a request, and how often it is retried. */
export * from "./policy/router.js"
export {ResidencyRouter} from "./policy/residencyRouter.js"
export {RetryBudget, type RetryBudgetOptions} from "./policy/retryBudget.js"
export {rankByRendezvous, type RendezvousItem} from "./policy/rendezvous.js"

/** Checks that a stream of a generation is whole and comes from its adapter. */
export * from "./policy/streamCheck.js"

/** Simpler schedulers, routers and load shares, to compare with. */
export * from "./policy/baselines/index.js"

/** Service-level burn: counts of good and bad requests, rates and alerts. */
export * from "./policy/burn.js"
export * from "./policy/burnAlerts.js"

/** Settings from flags and environment variables, checked all at once. */
export * from "./program/settings.js"
