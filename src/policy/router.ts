/**
 * The interface of a router: which endpoint process gets a request, from what
 * one entry knows of the fleet.
 */
import type {AdapterName, RequestClass} from "./types.js"

export interface RouteQuery {
	adapter: AdapterName
	class: RequestClass
	member: string
	deadline: number
	prefixHash: number
	/** Endpoint processes already tried for this request. */
	excluded: ReadonlySet<string>
	/** Failure domain of the entry. */
	failureDomain: string
}

/** What an entry knows of one endpoint process. */
export interface EndpointView {
	id: string
	failureDomain: string
	/** False when leaving, suspected or not connected. */
	admitting: boolean
	workers: number
	/** Seats and slots summed over the workers. */
	seats: number
	slots: number
	resident: ReadonlySet<AdapterName>
	loading: ReadonlySet<AdapterName>
	/** As last reported; lags. */
	running: number
	queued: number
	/** Requests this entry sent that the last report cannot include. */
	ownUnreported: number
	/** Recent time to load one adapter there, in milliseconds. */
	loadMs: number
}

export interface RouterOptions {
	/** Length of the stable preference list of an adapter. */
	homes: number
	/** Expected time one request occupies a seat, in milliseconds. */
	serviceMs: number
}

export abstract class Router {
	/**
	 * Endpoint processes in order of preference, or the first of them; empty
	 * when none admits.
	 */
	abstract choose(
		query: RouteQuery,
		endpoints: readonly EndpointView[],
		now: number,
		random: number
	): string[]
}
