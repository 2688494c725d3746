/**
 * Weighted fair queueing of Members for the seats, by virtual clocks. Each
 * queued request advances its Member's clock by the time that the Member's share
 * of the seats takes to serve it. While that clock is ahead of real time, the
 * Member's new requests are ranked later by the difference.
 */
interface VirtualClock {
	virtualTime: number
	/** Number of queued requests. */
	queued: number
}

/** Farthest that a clock may be ahead of real time. */
const maxPenaltyMs = 60_000
/** Least number of clocks at which unused ones are deleted. */
const minSweepSize = 1024

export class FairShare {
	private readonly clocks = new Map<string, VirtualClock>()
	private weights: Readonly<Record<string, number>>
	private activeMembers = 0
	private sweepAtSize = minSweepSize

	constructor(weights: Readonly<Record<string, number>> = {}) {
		this.weights = weights
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
		const weight = this.weights[member] ?? 1
		const stepMs =
			(serviceMs * this.activeMembers) / Math.max(1, seats) / weight
		clock.virtualTime = Math.min(now + penaltyMs + stepMs, now + maxPenaltyMs)
		return penaltyMs
	}

	/** Removes a queued request that was started or refused. */
	removeRequest(member: string): void {
		const clock = this.clocks.get(member)
		if (!clock || clock.queued === 0) return
		clock.queued -= 1
		if (clock.queued === 0) this.activeMembers -= 1
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
