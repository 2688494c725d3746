/**
 * Looks for the endpoint of a plain service that one request is sent to next.
 * Endpoints that state a limit are used with a permit only, and after those that
 * state none.
 */
import type {FleetEndpoint} from "../../contract/fleet.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"

export interface ServiceSearchOptions {
	ctx: GatewayContext
	request: RoutedRequest
	/** Endpoints that the request was sent to. */
	tried: ReadonlySet<string>
	/** Whether the request may be sent once more. */
	canSend: () => boolean
	/** Whether the request has not ended. */
	isOpen: () => boolean
	/** `reason` is the response if the request can't be sent. */
	onFound: (endpoint: FleetEndpoint, reason: string) => void
	onNone: (reason: string) => void
}

/** Share of the route's objective for which a request may wait for a permit. */
const maxPermitWaitObjectives = 0.5

export class ServiceSearch {
	/** When the caller may return for whom no permit was left. */
	permitRetryAfterMs: number | undefined
	/** Cancels the ask for a permit, while there is one. */
	private cancelPermit: (() => void) | undefined

	constructor(private readonly options: ServiceSearchOptions) {}

	/** Looks for the next endpoint; `reason` is the response if there is none. */
	start(reason: string): void {
		if (this.cancelPermit !== undefined) return
		const {permits} = this.options.ctx
		const open = this.listOpenEndpoints()
		const limited = open.filter(endpoint => this.isLimited(endpoint))
		const free = open.filter(endpoint => !this.isLimited(endpoint))
		const asked =
			free.length === 0
				? limited
				: limited.filter(endpoint => permits.isTrialDue(endpoint))
		if (asked.length === 0) this.chooseBest(free, reason)
		else this.askPermit(asked, free.length > 0, reason)
	}

	cancel(): void {
		this.cancelPermit?.()
	}

	/**
	 * Asks for a permit to send to one of the endpoints. Without one, chooses one of
	 * the others, if there are any.
	 */
	private askPermit(
		endpoints: FleetEndpoint[],
		hasOthers: boolean,
		reason: string
	): void {
		const {ctx, request, isOpen} = this.options
		const finish = (
			isUsable: (endpoint: FleetEndpoint) => boolean,
			detail: string
		): void => {
			this.cancelPermit = undefined
			if (!isOpen()) return
			this.chooseBest(this.listOpenEndpoints().filter(isUsable), detail)
		}
		this.cancelPermit = ctx.permits.ask({
			pool: request.pool,
			endpoints,
			maxWaitMs: hasOthers
				? 0
				: request.route.objectiveMs * maxPermitWaitObjectives,
			deadline: request.deadline,
			onPermitted: id => {
				finish(endpoint => endpoint.id === id, reason)
			},
			onRefused: retryAfterMs => {
				ctx.log.request("permit.refused", request.exchange.head.id, {
					endpoints: endpoints.map(({id}) => id),
					retryAfterMs
				})
				this.permitRetryAfterMs = retryAfterMs
				finish(
					endpoint => !this.isLimited(endpoint),
					"over the endpoints' limits"
				)
			}
		})
	}

	/** Chooses the best of the endpoints; `reason` as in `start`. */
	private chooseBest(
		endpoints: readonly FleetEndpoint[],
		reason: string
	): void {
		const {ctx, tried, onFound, onNone} = this.options
		const candidates = endpoints.map(({id, seats, failureDomain}) => ({
			id,
			seats,
			isNear: failureDomain === ctx.failureDomain
		}))
		const id = ctx.services.choose(candidates, tried, ctx.now(), ctx.random)
		const endpoint = id === undefined ? undefined : ctx.fleet.getEndpoint(id)
		if (endpoint === undefined) onNone(reason)
		else onFound(endpoint, reason)
	}

	private isLimited({id, bornAt}: FleetEndpoint): boolean {
		return this.options.ctx.limits.get(id, bornAt) !== undefined
	}

	/** Endpoints that the request may still be sent to. */
	private listOpenEndpoints(): FleetEndpoint[] {
		const {ctx, request, tried, canSend} = this.options
		if (!canSend()) return []
		const now = ctx.now()
		return ctx.fleet
			.listReady(request.pool)
			.filter(({id}) => !tried.has(id) && ctx.pauses.isOpen(id, now))
	}
}
