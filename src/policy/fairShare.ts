/**
 * Weighted fair queueing of Members by virtual clocks. Each request advances its
 * Member's clock by the time that the Member's share takes to serve it. While that
 * clock is ahead of the time given, the Member's new requests are ranked later.
 *
 * The time may be real time, as for the project's own scheduler, or a virtual time
 * that advances as requests are served, as for the grants of an agent.
 */
interface VirtualClock {
	virtualTime: number
	/** Number of queued requests. */
	queued: number
}

export interface FairShareOptions {
	/** Farthest that a clock may be ahead of the time. */
	maxLeadMs?: number
	/** Limit on the time by which one request advances a clock. */
	maxStepMs?: number
}

/** What a request takes of the capacity, and how that is divided. */
export interface ShareCharge {
	/** Time for which the request takes the whole capacity. */
	costMs: number
	/** Number of Members that share the capacity. */
	activeMembers: number
	/** Weight of the Member, where the mean is 1. */
	weight: number
}

const defaultMaxLeadMs = 60_000
/** Least number of clocks at which unused ones are deleted. */
const minSweepSize = 1024

export class FairShare {
	private readonly clocks = new Map<string, VirtualClock>()
	private readonly maxLeadMs: number
	private readonly maxStepMs: number
	private weights: Readonly<Record<string, number>>
	private activeMembers = 0
	private sweepAtSize = minSweepSize

	constructor(
		weights: Readonly<Record<string, number>> = {},
		options: FairShareOptions = {}
	) {
		this.weights = weights
		this.maxLeadMs = options.maxLeadMs ?? defaultMaxLeadMs
		this.maxStepMs = options.maxStepMs ?? Number.POSITIVE_INFINITY
	}

	setWeights(weights: Readonly<Record<string, number>>): void {
		this.weights = weights
	}

	/** Adds a queued request; returns how much later to rank it, in ms. */
	addRequest(
		member: string,
		serviceMs: number,
		seats: number,
		now: number
	): number {
		const clock = this.getClock(member, now)
		if (clock.queued === 0) this.activeMembers += 1
		clock.queued += 1
		const penaltyMs = Math.max(0, clock.virtualTime - now)
		const costMs = serviceMs / Math.max(1, seats)
		const weight = this.weights[member] ?? 1
		const {activeMembers} = this
		this.charge(member, {costMs, activeMembers, weight}, now)
		return penaltyMs
	}

	/** Removes a queued request that was started or refused. */
	removeRequest(member: string): void {
		const clock = this.clocks.get(member)
		if (!clock || clock.queued === 0) return
		clock.queued -= 1
		if (clock.queued === 0) this.activeMembers -= 1
	}

	/** How far the Member's clock is ahead of the time. */
	getLeadMs(member: string, now: number): number {
		const clock = this.clocks.get(member)
		return clock === undefined ? 0 : Math.max(0, clock.virtualTime - now)
	}

	/** Time by which a request advances its Member's clock. */
	getStepMs({costMs, activeMembers, weight}: ShareCharge): number {
		return Math.min(this.maxStepMs, (costMs * activeMembers) / weight)
	}

	/** Advances the Member's clock by a request; returns its lead before the limit. */
	charge(member: string, charge: ShareCharge, now: number): number {
		const clock = this.getClock(member, now)
		const startsAt = Math.max(clock.virtualTime, now)
		const endsAt = startsAt + this.getStepMs(charge)
		clock.virtualTime = Math.min(endsAt, now + this.maxLeadMs)
		return endsAt - now
	}

	private getClock(member: string, now: number): VirtualClock {
		const known = this.clocks.get(member)
		if (known) return known
		if (this.clocks.size >= this.sweepAtSize) this.sweep(now)
		const clock = {virtualTime: now, queued: 0}
		this.clocks.set(member, clock)
		return clock
	}

	private sweep(now: number): void {
		for (const [member, clock] of this.clocks) {
			const isUnused = clock.queued === 0 && clock.virtualTime <= now
			if (isUnused) this.clocks.delete(member)
		}
		this.sweepAtSize = Math.max(minSweepSize, 2 * this.clocks.size)
	}
}
