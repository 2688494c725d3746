/** Finds limits that contradict each other. */
import {
	type EndpointPool,
	type FleetConfig,
	type ForwardRoute,
	type Member,
	QuotaUnit,
	RouteKind
} from "../fleet.js"
import {
	type Finding,
	findIf,
	memberEntry,
	poolEntry,
	routeEntry
} from "./finding.js"

/** Largest value of a priority, the least urgent. */
const maxPriority = 9

export function checkLimits(config: FleetConfig): Finding[] {
	const {routes, pools, members = []} = config
	return [
		...routes.flatMap(checkRoute),
		...pools.flatMap(checkEngine),
		...members.flatMap((member, index) => [
			...checkSharedKeys(member, members.slice(0, index)),
			...checkPriority(memberEntry(member), member.priority),
			...checkQuota(member)
		])
	]
}

function checkRoute(route: ForwardRoute): Finding[] {
	const {timeoutMs, objectiveMs, eventGapMs, kind, maxAttempts} = route
	const entry = routeEntry(route)
	return [
		...findIf(
			timeoutMs < objectiveMs,
			entry,
			`the timeout of ${timeoutMs} ms is below the objective of ${objectiveMs} ms`
		),
		...findIf(
			eventGapMs > timeoutMs,
			entry,
			`the event gap of ${eventGapMs} ms is above the timeout of ${timeoutMs} ms`
		),
		...findIf(
			kind === RouteKind.Unsafe && maxAttempts > 1,
			entry,
			`has ${maxAttempts} attempts, but its requests must not run twice`
		),
		...findIf(
			kind !== RouteKind.Generation && route.isResumable,
			entry,
			"is resumable, but does not stream"
		),
		...checkPriority(entry, route.priority)
	]
}

function checkPriority(entry: string, priority: number | undefined): Finding[] {
	if (priority === undefined) return []
	return findIf(
		priority < 0 || priority > maxPriority,
		entry,
		`the priority ${priority} is not between 0 and ${maxPriority}`
	)
}

function checkEngine(pool: EndpointPool): Finding[] {
	const {engine} = pool
	if (engine === undefined) return []
	const {adapterSlots, weightsMb, seats, memoryTokens} = engine
	const entry = poolEntry(pool)
	return [
		...findIf(seats <= 0, entry, "its engines run no request"),
		...findIf(memoryTokens <= 0, entry, "its engines hold no tokens"),
		...engine.models.flatMap(model => {
			const baseMb = model.weightsMb
			const neededMb = baseMb + adapterSlots * model.adapterMb
			const isOver = neededMb > weightsMb
			if (baseMb > weightsMb) {
				const text = `model ${model.name} needs ${baseMb} MB of ${weightsMb} MB`
				return [{entry, text}]
			}
			return findIf(
				isOver,
				entry,
				`model ${model.name} with ${adapterSlots} adapter slots needs ${neededMb} MB of ${weightsMb} MB`
			)
		})
	]
}

/** The keys themselves must not be printed. */
function checkSharedKeys(
	member: Member,
	earlier: readonly Member[]
): Finding[] {
	return earlier.flatMap(other =>
		findIf(
			other.keys.some(key => member.keys.includes(key)),
			memberEntry(member),
			`has a key that Member ${other.name} has as well`
		)
	)
}

function checkQuota(member: Member): Finding[] {
	const {quota} = member
	if (quota === undefined) return []
	const {unit, burst, perSecond, plainTokens} = quota
	const isTokens = unit === QuotaUnit.Tokens
	const leastCost = isTokens ? plainTokens : 1
	return findIf(
		burst < leastCost,
		memberEntry(member),
		`the burst of ${burst} does not hold one request, which counts ${leastCost}; the rate is ${perSecond} a second`
	)
}
