/**
 * How far each Member is ahead of its fair share of an engine.
 *
 * - Shares are counted by virtual clocks. The virtual time advances by the cost of
 *   each grant while requests wait, which is what a Member gets that takes exactly
 *   its share, and with real time while none wait.
 * - The virtual time follows the clock that is farthest ahead at `maxLeadMs`. So
 *   Members that take less than the largest get what they ask for, whatever the
 *   number of Members (max-min fairness), and use of idle capacity is forgotten.
 * - Quotas are known only as the Member's use of its own. A Member's weight is its
 *   part of the cost here divided by that use, which is proportional to its quota. The
 *   cost is the mean of what it asks for and what it was granted: the former alone
 *   rewards those who retry, the latter alone keeps down those who were refused.
 * - A Member that uses more of its quota over the fleet than the others is ahead also
 *   at an engine where it has few requests. This lead falls by the virtual time for
 *   which the Member asks and gets nothing, so that it does not starve.
 */
import {DecayingSum} from "./decayingSum.js"
import {FairShare} from "../fairShare.js"
import type {GrantRequest} from "./types.js"

/** Virtual lead at which a Member still counts as within its share. Several requests
 * fit into it, so that urgency decides between Members that are about even. */
export const shareToleranceMs = 2000
/** How long a Member that took more than its share is ranked behind the others. */
const maxLeadMs = 8000
/** Keeps one dear request of a small Member from using up more than half of the
 * lead that is remembered. */
const maxStepMs = 4000
/** Lead of a Member that uses twice as much of its quota as the median Member. */
const doubleUseLeadMs = 4000
/** Use of a quota, in percent, below which differences don't count. */
const minUsePercent = 10
/** Averaging time of costs and of quota use, longer than a burst of some seconds, so
 * that the weights don't follow it. */
const weightAverageMs = 30_000
/** Part of an even share that a Member's weight counts in addition to what it was
 * granted, since few requests say little. */
const priorPart = 0.25
const minWeight = 0.1
const maxWeight = 10
/** Members without a request for this long take no share. */
const activeMs = 5000
/** Members without a request for this long are forgotten. */
const forgetMs = 60_000
/** Weights are computed anew at most this often. */
const refreshMs = 250

interface KnownMember {
	seenAt: number
	granted: DecayingSum
	asked: DecayingSum
	/** Virtual time of its first arrival since it was granted anything. */
	unservedAt: number | undefined
	/** Sum of the stated uses, and their number. */
	uses: DecayingSum
	useCount: DecayingSum
}

interface Weighing {
	weight: number
	useLeadMs: number
}

const evenWeighing: Weighing = {weight: 1, useLeadMs: 0}

export class MemberShares {
	private readonly clocks = new FairShare(
		{},
		{maxLeadMs: Number.POSITIVE_INFINITY, maxStepMs}
	)
	private readonly members = new Map<string, KnownMember>()
	private readonly grantedCost = new DecayingSum(weightAverageMs)
	private readonly askedCost = new DecayingSum(weightAverageMs)
	private weighings = new Map<string, Weighing>()
	private activeMembers = 1
	private refreshAt = Number.NEGATIVE_INFINITY
	private virtualNow = 0
	private updatedAt: number | undefined
	private hadBacklog = false

	/** Number of Members that are kept in mind. */
	get size(): number {
		return this.members.size
	}

	/** Advances the virtual time if no request waited since the last call. */
	advance(now: number, waitingCount: number): void {
		const elapsedMs = now - (this.updatedAt ?? now)
		if (!this.hadBacklog) this.virtualNow += Math.max(0, elapsedMs)
		this.updatedAt = now
		this.hadBacklog = waitingCount > 0
	}

	/** Records that a Member's request arrived. */
	addArrival(
		{member = "", quotaUse = 0}: GrantRequest,
		costMs: number,
		now: number
	): void {
		let known = this.members.get(member)
		if (known === undefined) {
			known = {
				seenAt: now,
				unservedAt: undefined,
				granted: new DecayingSum(weightAverageMs),
				asked: new DecayingSum(weightAverageMs),
				uses: new DecayingSum(weightAverageMs),
				useCount: new DecayingSum(weightAverageMs)
			}
			this.members.set(member, known)
			this.refreshAt = now
		}
		known.seenAt = now
		known.unservedAt ??= this.virtualNow
		known.asked.add(costMs, now)
		this.askedCost.add(costMs, now)
		if (quotaUse > 0) {
			known.uses.add(quotaUse, now)
			known.useCount.add(1, now)
		}
		if (now >= this.refreshAt) this.refresh(now)
	}

	/** Charges a granted request to its Member. */
	addGrant({member = ""}: GrantRequest, costMs: number, now: number): void {
		const known = this.members.get(member)
		if (known !== undefined) {
			known.granted.add(costMs, now)
			known.unservedAt = undefined
		}
		this.grantedCost.add(costMs, now)
		const charge = this.getCharge(member, costMs)
		const leadMs = this.clocks.charge(member, charge, this.virtualNow)
		const excessMs = Math.max(0, leadMs - maxLeadMs)
		this.virtualNow += Math.max(excessMs, this.hadBacklog ? costMs : 0)
	}

	/** How far the Member is ahead of its share. */
	getLeadMs(member: string): number {
		const {useLeadMs} = this.weighings.get(member) ?? evenWeighing
		const unservedAt = this.members.get(member)?.unservedAt ?? this.virtualNow
		const unservedMs = this.virtualNow - unservedAt
		const clockMs = this.clocks.getLeadMs(member, this.virtualNow)
		return clockMs + Math.max(0, useLeadMs - unservedMs)
	}

	/** Time that the Member's share takes to serve a request. */
	getStepMs(member: string, costMs: number): number {
		return this.clocks.getStepMs(this.getCharge(member, costMs))
	}

	private getCharge(
		member: string,
		costMs: number
	): {costMs: number; activeMembers: number; weight: number} {
		const {weight} = this.weighings.get(member) ?? evenWeighing
		return {costMs, activeMembers: this.activeMembers, weight}
	}

	private refresh(now: number): void {
		this.refreshAt = now + refreshMs
		for (const [member, {seenAt}] of this.members) {
			if (now - seenAt > forgetMs) this.members.delete(member)
		}
		const active = [...this.members].filter(
			([, {seenAt}]) => now - seenAt <= activeMs
		)
		this.activeMembers = Math.max(1, active.length)
		const grantedMs = Math.max(1, this.grantedCost.get(now))
		const askedMs = Math.max(1, this.askedCost.get(now))
		const prior = priorPart / this.activeMembers
		const known = active.flatMap(
			([member, {granted, asked, uses, useCount}]) => {
				if (useCount.get(now) === 0) return []
				const use = Math.max(minUsePercent, uses.get(now) / useCount.get(now))
				const part = granted.get(now) / grantedMs + asked.get(now) / askedMs
				return [{member, use, quota: (part / 2 + prior) / use}]
			}
		)
		const meanQuota =
			known.reduce((sum, {quota}) => sum + quota, 0) / known.length
		const uses = known.map(({use}) => use).sort((a, b) => a - b)
		const medianUse = uses[Math.floor((uses.length - 1) / 2)] ?? 0
		this.weighings = new Map(
			known.map(({member, use, quota}) => {
				const weight = clamp(quota / meanQuota, minWeight, maxWeight)
				const aboveMs = (use / medianUse - 1) * doubleUseLeadMs
				return [member, {weight, useLeadMs: clamp(aboveMs, 0, maxLeadMs)}]
			})
		)
	}
}

function clamp(value: number, min: number, max: number): number {
	return Math.min(max, Math.max(min, value))
}
