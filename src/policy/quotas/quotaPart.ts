/**
 * One part of the quotas of all Members, as its holder keeps it. Amounts that were
 * taken and of which nothing is heard within their time count as sent.
 */
import {
	type BucketStart,
	MemberPart,
	type QuotaQuery,
	type QuotaRefusal
} from "./memberPart.js"
import {amountValidMs, type QuotaBounds, type QuotaTerms} from "./types.js"

export interface QuotaPartOptions {
	bounds: QuotaBounds
	/** Time from which the process holds the part. */
	heldSince: number
	/** Whether another process may have held it shortly before. */
	hasPredecessor: boolean
	/** Members remembered; those that asked longest ago are forgotten first. */
	maxMembers?: number
}

export interface TakeQuery extends QuotaQuery {
	/** Identifies the amount; unique among all hosts. */
	key: string
	member: string
	terms: QuotaTerms
	/** Whether the amount was taken before and has not been sent yet. */
	isRenewal: boolean
}

export interface TakeResult {
	/** Undefined if the amount was taken. */
	refusal: QuotaRefusal | undefined
	usePercent: number
	/** Whether the Member was within its quota at its last ask. */
	hasChanged: boolean
	/** Inputs of the decision, for the log. */
	fields: Record<string, number>
}

interface TakenAmount {
	part: MemberPart
	amount: number
	expiresAt: number
}

const defaultMaxMembers = 20_000
/** Longer than the window and the time for which amounts are valid. */
const minIdleMs = 30_000
/** Members checked for being idle at each ask. */
const idleChecks = 2

export class QuotaPart {
	/** Members in the order of their last asks. */
	private readonly members = new Map<string, MemberPart>()
	/** Taken amounts in the order of their expiry. */
	private readonly taken = new Map<string, TakenAmount>()
	private start: BucketStart
	private readonly idleMs: number

	constructor(private readonly options: QuotaPartOptions) {
		const {heldSince, hasPredecessor, bounds} = options
		// Amounts of the holder before may be sent for this long.
		this.start = {at: heldSince + amountValidMs, hasPredecessor}
		this.idleMs = Math.max(minIdleMs, 2 * (bounds.windowMs + amountValidMs))
	}

	get memberCount(): number {
		return this.members.size
	}

	/** Amounts that were taken and not sent yet. */
	get takenCount(): number {
		return this.taken.size
	}

	take(query: TakeQuery, now: number): TakeResult {
		this.expire(now)
		const {key} = query
		const part = this.getMember(query, now)
		if (query.isRenewal && this.renew(key, now)) {
			part.askedAt = now
			return this.describe(part, undefined, false, now)
		}
		const wasOver = part.isOver
		const refusal = part.take(query, now)
		if (refusal === undefined) {
			const expiresAt = now + amountValidMs
			this.taken.set(key, {part, amount: part.getCost(query), expiresAt})
		}
		const hasChanged = wasOver !== part.isOver
		return this.describe(part, refusal, hasChanged, now)
	}

	/** Notes that the request of an amount was sent; unknown keys change nothing. */
	markSent(key: string, ageMs: number, now: number): void {
		this.expire(now)
		const taken = this.taken.get(key)
		if (taken === undefined) return
		this.taken.delete(key)
		const takenAt = taken.expiresAt - amountValidMs
		taken.part.markSent(taken.amount, Math.max(takenAt, now - ageMs))
	}

	/** Returns an amount whose request won't be sent; unknown keys change nothing. */
	giveBack(key: string, now: number): void {
		this.expire(now)
		const taken = this.taken.get(key)
		if (taken === undefined) return
		this.taken.delete(key)
		taken.part.giveBack(taken.amount, now)
	}

	/** Returns false if the amount is not known, or no longer. */
	private renew(key: string, now: number): boolean {
		const taken = this.taken.get(key)
		if (taken === undefined) return false
		this.taken.delete(key)
		this.taken.set(key, {...taken, expiresAt: now + amountValidMs})
		return true
	}

	private describe(
		part: MemberPart,
		refusal: QuotaRefusal | undefined,
		hasChanged: boolean,
		now: number
	): TakeResult {
		const usePercent = part.getUsePercent(now)
		const fields = part.getFields(now)
		return {refusal, usePercent, hasChanged, fields}
	}

	private getMember({member, terms}: TakeQuery, now: number): MemberPart {
		const {bounds} = this.options
		const known = this.members.get(member)
		this.members.delete(member)
		this.dropIdle(now)
		let part = known
		if (part === undefined)
			part = new MemberPart(terms, bounds, this.start, now)
		else if (this.isOtherUnit(part, terms)) {
			// What was taken in another unit can't be compared.
			const start = {at: now + amountValidMs, hasPredecessor: true}
			part = new MemberPart(terms, bounds, start, now)
		} else part.applyTerms(terms, now)
		this.members.set(member, part)
		return part
	}

	private isOtherUnit(part: MemberPart, terms: QuotaTerms): boolean {
		return (
			part.countsRequests !== terms.countsRequests &&
			terms.version > part.version
		)
	}

	private dropIdle(now: number): void {
		const {maxMembers = defaultMaxMembers} = this.options
		let checks = idleChecks
		for (const [name, part] of this.members) {
			checks -= 1
			const isIdle = now - part.askedAt > this.idleMs
			const isTooMany = this.members.size >= maxMembers
			if (checks < 0 || (!isIdle && !isTooMany)) return
			this.members.delete(name)
			// What a Member took that is forgotten early is not known any more.
			if (!isIdle) this.start = {at: now + amountValidMs, hasPredecessor: true}
		}
	}

	/** Counts amounts as sent of which nothing was heard in time. */
	private expire(now: number): void {
		for (const [key, {part, amount, expiresAt}] of this.taken) {
			if (expiresAt > now) return
			this.taken.delete(key)
			part.markSent(amount, expiresAt)
		}
	}
}
