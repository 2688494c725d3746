/**
 * Puts off the search for an engine to go on with a generation: because none is
 * there yet, or until its prompt is no longer suspected of having crashed one.
 */
export interface LaterSearchOptions {
	/** Time until which an event is of use. */
	getStartBy: () => number
	onSearch: () => void
	/** Called when the prompt is still suspected at the end of that time. */
	onTooLate: () => void
	/** Monotonic milliseconds. */
	now: () => number
}

/** Pause between two searches for an engine to go on with a stream. */
const searchIntervalMs = 250

export class LaterSearch {
	/**
	 * Time until which a stream without an open call must go on, since a later event
	 * is of no use; undefined until one was lost, and again after an event.
	 */
	private resumeBy: number | undefined
	private timer: NodeJS.Timeout | undefined
	private isHolding = false

	constructor(private readonly options: LaterSearchOptions) {}

	/** The earlier of the time and that at which the stream must have gone on. */
	limit(startBy: number): number {
		return Math.min(startBy, this.resumeBy ?? startBy)
	}

	noteEvent(): void {
		this.resumeBy = undefined
	}

	/** Searches again soon; returns false when it is too late for that. */
	trySchedule(): boolean {
		const {getStartBy, onSearch, now} = this.options
		this.resumeBy ??= getStartBy()
		if (now() + searchIntervalMs >= this.resumeBy) return false
		clearTimeout(this.timer)
		this.timer = setTimeout(onSearch, searchIntervalMs)
		return true
	}

	/** Waits for `release`. */
	hold(): void {
		const {getStartBy, onTooLate, now} = this.options
		this.clear()
		this.isHolding = true
		this.timer = setTimeout(onTooLate, Math.max(0, getStartBy() - now()))
	}

	/** Searches now, if it was held. */
	release(): void {
		if (!this.isHolding) return
		this.clear()
		this.options.onSearch()
	}

	clear(): void {
		this.isHolding = false
		clearTimeout(this.timer)
	}
}
