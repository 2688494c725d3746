/**
 * Limits on requests that endpoints state in their answers. A limit holds for all
 * hosts together, for as long as the endpoint's answers state it, and ends with the
 * incarnation that stated it.
 */

export interface StatedLimit {
	/** Start time of the incarnation, Unix milliseconds; 0 when unknown. */
	bornAt: number
	/** Requests a second; undefined if the endpoint states no limit any more. */
	perSecond: number | undefined
	/** Time at which the endpoint was last heard to state it. */
	statedAt: number
}

/** What one answer of an endpoint says about its limit. */
export interface LimitStatement {
	id: string
	bornAt: number
	/** Undefined if the answer states no limit. */
	perSecond: number | undefined
	/** Time at which the request was sent that it answers. */
	sentAt: number
}

/**
 * An endpoint that states a lower limit gets this many requests a second, since only
 * its answers tell when the limit ends.
 */
export const minPerSecond = 0.1

/** Endpoints remembered; those heard of longest ago are forgotten first. */
const maxRemembered = 10_000

export class StatedLimits {
	private readonly limits = new Map<string, StatedLimit>()

	/** Returns whether the endpoint's limit differs from what was known. */
	addAnswer(statement: LimitStatement, now: number): boolean {
		const {id, bornAt, perSecond, sentAt} = statement
		const known = this.getKnown(id, bornAt)
		if (perSecond === undefined) {
			// An answer that was on its way before the limit was stated can't end it.
			if (known?.perSecond === undefined || sentAt <= known.statedAt)
				return false
		}
		return this.apply(id, {bornAt, perSecond, statedAt: now})
	}

	/**
	 * Applies what another host heard, unless something later is known. Returns
	 * whether the endpoint's limit differs from what was known.
	 */
	apply(id: string, stated: StatedLimit): boolean {
		const latest = this.limits.get(id)
		// Also what is late about an earlier incarnation.
		if (latest !== undefined && latest.statedAt > stated.statedAt) return false
		const known = this.getKnown(id, stated.bornAt)
		const perSecond =
			stated.perSecond === undefined
				? undefined
				: Math.max(minPerSecond, stated.perSecond)
		this.limits.delete(id)
		this.limits.set(id, {...stated, perSecond})
		if (this.limits.size > maxRemembered) this.forgetOldest()
		return known?.perSecond !== perSecond
	}

	/** The limit in force; undefined if the endpoint has none. */
	get(id: string, bornAt: number): StatedLimit | undefined {
		const known = this.getKnown(id, bornAt)
		return known?.perSecond === undefined ? undefined : known
	}

	/** Ids and limits of the endpoints that have one. */
	list(): [string, StatedLimit][] {
		return [...this.limits].filter(([, {perSecond}]) => perSecond !== undefined)
	}

	retain(ids: ReadonlySet<string>): void {
		for (const id of this.limits.keys()) {
			if (!ids.has(id)) this.limits.delete(id)
		}
	}

	private forgetOldest(): void {
		const [oldest] = this.limits.keys()
		if (oldest !== undefined) this.limits.delete(oldest)
	}

	private getKnown(id: string, bornAt: number): StatedLimit | undefined {
		const known = this.limits.get(id)
		return known?.bornAt === bornAt ? known : undefined
	}
}
