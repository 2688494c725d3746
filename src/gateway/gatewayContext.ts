/** The dependencies that a gateway passes to each of its request tasks. */
import type {ForwardRoute, Member} from "../contract/fleet.js"
import type {OutputForecast} from "../policy/costs/index.js"
import type {
	EndpointPauses,
	EngineChoice,
	ServiceChoice
} from "../policy/dispatch/index.js"
import type {StatedLimits} from "../policy/limits/index.js"
import type {NoticeBoard} from "../notices/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import type {AgentLinks} from "./links/agentLinks.js"
import type {FleetState} from "./fleet/fleetState.js"
import type {CallerAccess} from "./identity/index.js"
import type {GatewayMetrics} from "./gatewayMetrics.js"
import type {Permits} from "./links/permits.js"
import type {Quotas, QuotaTicket} from "./quotas/index.js"
import type {RetryBudgets} from "./sends/retryBudgets.js"
import type {CrashGuard} from "./crashes/crashGuard.js"
import type {StreamDirectory} from "./streams/index.js"
import type {CallerBuffers} from "./callers/callerBuffers.js"
import type {CallerExchange} from "./callers/callerExchange.js"
import type {WireCodec} from "./wire.js"

export interface GatewayContext {
	wire: WireCodec
	fleet: FleetState
	/** Whether this gateway would have heard of a newer configuration. */
	isConfigCurrent: () => boolean
	access: CallerAccess
	links: AgentLinks
	engines: EngineChoice
	services: ServiceChoice
	forecast: OutputForecast
	pauses: EndpointPauses
	limits: StatedLimits
	permits: Permits
	quotas: Quotas
	streams: StreamDirectory
	notices: NoticeBoard
	guard: CrashGuard
	retryBudgets: RetryBudgets
	log: DecisionLog
	metrics: GatewayMetrics
	callerBuffers: CallerBuffers
	failureDomain: string
	/** Timeout for connecting to an endpoint; the default of the call if absent. */
	connectTimeoutMs?: number | undefined
	/** Monotonic milliseconds. */
	now: () => number
	random: () => number
}

export enum DeadlineSource {
	Caller = "caller",
	Route = "route"
}

/** A caller's request, read completely, with the route that matched it. */
export interface RoutedRequest {
	exchange: CallerExchange
	route: ForwardRoute
	/** Whose request it is; undefined if the caller has stated no known key. */
	member: Member | undefined
	/** Pool that serves it, drawn at random by the weights of the route's pools. */
	pool: string
	body: Buffer
	arrivedAt: number
	/** Earlier of the caller's deadline and the route's timeout. */
	deadline: number
	/** Which of the two `deadline` is. */
	deadlineSource: DeadlineSource
	/** Version of the configuration that the route is from. */
	configVersion: number
	/** Its share of the Member's quota, if that has one. */
	quotaTicket?: QuotaTicket
	/**
	 * What the Member used of its quota lately over all hosts, in percent; undefined
	 * when unknown.
	 */
	quotaUse?: number
}
