/**
 * Refusals that a gateway was told, so that a Member far over its quota costs few
 * messages. They only pass over parts: one part is asked for each request.
 */

export interface RefusedAsk {
	member: string
	part: number
	cost: number
	/** Version of the configuration that the quota was from. */
	version: number
}

interface Refusal {
	cost: number
	version: number
	waitUntil: number
	expiresAt: number
}

/** Amounts that are returned may be there earlier than was said. */
const maxRememberedMs = 250
const maxRemembered = 10_000

export class RefusalMemory {
	private readonly refusals = new Map<string, Refusal>()

	add(
		{member, part, cost, version}: RefusedAsk,
		waitMs: number,
		now: number
	): void {
		const key = `${part}/${member}`
		this.refusals.delete(key)
		const expiresAt = now + Math.min(maxRememberedMs, waitMs)
		const waitUntil = now + waitMs
		this.refusals.set(key, {cost, version, waitUntil, expiresAt})
		for (const [oldest, refusal] of this.refusals) {
			const isExpired = refusal.expiresAt <= now
			if (!isExpired && this.refusals.size <= maxRemembered) return
			this.refusals.delete(oldest)
		}
	}

	/** Time until the part may have enough, if it refused as little just before. */
	getWaitMs(
		{member, part, cost, version}: RefusedAsk,
		now: number
	): number | undefined {
		const refusal = this.refusals.get(`${part}/${member}`)
		if (refusal === undefined || refusal.expiresAt <= now) return undefined
		if (refusal.version !== version || cost < refusal.cost) return undefined
		return refusal.waitUntil - now
	}
}
