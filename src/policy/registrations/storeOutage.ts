/**
 * Tells whether registrations may have lapsed because the store was away.
 *
 * An endpoint is removed after three heartbeats of silence, and the last heartbeat
 * before an outage is up to one interval old. Only an outage that lasts longer than
 * two intervals can thus end a registration, and live endpoints are back within
 * `reregistrationMs` of the store's return.
 */
export interface StoreOutageOptions {
	/** Interval at which endpoints renew their registration, milliseconds. */
	heartbeatMs?: number | undefined
}

/** Live endpoints register again within this time of the store's return. */
export const reregistrationMs = 2000

const defaultHeartbeatMs = 1200
const heartbeatsWithoutLapse = 2

export class StoreOutage {
	/** Longest outage in which no registration can lapse. */
	private readonly harmlessMs: number
	private servedAt = Number.NEGATIVE_INFINITY
	private hasFailed = false
	private deadline = Number.NEGATIVE_INFINITY

	constructor({heartbeatMs = defaultHeartbeatMs}: StoreOutageOptions = {}) {
		this.harmlessMs = heartbeatsWithoutLapse * heartbeatMs
	}

	/** Time until which a registration that is missing may be that of a live endpoint. */
	get lapsedUntil(): number {
		return this.deadline
	}

	/** Records that the store served any call at that time. */
	recordServed(at: number): void {
		const isOutageOver = this.hasFailed && at - this.servedAt > this.harmlessMs
		if (isOutageOver) this.deadline = at + reregistrationMs
		this.hasFailed = false
		this.servedAt = Math.max(this.servedAt, at)
	}

	recordFailure(): void {
		this.hasFailed = true
	}
}
