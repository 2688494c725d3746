/** Where streams began, for as long as callers may resume them. */

export interface StreamOrigin {
	/** Id of the caller's request that delivered the stream's first event. */
	requestId: string
	pool: string
	/** Build of the engine that sent the first event. */
	build: string
	/** Time after which no caller resumes the stream. */
	expiresAt: number
}

export class StreamOrigins {
	/** By request id, the one that was added last at the end. */
	private readonly origins = new Map<string, StreamOrigin>()

	/** Beyond `capacity`, the origins that were added first are dropped. */
	constructor(private readonly capacity: number) {}

	/** Adds an origin; a stream that is known keeps its build. */
	add(origin: StreamOrigin, now: number): void {
		const {requestId} = origin
		const known = this.find(requestId, now)
		this.origins.delete(requestId)
		this.origins.set(requestId, {
			...(known ?? origin),
			expiresAt: Math.max(known?.expiresAt ?? 0, origin.expiresAt)
		})
		this.dropFirst(now)
	}

	find(requestId: string, now: number): StreamOrigin | undefined {
		const origin = this.origins.get(requestId)
		return origin === undefined || origin.expiresAt <= now ? undefined : origin
	}

	/** Origins of a pool's streams that callers may still resume. */
	list(pool: string, now: number): StreamOrigin[] {
		return [...this.origins.values()].filter(
			origin => origin.pool === pool && origin.expiresAt > now
		)
	}

	private dropFirst(now: number): void {
		for (const [id, {expiresAt}] of this.origins) {
			if (expiresAt > now && this.origins.size <= this.capacity) return
			this.origins.delete(id)
		}
	}
}
