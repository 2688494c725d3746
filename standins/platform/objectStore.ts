/**
 * Versioned objects with their complete history, for tests, and a bounded log
 * of recent changes, for watches. Every write gets the next store revision,
 * which is also the version of the object that it wrote.
 */

export interface StoredObject {
	name: string
	version: number
	value: unknown
}

/** One version of an object. A null `value` records its deletion. */
export interface ObjectVersion {
	version: number
	value: unknown
}

export interface Change extends ObjectVersion {
	kind: string
	name: string
}

/** Result of a conditional write; on conflict `version` is the stored one. */
export interface StoreResult {
	isWritten: boolean
	version: number
}

export class ObjectStore {
	private readonly histories = new Map<string, Map<string, ObjectVersion[]>>()
	private readonly changes: Change[] = []
	/** Time of each revision; the index is the revision. */
	private readonly revisionTimes = [-Infinity]

	constructor(private readonly keptChanges: number) {}

	get revision(): number {
		return this.revisionTimes.length - 1
	}

	/** Returns the revision that was current at `time`. */
	findRevisionAt(time: number): number {
		return this.revisionTimes.findLastIndex(at => at <= time)
	}

	read(
		kind: string,
		name: string,
		revision = this.revision
	): StoredObject | undefined {
		const found = this.history(kind, name).findLast(
			({version}) => version <= revision
		)
		if (found === undefined || found.value === null) return undefined
		return {name, ...found}
	}

	list(kind: string, prefix: string, revision = this.revision): StoredObject[] {
		const names = [...(this.histories.get(kind)?.keys() ?? [])]
		return names
			.filter(name => name.startsWith(prefix))
			.map(name => this.read(kind, name, revision))
			.filter(item => item !== undefined)
	}

	/**
	 * Writes a value, or deletes the object when it is null, if the stored version
	 * is `expected`. The version of an object that does not exist is 0.
	 */
	write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): StoreResult {
		const current = this.read(kind, name)?.version ?? 0
		if (current !== expected) return {isWritten: false, version: current}
		this.revisionTimes.push(performance.now())
		const version = this.revision
		this.getOrCreateHistory(kind, name).push({version, value})
		this.changes.push({kind, name, version, value})
		if (this.changes.length > this.keptChanges) this.changes.shift()
		return {isWritten: true, version}
	}

	/**
	 * Returns the changes of a kind after `revision`, or undefined when the change
	 * log no longer holds all of them or `revision` is in the future.
	 */
	findChangesAfter(kind: string, revision: number): Change[] | undefined {
		const oldest = this.revision - this.changes.length
		if (revision < oldest || revision > this.revision) return undefined
		const later = this.changes.slice(revision - oldest)
		return later.filter(change => change.kind === kind)
	}

	/** Returns every version that the object ever had, oldest first. */
	history(kind: string, name: string): readonly ObjectVersion[] {
		return this.histories.get(kind)?.get(name) ?? []
	}

	private getOrCreateHistory(kind: string, name: string): ObjectVersion[] {
		const names = this.histories.get(kind) ?? new Map<string, ObjectVersion[]>()
		this.histories.set(kind, names)
		const history = names.get(name) ?? []
		names.set(name, history)
		return history
	}
}
