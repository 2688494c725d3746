/** Finds the route of a request among the routes of a configuration. */
import {PoolType, type Route, type Settings} from "../contract/config/index.js"
import {BadRequestError} from "../contract/errors.js"
import {MethodError} from "./methodError.js"

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
	 * Finds the generation route with that name, or the first one if the name is
	 * empty.
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
	 * Finds the route of a call to a plain service.
	 *
	 * @throws BadRequestError when no route has the path
	 * @throws MethodError when routes have the path, but not with that method
	 */
	findService(method: string, path: string): Route {
		const segments = splitPath(path)
		const routes = this.servicePatterns
			.filter(pattern => matches(pattern.segments, segments))
			.map(pattern => pattern.route)
		const match = routes.find(route => route.method === method)
		if (match !== undefined) return match
		const methods = new Set(routes.map(route => route.method))
		if (methods.size > 0) throw new MethodError(method, path, [...methods])
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
