/**
 * Since when each pool has had endpoints of one build only, as far as this process
 * has seen: it may have started after another build left.
 */

interface PoolBuilds {
	/** Undefined while the pool has several builds. */
	soleBuild: string | undefined
	/** Time at which `soleBuild` became the only one, or was first seen so. */
	soleSince: number
	/** Whether this process has seen another build. */
	hasChanged: boolean
}

export interface SettledQuery {
	now: number
	/** How long before now a stream may have begun. */
	spanMs: number
	/**
	 * Whether a build that left before this process first saw the pool counts, too.
	 */
	countsUnseen: boolean
}

export class BuildHistory {
	private readonly pools = new Map<string, PoolBuilds>()

	/**
	 * Records the builds of a pool's endpoints. Returns whether a pool that had one
	 * build has several now. A pool that has lost all endpoints keeps its last build.
	 */
	update(pool: string, builds: ReadonlySet<string>, now: number): boolean {
		const [first] = builds
		if (first === undefined) return false
		const soleBuild = builds.size === 1 ? first : undefined
		const known = this.pools.get(pool)
		if (known !== undefined && known.soleBuild === soleBuild) return false
		const hasChanged = known !== undefined || soleBuild === undefined
		this.pools.set(pool, {soleBuild, soleSince: now, hasChanged})
		return soleBuild === undefined
	}

	/** Whether all streams that began in the span can only be of the build now. */
	isSettled(pool: string, query: SettledQuery): boolean {
		const builds = this.pools.get(pool)
		if (builds?.soleBuild === undefined) return false
		if (!builds.hasChanged && !query.countsUnseen) return true
		return query.now - builds.soleSince >= query.spanMs
	}
}
