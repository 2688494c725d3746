/**
 * Detects that this process was paused: a periodic timer fired too late, or
 * `check` found it overdue.
 */
import type {SetTimer} from "./types.js"

const timerIntervalMs = 1_000
const pauseThresholdMs = 1_000

export class PauseDetector {
	private timerDueAt: number
	private cancel: () => void

	constructor(
		private readonly now: () => number,
		private readonly setTimer: SetTimer,
		private readonly onPause: () => void
	) {
		this.timerDueAt = now() + timerIntervalMs
		this.cancel = this.schedule()
	}

	/**
	 * Calls `onPause` if the timer is overdue. Must be called before state from
	 * an earlier time is used, since after a pause other callbacks may run before
	 * the timer's.
	 */
	check(): void {
		const now = this.now()
		if (now < this.timerDueAt + pauseThresholdMs) return
		this.timerDueAt = now + timerIntervalMs
		this.onPause()
	}

	stop(): void {
		this.cancel()
	}

	private schedule(): () => void {
		return this.setTimer(() => {
			this.check()
			this.timerDueAt = this.now() + timerIntervalMs
			this.cancel = this.schedule()
		}, this.now() + timerIntervalMs)
	}
}
