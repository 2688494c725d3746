/**
 * Base of the tasks that serve one caller's request each: starts the deadline
 * timer, reacts to the caller's disconnect and counts sends.
 */
import type {Member, MemberQuota} from "../../contract/fleet.js"
import type {LogFields} from "../callers/callerExchange.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"
import type {Denial} from "../identity/index.js"
import {QuotaTicket} from "../quotas/index.js"

export abstract class RequestTask {
	/** Sends to endpoints, including those that the endpoint did not run. */
	sends = 0
	/** Sends that an endpoint ran or may have run. */
	protected runs = 0
	mayHaveRun = false
	protected isCancelled = false
	/** Whether the request may be sent as far as its Member's quota goes. */
	private hasBegun = false
	private readonly timer: NodeJS.Timeout
	private readonly endAccessWatch: () => void

	constructor(
		protected readonly ctx: GatewayContext,
		protected readonly request: RoutedRequest
	) {
		const leftMs = request.deadline - ctx.now()
		this.timer = setTimeout(
			() => {
				this.tryHandleDeadline()
			},
			Math.max(1, leftMs)
		)
		const {exchange} = request
		exchange.onDisconnect = () => {
			if (this.hasBegun) this.handleDisconnect()
			else this.cancel()
		}
		exchange.onGivenUp = (reason, retryAfterMs) => {
			this.giveUp(reason, retryAfterMs)
		}
		this.endAccessWatch = ctx.access.watch(() => {
			this.recheckAccess()
		})
	}

	/** Takes the request's share of its Member's quota, if that has one, and begins. */
	start(): void {
		const {member} = this.request
		if (member?.quota === undefined) this.begin()
		else this.takeQuota(member, member.quota)
	}

	/** At its deadline a request ends in any case. */
	private tryHandleDeadline(): void {
		const {ctx, request} = this
		try {
			this.handleDeadline()
		} catch (err) {
			const {exchange} = request
			ctx.log.fault("deadline", err, {request: exchange.head.id})
			exchange.endForFault()
		}
	}

	private begin(): void {
		this.hasBegun = true
		this.ctx.retryBudgets.addRequest(this.request.pool)
		this.dispatch()
	}

	private takeQuota(member: Member, quota: MemberQuota): void {
		const {ctx, request} = this
		const {exchange, deadline, configVersion} = request
		const {id, statedTokens} = exchange.head
		const logFields = {member: member.name, sends: this.sends}
		const ticket = new QuotaTicket({
			quotas: ctx.quotas,
			query: {
				requestId: id,
				member,
				quota,
				version: configVersion,
				statedTokens,
				deadline
			},
			onTaken: ({usePercent}) => {
				request.quotaUse = usePercent
				this.begin()
			},
			onOver: retryAfterMs => {
				this.cancel()
				exchange.refuseOverQuota(retryAfterMs, logFields)
			},
			onUnavailable: retryAfterMs => {
				this.cancel()
				exchange.refuse("no agent gives quotas", retryAfterMs, logFields)
			}
		})
		request.quotaTicket = ticket
		ticket.start()
	}

	protected abstract dispatch(): void

	/** Called when the request's deadline passes. */
	protected abstract handleDeadline(): void

	/**
	 * Called when the request may not be sent. It ends unless a call is open, which
	 * was permitted when it was sent.
	 */
	protected abstract handleDenial(denial: Denial): void

	/** Whether a call to an endpoint is open. */
	protected abstract get hasOpenCall(): boolean

	/**
	 * Called when the request has to end for a reason that isn't its own. If it has not
	 * run, its caller may return after the time.
	 */
	protected abstract giveUp(reason: string, retryAfterMs: number): void

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

	/**
	 * Must be called right before each send. Returns false and handles the denial if
	 * the request may not be sent.
	 */
	protected tryAccess(): boolean {
		const denial = this.ctx.access.checkSend(this.request)
		if (denial === undefined) return true
		this.handleDenial(denial)
		return false
	}

	/** Ends a request at once that waits to be sent when its key is removed. */
	private recheckAccess(): void {
		if (this.isCancelled || !this.request.exchange.isOpen) return
		if (this.hasOpenCall) return
		const denial = this.ctx.access.checkKey(this.request)
		if (denial !== undefined) this.handleDenial(denial)
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
		this.endAccessWatch()
		this.request.quotaTicket?.end()
	}
}
