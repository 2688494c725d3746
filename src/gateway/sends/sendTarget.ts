/** The engine that was chosen for one send of a generation request. */
import type {FleetEndpoint} from "../../contract/fleet.js"
import type {AgentLink} from "../links/agentLink.js"
import type {FleetState} from "../fleet/fleetState.js"
import type {GatewayContext} from "../gatewayContext.js"

/**
 * Engine and adapter version of a send: those of an agent's grant or, while the
 * agent is disconnected, an engine chosen by its last known residency and the
 * newest announced version.
 */
export interface SendTarget {
	endpoint: FleetEndpoint
	/** Link to the agent that granted; absent when the agent is disconnected. */
	link: AgentLink | undefined
	/** Key of the grant; empty without an agent. */
	key: string
	/**
	 * Id of the engine that receives the request. It differs from that of `endpoint`
	 * if the engine restarted under another id since it was registered.
	 */
	engineId: string
	/** Start time of the engine that was chosen; 0 when unknown. */
	bornAt: number
	/** Pool that the agent states for that engine; undefined if it states none. */
	agentPool: string | undefined
	/** Adapter version that the engine must serve with; 0 for any. */
	version: number
	/** Expected time to the first event, milliseconds. */
	expectedMs: number
	/** Time at which the engine was chosen. */
	ratedAt: number
	/** Time from then to the first event by which the engine was chosen. */
	ratedMs: number
}

/** The engine that answers, whichever registration it was chosen by. */
export function identifyEngine({
	endpoint,
	engineId,
	bornAt
}: SendTarget): Pick<FleetEndpoint, "id" | "bornAt"> {
	return engineId === endpoint.id ? endpoint : {id: engineId, bornAt}
}

/** Registration of the engine that receives the request, if it is known. */
export function findRegistration(
	fleet: FleetState,
	{endpoint, engineId}: Pick<SendTarget, "endpoint" | "engineId">
): FleetEndpoint | undefined {
	const registered = fleet.getEndpoint(engineId)
	return engineId === endpoint.id ? (registered ?? endpoint) : registered
}

/**
 * Pool of the engine that receives the request; undefined while it is not registered and
 * its agent states none. The address at which the agent was asked may have been that of
 * an engine of another pool.
 */
export function findPool(
	fleet: FleetState,
	target: Pick<SendTarget, "endpoint" | "engineId" | "agentPool">
): string | undefined {
	return findRegistration(fleet, target)?.pool ?? target.agentPool
}

/**
 * Build of the engine; undefined while the registration is that of another start,
 * which may have had another build. Without a grant, only the registration tells the
 * start, and it may be outdated: then the build counts as known if no other build can
 * have begun a stream of the last `spanMs`.
 */
export function findBuild(
	{fleet, streams}: Pick<GatewayContext, "fleet" | "streams">,
	target: Pick<SendTarget, "endpoint" | "engineId" | "link" | "bornAt">,
	spanMs: number
): string | undefined {
	const registered = findRegistration(fleet, target)
	if (registered === undefined) return undefined
	const {pool, build} = registered
	const {link, bornAt} = target
	if (link === undefined && streams.findSettled(pool, spanMs) !== build)
		return undefined
	const isSameStart =
		bornAt === 0 || registered.bornAt === 0 || registered.bornAt === bornAt
	return isSameStart ? build : undefined
}
