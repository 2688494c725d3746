/** A baseline: the endpoint with the fewest requests a seat, blind to adapters. */
import {countRequests, getAdmitting} from "../residencyRouter.js"
import {Router} from "../router.js"
import type {EndpointView, RouteQuery} from "../router.js"

export class LeastLoadedRouter extends Router {
	choose(
		query: RouteQuery,
		endpoints: readonly EndpointView[],
		_now: number,
		random: number
	): string[] {
		const views = getAdmitting(query, endpoints)
		const offset = Math.floor(random * views.length)
		const turned = [...views.slice(offset), ...views.slice(0, offset)]
		turned.sort((a, b) => getLoad(a) - getLoad(b))
		return turned.map(view => view.id)
	}
}

function getLoad(view: EndpointView): number {
	return countRequests(view) / Math.max(1, view.seats)
}
