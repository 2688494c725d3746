/** Finds out that this process was paused: its own beat came too late. */
import type {SetTimer} from "./types.js"

const beatMs = 1_000
const pauseMs = 1_000

export class PauseWatch {
	private beatDueAt: number
	private cancel: () => void

	constructor(
		private readonly now: () => number,
		private readonly setTimer: SetTimer,
		private readonly onPause: () => void
	) {
		this.beatDueAt = now() + beatMs
		this.cancel = this.schedule()
	}

	/** Call it before trusting what was known before; beats may come later. */
	check(): void {
		const now = this.now()
		if (now < this.beatDueAt + pauseMs) return
		this.beatDueAt = now + beatMs
		this.onPause()
	}

	stop(): void {
		this.cancel()
	}

	private schedule(): () => void {
		return this.setTimer(() => {
			this.check()
			this.beatDueAt = this.now() + beatMs
			this.cancel = this.schedule()
		}, this.now() + beatMs)
	}
}
