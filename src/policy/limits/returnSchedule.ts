/**
 * Times at which refused callers may return, one after the other at the rate of the
 * limit. Callers that can't be served before their deadline have a row of their own
 * behind the others, since most of them won't return.
 */

/** Rows start over beyond this: no caller waits longer. */
const maxReturnMs = 30_000

export interface RefusedCaller {
	/** Time until the first request may go that arrives now. */
	waitMs: number
	/** Time between two requests. */
	intervalMs: number
	deadline: number
}

export class ReturnSchedule {
	/** Next free time of callers that can be served in time. */
	private nextAt = Number.NEGATIVE_INFINITY
	/** The same for the others. */
	private nextLateAt = Number.NEGATIVE_INFINITY

	/** Returns after what time the caller may return. */
	assign({waitMs, intervalMs, deadline}: RefusedCaller, now: number): number {
		const firstAt = now + waitMs
		const at = limitReturn(Math.max(this.nextAt, firstAt), firstAt, now)
		if (at < deadline) {
			this.nextAt = at + intervalMs
			return at - now
		}
		const lateAt = limitReturn(Math.max(this.nextLateAt, at), at, now)
		this.nextLateAt = lateAt + intervalMs
		return lateAt - now
	}
}

function limitReturn(at: number, firstAt: number, now: number): number {
	return at > now + maxReturnMs ? firstAt : at
}
