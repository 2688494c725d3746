/**
 * Interface of the routers. A router runs in an entry and ranks the endpoint
 * processes for a request by their last reports.
 */
import type {AdapterName, RequestClass} from "./types.js"

export interface RouteQuery {
	adapter: AdapterName
	class: RequestClass
	member: string
	deadline: number
	/** Hash of the prompt's first characters; 0 means random tie-breaks. */
	prefixHash: number
	/** Endpoint processes already tried for this request. */
	excluded: ReadonlySet<string>
	/** Failure domain of the entry that routes the request. */
	failureDomain: string
}

/**
 * An endpoint process as one entry sees it: its last report, its membership
 * state and the entry's own requests there.
 */
export interface EndpointView {
	id: string
	failureDomain: string
	/** False when it is leaving, suspect, not connected or without seats. */
	admitting: boolean
	workers: number
	/** Requests that run at a time, and adapter slots, over all workers. */
	seats: number
	slots: number
	/** Adapters loaded there, and those that are being loaded. */
	resident: ReadonlySet<AdapterName>
	loading: ReadonlySet<AdapterName>
	/** Requests running and queued there by the last report, which lags. */
	running: number
	queued: number
	/** Requests in flight from this entry that the last report can't include. */
	unreportedOwnRequests: number
	/** Time that the latest adapter load took there; assumed when unknown. */
	loadMs: number
}

export interface RouterOptions {
	/** Number of home endpoint processes of each adapter. */
	homeCount: number
	/** Expected time for which a request occupies a seat. */
	serviceMs: number
}

export abstract class Router {
	/**
	 * Returns ids of endpoint processes, the preferred one first. May leave out
	 * the least preferred; empty when no process admits the request.
	 */
	abstract choose(
		query: RouteQuery,
		endpoints: readonly EndpointView[],
		now: number,
		random: number
	): string[]
}
