/**
 * Since when each pool has had endpoints of one build only, as far as this process
 * has seen: it may have started after another build left.
 */

interface PoolBuilds {
	/** Undefined while the pool has several builds. */
	soleBuild: string | undefined
	/** Time at which `soleBuild` became the only one, or was first seen so. */
	soleSince: number
	/** Whether this process has seen another build, or may have missed one. */
	hasChanged: boolean
}

export interface SettledQuery {
	now: number
	/** How long before now a stream may have begun. */
	spanMs: number
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

	/**
	 * Records that endpoints of builds that this process has not seen may serve: of one
	 * pool, or of all.
	 */
	noteUnseen(now: number, pool?: string): void {
		for (const [name, builds] of this.pools) {
			if (pool !== undefined && name !== pool) continue
			this.pools.set(name, {...builds, soleSince: now, hasChanged: true})
		}
	}

	/** The build of all endpoints of a pool; undefined while there are several. */
	findSole(pool: string): string | undefined {
		return this.pools.get(pool)?.soleBuild
	}

	/** Whether this process has seen several builds of a pool, or may have missed one. */
	hasChanged(pool: string): boolean {
		return this.pools.get(pool)?.hasChanged ?? false
	}

	/** Whether all streams that began in the span can only be of the build now. */
	isSettled(pool: string, {now, spanMs}: SettledQuery): boolean {
		const builds = this.pools.get(pool)
		if (builds?.soleBuild === undefined) return false
		return now - builds.soleSince >= spanMs
	}
}
