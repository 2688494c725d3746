/** Finds entries that can never match a request, and names that match nothing. */
import {type FleetConfig, type ForwardRoute, RouteKind} from "../fleet.js"
import {
	type Finding,
	findIf,
	memberEntry,
	poolEntry,
	routeEntry
} from "./finding.js"

export function checkMatches(config: FleetConfig): Finding[] {
	const {routes, pools, members = []} = config
	return [
		...findIf(
			config.members?.length === 0,
			"configuration",
			"lists Members, but there is none: only public routes can be used"
		),
		...findRepeatedNames(routes, routeEntry),
		...findRepeatedNames(pools, poolEntry),
		...findRepeatedNames(members, memberEntry),
		...routes.flatMap((route, index) => [
			...checkPrefix(route, routes.slice(0, index)),
			...checkShares(route, config)
		]),
		...pools.flatMap(pool => {
			const isNamed = routes.some(route =>
				route.pools.some(share => share.pool === pool.name)
			)
			return findIf(!isNamed, poolEntry(pool), "no route names it")
		}),
		...members.flatMap(member => {
			const {keys} = member
			const entry = memberEntry(member)
			return [
				...findIf(keys.length === 0, entry, "has no keys"),
				...findIf(keys.includes(""), entry, "has an empty key")
			]
		})
	]
}

function findRepeatedNames<T extends {name: string}>(
	items: readonly T[],
	describe: (item: T) => string
): Finding[] {
	return items.flatMap((item, index) =>
		findIf(
			items.findIndex(({name}) => name === item.name) < index,
			describe(item),
			"the name is used more than once"
		)
	)
}

function checkPrefix(
	route: ForwardRoute,
	earlier: readonly ForwardRoute[]
): Finding[] {
	const {host, pathPrefix} = route
	const entry = routeEntry(route)
	const same = earlier.find(
		other => other.host === host && other.pathPrefix === pathPrefix
	)
	const [begins, ends] = [pathPrefix.startsWith("/"), pathPrefix.endsWith("/")]
	return [
		...findIf(
			same !== undefined,
			entry,
			`never matches: route ${same?.name ?? ""} has the same host and path prefix`
		),
		...findIf(
			!begins,
			entry,
			`never matches: the path prefix ${pathPrefix} does not begin with a slash`
		),
		...findIf(
			!ends,
			entry,
			`the path prefix ${pathPrefix} does not end with a slash and matches longer names too`
		)
	]
}

function checkShares(route: ForwardRoute, {pools}: FleetConfig): Finding[] {
	const entry = routeEntry(route)
	const total = route.pools.reduce((sum, {weight}) => sum + weight, 0)
	if (route.pools.length === 0)
		return [{entry, text: "names no service: each request is refused"}]
	return [
		...findIf(
			total <= 0,
			entry,
			`all weights are 0: service ${route.pools.at(-1)?.pool ?? ""} gets each request`
		),
		...route.pools.flatMap(({pool: name, weight}) => {
			const pool = pools.find(one => one.name === name)
			const isGeneration = route.kind === RouteKind.Generation
			const hasEngine = pool?.engine !== undefined
			return [
				...findIf(
					weight <= 0 && total > 0,
					entry,
					`service ${name} has a weight of ${weight} and gets no request`
				),
				...findIf(
					pool === undefined,
					entry,
					`names the service ${name}, which is not defined`
				),
				...findIf(
					pool !== undefined && hasEngine !== isGeneration,
					entry,
					isGeneration
						? `streams from service ${name}, which has no engine`
						: `does not stream, but service ${name} has an engine`
				)
			]
		})
	]
}
