/**
 * Fair shares of the seats among Members, by virtual clocks: each admitted
 * request advances its Member's clock by the time its share of the seats needs
 * for it. A Member whose clock runs ahead of the time is sent back by that lag.
 */
interface Clock {
	aheadUntil: number
	queued: number
}

const maxLagMs = 60_000
const sweepSize = 1024

export class FairShare {
	private readonly clocks = new Map<string, Clock>()
	private weights: Readonly<Record<string, number>>
	private active = 0
	private sweepAtSize = sweepSize

	constructor(weights: Readonly<Record<string, number>> = {}) {
		this.weights = weights
	}

	setWeights(weights: Readonly<Record<string, number>>): void {
		this.weights = weights
	}

	/** Counts a request in and returns how far it is sent back, in ms. */
	enter(member: string, serviceMs: number, seats: number, now: number): number {
		const clock = this.getClock(member, now)
		if (clock.queued === 0) this.active += 1
		clock.queued += 1
		const lagMs = Math.max(0, clock.aheadUntil - now)
		const weight = this.weights[member] ?? 1
		const stepMs = (serviceMs * this.active) / Math.max(1, seats) / weight
		clock.aheadUntil = Math.min(now + lagMs + stepMs, now + maxLagMs)
		return lagMs
	}

	/** Counts a request out, when it started or was refused. */
	leave(member: string): void {
		const clock = this.clocks.get(member)
		if (!clock || clock.queued === 0) return
		clock.queued -= 1
		if (clock.queued === 0) this.active -= 1
	}

	private getClock(member: string, now: number): Clock {
		const known = this.clocks.get(member)
		if (known) return known
		if (this.clocks.size >= this.sweepAtSize) this.sweep(now)
		const clock = {aheadUntil: now, queued: 0}
		this.clocks.set(member, clock)
		return clock
	}

	private sweep(now: number): void {
		for (const [member, clock] of this.clocks) {
			const isDone = clock.queued === 0 && clock.aheadUntil <= now
			if (isDone) this.clocks.delete(member)
		}
		this.sweepAtSize = Math.max(sweepSize, 2 * this.clocks.size)
	}
}
