/** Finds the route of a request in the configuration in force. */
import {PoolType, type Route, type Settings} from "../contract/config/index.js"
import {BadRequestError} from "../contract/errors.js"

interface ServicePattern {
	route: Route
	segments: string[]
}

const notFound = 404

export class RouteTable {
	private readonly generationRoutes = new Map<string, Route>()
	private readonly servicePatterns: ServicePattern[] = []

	constructor(settings: Settings) {
		const types = new Map(settings.pools.map(pool => [pool.name, pool.type]))
		for (const route of settings.routes) {
			if (types.get(route.pool) === PoolType.Engines) {
				this.generationRoutes.set(route.name, route)
				continue
			}
			this.servicePatterns.push({route, segments: splitPath(route.path)})
		}
	}

	/**
	 * The route of a generation; the first one when the caller names none.
	 *
	 * @throws BadRequestError when there is no such route
	 */
	findGeneration(name: string): Route {
		const [first] = this.generationRoutes.values()
		const route = name === "" ? first : this.generationRoutes.get(name)
		if (route !== undefined) return route
		throw new BadRequestError(
			"x-route",
			name === ""
				? "no generation route is configured"
				: `no generation route is named ${JSON.stringify(name)}`,
			notFound
		)
	}

	/**
	 * The route of a call to a plain service.
	 *
	 * @throws BadRequestError when no route has the method and path
	 */
	findService(method: string, path: string): Route {
		const segments = splitPath(path)
		const match = this.servicePatterns.find(
			pattern =>
				pattern.route.method === method && matches(pattern.segments, segments)
		)
		if (match !== undefined) return match.route
		throw new BadRequestError(
			"path",
			`no route takes ${method} ${path}`,
			notFound
		)
	}
}

function splitPath(path: string): string[] {
	return path.split("/").filter(segment => segment !== "")
}

function matches(
	pattern: readonly string[],
	segments: readonly string[]
): boolean {
	if (pattern.length !== segments.length) return false
	return pattern.every(
		(part, index) => part.startsWith(":") || part === segments[index]
	)
}
