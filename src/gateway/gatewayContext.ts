/** What all request tasks of a gateway share. */
import type {ForwardRoute} from "../contract/fleet.js"
import type {EngineChoice, ServiceChoice} from "../policy/dispatch/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import type {AgentLinks} from "./agentLinks.js"
import type {FleetState} from "./fleetState.js"
import type {GatewayMetrics} from "./gatewayMetrics.js"
import type {RepeatBudgets} from "./repeatBudgets.js"
import type {CallerExchange} from "./callerExchange.js"
import type {Wire} from "./wire.js"

export interface GatewayContext {
	wire: Wire
	fleet: FleetState
	links: AgentLinks
	engines: EngineChoice
	services: ServiceChoice
	repeats: RepeatBudgets
	log: DecisionLog
	metrics: GatewayMetrics
	failureDomain: string
	/** Monotonic milliseconds. */
	now: () => number
	random: () => number
}

/** A caller's request that found its route. */
export interface RoutedRequest {
	exchange: CallerExchange
	route: ForwardRoute
	/** Pool that serves it, picked from the route's shares. */
	pool: string
	body: Buffer
	arrivedAt: number
	/** Earlier of the caller's deadline and the route's timeout. */
	deadline: number
}
