/**
 * Spaces the requests to an endpoint that states a limit. In any span of t seconds
 * at most `perSecond * (t + 0.1) + 1` requests go; what callers leave unused lapses.
 */

/**
 * A request may go this much ahead of its time, so that callers who look at
 * intervals of half of it can use the whole rate.
 */
const aheadMs = 100
const msPerSecond = 1000

export class RequestPacer {
	/** Time of the next request at an even pace. */
	private nextAt: number

	constructor(
		private perSecond: number,
		now: number
	) {
		this.nextAt = now + this.intervalMs
	}

	get intervalMs(): number {
		return msPerSecond / this.perSecond
	}

	/** Spaces the next request from the last one by the new rate. */
	setRate(perSecond: number): void {
		const lastAt = this.nextAt - this.intervalMs
		this.perSecond = perSecond
		this.nextAt = lastAt + this.intervalMs
	}

	/** Time until a request may go that is behind `queued` others. */
	getWaitMs(now: number, queued = 0): number {
		const at = Math.max(this.nextAt, now) + queued * this.intervalMs
		return Math.max(0, at - aheadMs - now)
	}

	/**
	 * Takes the next time at which a request may go and returns how far it is off;
	 * undefined if that is more than `maxWaitMs`.
	 */
	take(now: number, maxWaitMs = 0): number | undefined {
		const waitMs = this.getWaitMs(now)
		if (waitMs > maxWaitMs) return undefined
		this.nextAt = Math.max(this.nextAt, now) + this.intervalMs
		return waitMs
	}
}
