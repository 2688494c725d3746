/**
 * Notices that the host was suspended. The monotonic clock stands still meanwhile,
 * and the time of day goes on. A step of the time of day forward looks the same, so
 * this may only make a process give something up, never extend a deadline.
 */

export interface Moment {
	/** Monotonic milliseconds. */
	at: number
	/** Time of day, milliseconds. */
	wallAt: number
}

/** Less counts as an adjustment of the time of day. */
const minSuspensionMs = 400

/** Time that the monotonic clock did not count; 0 if it is too little to matter. */
export function getSuspendedMs(since: Moment, until: Moment): number {
	const missedMs = until.wallAt - since.wallAt - (until.at - since.at)
	return missedMs > minSuspensionMs ? missedMs : 0
}
