/**
 * Endpoints that turned work away and stated for how long. Until then an endpoint
 * gets no request; afterwards one probe, and after each success twice as many
 * requests at a time, so that all waiting callers do not return at once.
 */

/** A longer pause is cut to this; the endpoint is then probed. */
export const maxPauseMs = 60_000
/** Requests at a time at which the endpoint counts as recovered. */
const recoveredLimit = 16

interface Pause {
	/** Time until which the endpoint gets no request. */
	until: number
	/** Requests at a time that are permitted after `until`. */
	limit: number
	inFlight: number
	/** Number of the last statement; successes of earlier requests prove nothing. */
	statement: number
}

export class EndpointPauses {
	private readonly pauses = new Map<string, Pause>()

	/** Records that the endpoint wants no requests until `until`. */
	pause(id: string, until: number, now: number): void {
		const known = this.pauses.get(id)
		const bounded = Math.min(until, now + maxPauseMs)
		this.pauses.set(id, {
			until: Math.max(bounded, known?.until ?? 0),
			limit: 1,
			inFlight: known?.inFlight ?? 0,
			statement: (known?.statement ?? 0) + 1
		})
	}

	/** Whether the endpoint may get one more request now. */
	isOpen(id: string, now: number): boolean {
		const pause = this.pauses.get(id)
		if (pause === undefined) return true
		return now >= pause.until && pause.inFlight < pause.limit
	}

	/** Records a request to the endpoint. Returns the function to call at its end. */
	begin(id: string): (isSuccess: boolean) => void {
		const pause = this.pauses.get(id)
		if (pause === undefined) return () => undefined
		pause.inFlight += 1
		const {statement} = pause
		return isSuccess => {
			this.end(id, isSuccess, statement)
		}
	}

	/** The earliest time at which one of the endpoints may get a request. */
	getEarliestReturn(ids: readonly string[], now: number): number {
		const times = ids.map(id => this.pauses.get(id)?.until ?? now)
		return Math.max(now, Math.min(...times))
	}

	/** Forgets other endpoints than these, also unregistered ones once they may return. */
	retain(ids: ReadonlySet<string>, now: number): void {
		for (const [id, {until}] of this.pauses) {
			if (!ids.has(id) && now >= until) this.pauses.delete(id)
		}
	}

	private end(id: string, isSuccess: boolean, statement: number): void {
		const pause = this.pauses.get(id)
		if (pause === undefined) return
		pause.inFlight = Math.max(0, pause.inFlight - 1)
		if (!isSuccess || pause.statement !== statement) return
		pause.limit *= 2
		if (pause.limit > recoveredLimit) this.pauses.delete(id)
	}
}
