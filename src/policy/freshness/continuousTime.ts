/**
 * Time that includes suspensions of the host, in which the monotonic clock stands
 * still. A step of the time of day forward looks like a suspension and is counted as
 * one; a step back is not counted.
 */
import {getSuspendedMs, type Moment} from "../../utils/suspension.js"

export class ContinuousTime {
	/** Moment with the smallest difference of the two clocks since the last count. */
	private base: Moment | undefined
	private suspendedMs = 0

	/** Converts a moment; later moments never give an earlier time. */
	read(moment: Moment): number {
		this.base ??= moment
		const missedMs = getSuspendedMs(this.base, moment)
		this.suspendedMs += missedMs
		// After a step back, a suspension counts from the new time of day on.
		if (missedMs > 0 || getOffset(moment) < getOffset(this.base))
			this.base = moment
		return moment.at + this.suspendedMs
	}
}

function getOffset({at, wallAt}: Moment): number {
	return wallAt - at
}
