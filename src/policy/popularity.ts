/**
 * Use counts with exponential decay. A count halves in each half-life, so that
 * steady use outweighs both a recent single use and a burst long past.
 */
interface Counter {
	/** Decayed count at the time `at` of the last use. */
	count: number
	at: number
}

export interface PopularityOptions {
	halfLifeMs?: number
	/** Number of counters above which negligible ones are deleted. */
	maxCounters?: number
}

const defaultHalfLifeMs = 30_000
const defaultMaxCounters = 20_000
/** Decayed count below which a counter may be deleted. */
const negligibleCount = 0.05

export class Popularity {
	private readonly halfLifeMs: number
	private readonly maxCounters: number
	private readonly counters = new Map<string, Counter>()
	private pruneAtSize: number

	constructor(options: PopularityOptions = {}) {
		this.halfLifeMs = options.halfLifeMs ?? defaultHalfLifeMs
		this.maxCounters = options.maxCounters ?? defaultMaxCounters
		this.pruneAtSize = this.maxCounters
	}

	get size(): number {
		return this.counters.size
	}

	/** Counts one use. */
	add(key: string, now: number): void {
		const counter = this.counters.get(key)
		if (!counter) {
			this.counters.set(key, {count: 1, at: now})
			if (this.counters.size > this.pruneAtSize) this.prune(now)
			return
		}
		counter.count = this.decay(counter, now) + 1
		counter.at = now
	}

	/** Returns the count decayed to `now`; 0 for an unknown key. */
	read(key: string, now: number): number {
		const counter = this.counters.get(key)
		return counter ? this.decay(counter, now) : 0
	}

	private decay(counter: Counter, now: number): number {
		const age = Math.max(0, now - counter.at)
		return counter.count * 2 ** (-age / this.halfLifeMs)
	}

	private prune(now: number): void {
		for (const [key, counter] of this.counters) {
			if (this.decay(counter, now) < negligibleCount) this.counters.delete(key)
		}
		this.pruneAtSize = Math.max(this.maxCounters, 2 * this.counters.size)
	}
}
