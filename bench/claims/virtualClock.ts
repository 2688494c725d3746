/** A clock and timers that advance only when told to. */

interface Timer {
	at: number
	order: number
	callback: () => void
}

export class VirtualClock {
	now: number
	private timers: Timer[] = []
	private timersMade = 0

	constructor(startAt = 1_800_000_000_000) {
		this.now = startAt
	}

	/** Calls `callback` at a time; the result cancels it. */
	setTimer = (callback: () => void, at: number): (() => void) => {
		this.timersMade += 1
		const timer = {at, order: this.timersMade, callback}
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

	/** Runs all timers due until `until`, and what follows from them. */
	async runUntil(until: number): Promise<void> {
		await settle()
		for (;;) {
			const [next] = this.timers
			if (next === undefined || next.at > until) break
			this.timers.shift()
			this.now = Math.max(this.now, next.at)
			next.callback()
			await settle()
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

/** Lets all promises that are ready run. */
function settle(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve)
	})
}
