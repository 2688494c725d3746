/** A clock whose time and timers advance only in `runUntil`. */

interface Timer {
	at: number
	order: number
	callback: () => void
}

export class VirtualClock {
	now: number
	private timers: Timer[] = []
	private createdTimers = 0

	constructor(startAt = 1_800_000_000_000) {
		this.now = startAt
	}

	/** Calls `callback` at a time; the returned function cancels the timer. */
	setTimer = (callback: () => void, at: number): (() => void) => {
		this.createdTimers += 1
		const timer = {at, order: this.createdTimers, callback}
		this.insert(timer)
		return () => {
			const index = this.timers.indexOf(timer)
			if (index >= 0) this.timers.splice(index, 1)
		}
	}

	sleep(ms: number): Promise<void> {
		return new Promise(resolve => {
			this.setTimer(resolve, this.now + ms)
		})
	}

	/**
	 * Runs all timers due until `until` in order, those that they set included,
	 * and after each one the promise callbacks that became ready.
	 */
	async runUntil(until: number): Promise<void> {
		await runReadyPromises()
		for (;;) {
			const [next] = this.timers
			if (next === undefined || next.at > until) break
			this.timers.shift()
			this.now = Math.max(this.now, next.at)
			next.callback()
			await runReadyPromises()
		}
		this.now = until
	}

	/** Keeps the timers sorted by time, then by order of creation. */
	private insert(timer: Timer): void {
		let low = 0
		let high = this.timers.length
		while (low < high) {
			const middle = (low + high) >>> 1
			const other = this.timers[middle]
			if (other !== undefined && other.at <= timer.at) low = middle + 1
			else high = middle
		}
		this.timers.splice(low, 0, timer)
	}
}

/** Resolves after the callbacks of all settled promises have run. */
function runReadyPromises(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve)
	})
}
