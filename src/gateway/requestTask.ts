/**
 * Base of the tasks that serve one caller's request each: starts the deadline
 * timer, reacts to the caller's disconnect and counts sends.
 */
import type {LogFields} from "./callerExchange.js"
import type {GatewayContext, RoutedRequest} from "./gatewayContext.js"

export abstract class RequestTask {
	/** Sends to endpoints, including those that the endpoint did not run. */
	sends = 0
	/** Sends that an endpoint ran or may have run. */
	protected runs = 0
	mayHaveRun = false
	protected isCancelled = false
	private readonly timer: NodeJS.Timeout

	constructor(
		protected readonly ctx: GatewayContext,
		protected readonly request: RoutedRequest
	) {
		const leftMs = request.deadline - ctx.now()
		this.timer = setTimeout(
			() => {
				this.handleDeadline()
			},
			Math.max(1, leftMs)
		)
		const {exchange} = request
		exchange.onDisconnect = () => {
			this.handleDisconnect()
		}
		exchange.onOverflow = () => {
			this.handleOverflow()
		}
	}

	start(): void {
		this.ctx.retryBudgets.addRequest(this.request.pool)
		this.dispatch()
	}

	protected abstract dispatch(): void

	/** Called when the request's deadline passes. */
	protected abstract handleDeadline(): void

	/** Called when the request has to end because the process's buffers are full. */
	protected abstract handleOverflow(): void

	/** Called when the caller disconnects before its response is complete. */
	protected abstract handleDisconnect(): void

	/**
	 * Time until the first endpoint of the pool wants requests again, if all of its
	 * ready endpoints want none now; undefined otherwise.
	 */
	protected getPauseLeftMs(): number | undefined {
		const {fleet, pauses, now} = this.ctx
		const at = now()
		const ids = fleet.listReady(this.request.pool).map(({id}) => id)
		if (ids.length === 0 || ids.some(id => pauses.isOpen(id, at)))
			return undefined
		return pauses.getEarliestReturn(ids, at) - at
	}

	/** What set the deadline, for the log line of a request that reached it. */
	protected get deadlineFields(): LogFields {
		const {deadlineSource, configVersion} = this.request
		return {deadlineSource, configVersion}
	}

	/** Prevents further sends; subclasses also abort the send in progress. */
	protected cancel(): void {
		this.clearTimers()
		this.isCancelled = true
	}

	protected clearTimers(): void {
		clearTimeout(this.timer)
	}
}
