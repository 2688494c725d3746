/**
 * A request's share of its Member's quota. Asks the parts one after the other, keeps
 * the amount valid until the request is first sent, and returns it if the request
 * ends without having reached an endpoint.
 */
import {orderParts, quotaPartCount} from "../../policy/quotas/index.js"
import {getSuspendedMs} from "../../utils/index.js"
import type {Quotas, QuotaQuery, TakenAmount} from "./quotas.js"

export interface QuotaTicketOptions {
	quotas: Quotas
	query: QuotaQuery
	/** The request may be sent; called once. */
	onTaken: (taken: TakenAmount) => void
	/**
	 * The Member is over its quota; the caller may return after the time. As the next
	 * one, also called if an amount ended before it was used and no other was left.
	 */
	onOver: (retryAfterMs: number) => void
	/** Too few parts could be asked. */
	onUnavailable: (retryAfterMs: number) => void
}

export enum QuotaResultKind {
	Taken = "taken",
	Over = "over",
	Unavailable = "unavailable",
	/** The amount was returned, since the request reached no endpoint. */
	Returned = "returned",
	/** The amount ended before the request was sent, and another one is taken. */
	Renewed = "takenAgain"
}

/** An amount is renewed this long before it ends. */
const renewAheadMs = 500
/** With fewer refusals the Member may be within what the other parts hold. */
const minRefusals = 2

export class QuotaTicket {
	/** Parts that are left to ask. */
	private left: number[] = []
	/** Waits stated by the parts that refused. */
	private waits: number[] = []
	private asked = 0
	private taken: TakenAmount | undefined
	private validUntil = 0
	private hasBegun = false
	private hasBeenSent = false
	private isEnded = false
	private cancelAsk: (() => void) | undefined
	private renewTimer: NodeJS.Timeout | undefined
	private startedAt = 0

	constructor(private readonly options: QuotaTicketOptions) {}

	/** Asks for the amount; calls one of the handlers later. */
	start(): void {
		const {quotas, query} = this.options
		this.startedAt = quotas.getMoment().at
		const refusedMs = Array.from({length: quotaPartCount}, (_, part) =>
			quotas.getRefusedMs(query, part)
		)
		const {parts, waits} = orderParts(refusedMs, quotas.random)
		this.left = parts
		this.waits = waits
		this.asked = 0
		this.askNext()
	}

	/**
	 * Notes that the request reaches an endpoint. Returns false if it must not be
	 * sent, since the amount ended meanwhile, as when this process was suspended.
	 */
	trySend(): boolean {
		if (this.hasBeenSent) return true
		const {taken, options} = this
		if (taken === undefined || this.isEnded) return false
		const now = options.quotas.getMoment()
		const isSuspended = getSuspendedMs(taken.askedAt, now) > 0
		if (isSuspended || now.at >= this.validUntil) {
			this.takeAgain(isSuspended ? "suspended" : "expired")
			return false
		}
		this.hasBeenSent = true
		clearTimeout(this.renewTimer)
		// A renewal that fails from now on must not end the request.
		this.cancelAsk?.()
		this.cancelAsk = undefined
		options.quotas.reportSent(taken)
		return true
	}

	/** Returns the amount unless the request was sent; no handler is called after. */
	end(): void {
		if (this.isEnded) return
		this.isEnded = true
		if (this.taken !== undefined && !this.hasBeenSent)
			this.options.quotas.metrics.countQuota(QuotaResultKind.Returned)
		this.dropAmount()
	}

	private askNext(): void {
		const {quotas, query} = this.options
		const part = this.left.shift()
		if (part === undefined) {
			this.refuse()
			return
		}
		this.asked += 1
		const otherWaitMs = Math.min(...this.waits)
		this.cancelAsk = quotas.askPart(
			{
				...query,
				part,
				renewedKey: undefined,
				isLast: this.left.length === 0,
				otherWaitMs: Number.isFinite(otherWaitMs) ? otherWaitMs : undefined
			},
			{
				onTaken: taken => {
					this.use(taken)
				},
				onOver: retryAfterMs => {
					this.noteRefusal(retryAfterMs)
					this.askNext()
				},
				onUnavailable: () => {
					this.askNext()
				}
			}
		)
	}

	/** The part that is asked last gives the caller a turn of its own. */
	private noteRefusal(retryAfterMs: number): void {
		const isLast = this.left.length === 0
		if (isLast) this.waits = this.waits.map(() => retryAfterMs)
		this.waits.push(retryAfterMs)
	}

	private use(taken: TakenAmount): void {
		const {quotas, query, onTaken} = this.options
		this.cancelAsk = undefined
		this.taken = taken
		this.validUntil = taken.askedAt.at + taken.validMs
		this.renewTimer = setTimeout(
			() => {
				this.renew(taken)
			},
			Math.max(0, this.validUntil - renewAheadMs - quotas.getMoment().at)
		)
		if (this.hasBegun) return
		this.hasBegun = true
		quotas.metrics.countQuota(QuotaResultKind.Taken)
		quotas.log.request("quota.taken", query.requestId, {
			member: query.member.name,
			part: taken.part,
			holder: taken.agentId,
			tokens: quotas.getTokens(query),
			usePercent: taken.usePercent,
			asks: this.asked,
			waitedMs: this.getElapsedMs()
		})
		onTaken(taken)
	}

	/** Has the holder keep the amount for the request, which still waits. */
	private renew(taken: TakenAmount): void {
		const {quotas, query} = this.options
		const {part, key: renewedKey} = taken
		const ask = {...query, part, renewedKey, isLast: false}
		this.cancelAsk = quotas.askPart(
			{...ask, otherWaitMs: undefined},
			{
				onTaken: renewed => {
					this.use(renewed)
				},
				onOver: () => {
					this.takeAgain("over")
				},
				onUnavailable: () => {
					this.takeAgain("unavailable")
				}
			}
		)
	}

	/** Takes another amount, from any part, in place of one that can't be kept. */
	private takeAgain(reason: string): void {
		const {quotas, query} = this.options
		quotas.metrics.countQuota(QuotaResultKind.Renewed)
		quotas.log.request("quota.takenAgain", query.requestId, {
			member: query.member.name,
			part: this.taken?.part,
			reason
		})
		this.dropAmount()
		this.start()
	}

	private dropAmount(): void {
		clearTimeout(this.renewTimer)
		this.cancelAsk?.()
		this.cancelAsk = undefined
		if (this.taken !== undefined && !this.hasBeenSent)
			this.options.quotas.giveBack(this.taken)
		this.taken = undefined
	}

	private refuse(): void {
		const {quotas, query, onOver, onUnavailable} = this.options
		const isOver = this.waits.length >= minRefusals
		const noAnswerMs = quotas.getNoAnswerRetryMs()
		const retryAfterMs = Math.round(
			isOver ? Math.min(...this.waits) : Math.min(noAnswerMs, ...this.waits)
		)
		const kind = isOver ? QuotaResultKind.Over : QuotaResultKind.Unavailable
		quotas.metrics.countQuota(kind)
		quotas.log.request("quota.refused", query.requestId, {
			member: query.member.name,
			reason: kind,
			tokens: quotas.getTokens(query),
			refusals: this.waits.length,
			asks: this.asked,
			retryAfterMs,
			waitedMs: this.getElapsedMs()
		})
		if (isOver) onOver(retryAfterMs)
		else onUnavailable(retryAfterMs)
	}

	private getElapsedMs(): number {
		return Math.round(this.options.quotas.getMoment().at - this.startedAt)
	}
}
