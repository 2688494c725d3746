/** A baseline for comparisons: prefers the endpoint with the fewest requests per
 * seat, whatever adapters it has; ties are broken at random. */
import {countRequests, filterAdmitting} from "../residencyRouter.js"
import {Router} from "../router.js"
import type {EndpointView, RouteQuery} from "../router.js"

export class LeastLoadedRouter extends Router {
	choose(
		query: RouteQuery,
		endpoints: readonly EndpointView[],
		_now: number,
		random: number
	): string[] {
		const views = filterAdmitting(query, endpoints)
		const offset = Math.floor(random * views.length)
		const rotated = [...views.slice(offset), ...views.slice(0, offset)]
		rotated.sort((a, b) => getRequestsPerSeat(a) - getRequestsPerSeat(b))
		return rotated.map(view => view.id)
	}
}

function getRequestsPerSeat(view: EndpointView): number {
	return countRequests(view) / Math.max(1, view.seats)
}
