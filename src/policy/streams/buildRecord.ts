/**
 * What the platform keeps of each pool's builds, so that a gateway that starts knows
 * which builds may have begun the streams that callers resume. The fault it answers:
 * all gateways restart while one build replaces another, and their own view shows
 * only the build that is left.
 */

/** Stands for builds that no gateway has seen, or whose record was lost. */
export const unseenBuild = "?"

export interface BuildRecord {
	/** Builds that may have begun streams that callers still resume. */
	builds: readonly string[]
	/** Era of the store in which the record was written. */
	era: number
	/** Revision of the object; 0 if there is none. */
	revision: number
}

export interface BuildRecordOptions {
	/**
	 * Time after which no caller resumes a stream of a build that has left,
	 * milliseconds.
	 */
	forgetAfterMs: number
	/** Whether the system serves for the first time, so that there were no builds. */
	isFirstStart: boolean
}

/** Decides what to keep of one pool's builds. */
export class BuildRecordPlan {
	private record: BuildRecord | undefined
	/** Builds seen, each with the time at which it was last seen or read. */
	private readonly lastSeenAt = new Map<string, number>()

	constructor(private readonly options: BuildRecordOptions) {}

	/** Records what was read, and that its builds may have begun streams until now. */
	applyRead(record: BuildRecord, now: number): void {
		this.record = record
		for (const build of record.builds) this.lastSeenAt.set(build, now)
	}

	/** Records a write that succeeded. */
	applyWritten(record: BuildRecord): void {
		this.record = record
	}

	/** Records the builds of the pool's endpoints. */
	observe(present: ReadonlySet<string>, now: number): void {
		for (const build of present) this.lastSeenAt.set(build, now)
	}

	/** Revision that the record has, for a conditional write; 0 if there is none. */
	get revision(): number {
		return this.record?.revision ?? 0
	}

	/**
	 * Builds to write to the record; undefined while it has not been read, or if it is
	 * right as it is.
	 */
	plan(era: number, now: number): string[] | undefined {
		const {record} = this
		if (record === undefined) return undefined
		this.noteLoss(record, era, now)
		this.forget(now)
		const builds = [...this.lastSeenAt.keys()].sort()
		if (builds.every(build => build === unseenBuild)) return undefined
		const isCurrent = record.revision > 0 && record.era === era
		return isCurrent && isSameList(builds, record.builds) ? undefined : builds
	}

	/**
	 * Whether no other build than this one can have begun a stream, by the record and
	 * by what this gateway has seen that isn't on it yet.
	 */
	isSole(build: string, era: number): boolean {
		const {record} = this
		if (record === undefined || record.revision === 0) return false
		for (const seen of this.lastSeenAt.keys()) if (seen !== build) return false
		const {builds} = record
		return record.era === era && builds.length === 1 && builds[0] === build
	}

	/** A record of an earlier era may lack builds that were written since the copy. */
	private noteLoss(record: BuildRecord, era: number, now: number): void {
		const isNew = record.revision === 0 && this.options.isFirstStart
		const isLost = record.revision === 0 || record.era !== era
		if (!isLost || isNew || this.lastSeenAt.has(unseenBuild)) return
		this.lastSeenAt.set(unseenBuild, now)
	}

	private forget(now: number): void {
		for (const [build, seenAt] of this.lastSeenAt) {
			if (now - seenAt >= this.options.forgetAfterMs)
				this.lastSeenAt.delete(build)
		}
	}
}

function isSameList(a: readonly string[], b: readonly string[]): boolean {
	return a.length === b.length && a.every((build, i) => build === b[i])
}
