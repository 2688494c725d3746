/**
 * The library: the modules of goldcrestloom that other programs can embed.
 *
 * Most are state machines without I/O. The program passes events with the present
 * time to a state machine, executes the actions that it returns, and passes a
 * tick event at the time that it asks for. The state machines share no state, so
 * each can be used without the others.
 */

/**
 * Configuration: parsing and validation of a set of files, differences between
 * two configurations, and the root and parts that a configuration is stored as.
 */
export * from "./contract/config/index.js"

/** Errors, each with the step at which it occurred and the peer involved. */
export * from "./contract/errors.js"

/** Names of adapters as callers (`base:adapter@version`) and engines use them. */
export * from "./contract/names.js"

/** Role and state of a host. */
export * from "./host/host.js"

/**
 * The platform: `Platform` is the interface of an object store with versions and
 * conditional updates; `HttpPlatform` implements it as an HTTP client.
 */
export * from "./link/platform.js"
export {
	HttpPlatform,
	type HttpPlatformOptions,
	type PlatformCalls
} from "./link/httpPlatform.js"

/**
 * Claims: a log of idempotency keys in the platform, which ensures that a call
 * that is not idempotent runs at most once. Keys are hashed to buckets. Entries
 * send the calls of a bucket by preference to one endpoint process, the bucket's
 * home. Tickets are keys issued by an endpoint process that need no write to the
 * platform.
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
 * Configuration propagation ("spread"): each process installs the newest
 * generation that the platform, a peer or an operator reports to it. Its
 * generation never decreases.
 */
export * from "./policy/configSpread.js"
export {
	createSpread,
	getInstalledGeneration,
	knownGeneration,
	type SpreadState
} from "./policy/configSpreadState.js"

/**
 * Fencing: chooses the incarnation of an endpoint process, which it sends to its
 * endpoints as fencing token. It is above all numbers known to have been used and
 * not below the present time, so it can be chosen while the platform is
 * unavailable.
 */
export * from "./policy/fencing.js"

/**
 * Host membership and failure detection, from the platform's list of hosts, which
 * lags, and from announcements and heartbeats on the links.
 */
export {Membership} from "./policy/membership.js"
export * from "./policy/membershipTypes.js"

/** Types shared by admission, scheduling and routing. */
export * from "./policy/types.js"

/**
 * Load shares: divides the capacity of the weight store among endpoint processes
 * by their load demand, without a coordinator.
 */
export {
	DemandLoadShares,
	type FleetDemand,
	LoadShares,
	type LoadSharesOptions,
	type StoreLimits
} from "./policy/loadShares.js"
export {LoadBudget, type LoadBudgetOptions} from "./policy/loadBudget.js"

/**
 * Admission and scheduling: decides which request runs on which engine, which
 * adapters are loaded and evicted, and which requests are refused, with the time
 * after which to retry.
 */
export * from "./policy/scheduler.js"
export {AdapterScheduler} from "./policy/adapterScheduler.js"
export {admit, type Backlog, type Verdict} from "./policy/admission.js"

/** Routing: ranks the endpoint processes for a request and limits retries. */
export * from "./policy/router.js"
export {ResidencyRouter} from "./policy/residencyRouter.js"
export {RetryBudget, type RetryBudgetOptions} from "./policy/retryBudget.js"
export {rankByRendezvous, type RendezvousItem} from "./policy/rendezvous.js"

/** Verifies that a streamed answer is complete and from the requested adapter. */
export * from "./policy/streamCheck.js"

/** Simpler schedulers, routers and load shares, as baselines for comparison. */
export * from "./policy/baselines/index.js"

/** Service-level burn: counts of good and bad requests, burn rates and alerts. */
export * from "./policy/burn.js"
export * from "./policy/burnAlerts.js"

/** Settings from flags and environment variables; all faults are reported at once. */
export * from "./program/settings.js"
