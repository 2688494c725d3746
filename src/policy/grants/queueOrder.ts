/**
 * Decides in which order the waiting requests of an engine are served, which are
 * refused and when refused callers return. Agents use `ObjectiveOrder` until a
 * request carries a Member, and then `FairOrder`.
 */
import type {AdapterSlots} from "./adapterSlots.js"
import type {GrantPace} from "./grantPace.js"
import type {GrantTable} from "./grantTable.js"
import type {AdapterDemand} from "./orderPlan.js"
import type {PrefillRate} from "./prefillRate.js"
import type {
	GrantRefusalReason,
	GrantRequest,
	RequestStanding
} from "./types.js"
import type {WaitingRequests} from "./waitingRequests.js"

/** State of the scheduler that an order depends on. */
export interface QueueContext {
	slots: AdapterSlots
	prefillRate: PrefillRate
	grants: GrantTable
	waiting: WaitingRequests
	pace: GrantPace
	/** Prompt tokens that the engine has to prefill for a request. */
	countPrefillTokens: (request: GrantRequest) => number
	/** Expected interval at which adapter slots become free. */
	getSlotStepMs: () => number
	/** Returns a value in [0, 1). */
	random: () => number
}

/** A request that is to be refused. */
export interface Refusal {
	request: GrantRequest
	reason: GrantRefusalReason
	/** Expected time to the first event. */
	expectedMs: number
	displacedBy?: string
}

export abstract class QueueOrder {
	/** Whether a request that lacks room keeps the room for itself, so that none
	 * behind it is granted. */
	abstract readonly holdsRoom: boolean

	constructor(protected readonly context: QueueContext) {}

	/** All waiting requests in the order of service. */
	abstract rank(now: number): GrantRequest[]

	/**
	 * Decides on a request that arrives. Returns the requests to refuse, which may be
	 * itself or others that wait.
	 */
	abstract admit(request: GrantRequest, now: number): Refusal[]

	/** Waiting requests that have become too late; called at each scheduling. */
	abstract listHopeless(now: number): Refusal[]

	/** Whether the request leaves enough to others that are not there yet. */
	abstract leavesReserve(request: GrantRequest, now: number): boolean

	/** The adapters that waiting requests need, in the order of service. */
	abstract listDemands(now: number): AdapterDemand[]

	/** After what time a refused caller may return. */
	abstract getRetryAfterMs(
		request: GrantRequest,
		expectedMs: number,
		now: number
	): number

	/** The inputs of the request's place, for logs. */
	abstract describe(request: GrantRequest): RequestStanding | undefined

	/** Records that the request was granted. */
	abstract addGrant(request: GrantRequest, now: number): void
}
