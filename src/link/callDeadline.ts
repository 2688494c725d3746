/** Time limit of a call, which moves with each part of its answer. */
export class CallDeadline {
	private at = Number.POSITIVE_INFINITY
	private timerAt = Number.POSITIVE_INFINITY
	private timer: NodeJS.Timeout | undefined

	constructor(private readonly onLate: () => void) {}

	/** Sets or moves the limit; monotonic time in milliseconds. */
	set(at: number): void {
		this.at = at
		// A later limit leaves the timer: an answer may come in millions of parts.
		if (at < this.timerAt) this.startTimer()
	}

	/** Later calls of `set` have no effect. */
	end(): void {
		clearTimeout(this.timer)
		this.timerAt = Number.NEGATIVE_INFINITY
	}

	private startTimer(): void {
		clearTimeout(this.timer)
		this.timerAt = this.at
		this.timer = setTimeout(() => {
			if (performance.now() < this.at) this.startTimer()
			else this.onLate()
		}, this.at - performance.now())
	}
}
