/** A baseline for comparisons: ranks the endpoints of an adapter by rendezvous
 * hashing weighted by seats, whatever their load. */
import {rankByRendezvous} from "../rendezvous.js"
import {filterAdmitting} from "../residencyRouter.js"
import {Router} from "../router.js"
import type {EndpointView, RouteQuery} from "../router.js"

export class StaticHashRouter extends Router {
	choose(query: RouteQuery, endpoints: readonly EndpointView[]): string[] {
		const views = filterAdmitting(query, endpoints)
		const items = views.map(view => ({id: view.id, weight: view.seats}))
		return rankByRendezvous(query.adapter, items)
	}
}
