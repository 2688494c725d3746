/** Objects with versions, their whole history and the log of recent changes. */

export interface StoredObject {
	name: string
	version: number
	value: unknown
}

/** One version of an object; `value` is null when it was deleted. */
export interface ObjectVersion {
	version: number
	value: unknown
}

export interface Change extends ObjectVersion {
	kind: string
	name: string
}

/** Result of a conditional write; `version` is the conflicting one if any. */
export interface StoreResult {
	isWritten: boolean
	version: number
}

export class ObjectStore {
	private readonly histories = new Map<string, Map<string, ObjectVersion[]>>()
	private readonly changes: Change[] = []
	/** When each revision was made, by revision. */
	private readonly madeAt = [-Infinity]

	constructor(private readonly keptChanges: number) {}

	get revision(): number {
		return this.madeAt.length - 1
	}

	/** The revision that was current at `time`. */
	revisionAt(time: number): number {
		return this.madeAt.findLastIndex(at => at <= time)
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

	/** Writes if the stored version is `expected`; null deletes. */
	write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): StoreResult {
		const current = this.read(kind, name)?.version ?? 0
		if (current !== expected) return {isWritten: false, version: current}
		this.madeAt.push(performance.now())
		const version = this.revision
		this.openHistory(kind, name).push({version, value})
		this.changes.push({kind, name, version, value})
		if (this.changes.length > this.keptChanges) this.changes.shift()
		return {isWritten: true, version}
	}

	/** Changes of a kind after `revision`; undefined when some are missing. */
	changesAfter(kind: string, revision: number): Change[] | undefined {
		const oldest = this.revision - this.changes.length
		if (revision < oldest || revision > this.revision) return undefined
		const later = this.changes.slice(revision - oldest)
		return later.filter(change => change.kind === kind)
	}

	/** Every version that the object ever had. */
	history(kind: string, name: string): readonly ObjectVersion[] {
		return this.histories.get(kind)?.get(name) ?? []
	}

	private openHistory(kind: string, name: string): ObjectVersion[] {
		const names = this.histories.get(kind) ?? new Map<string, ObjectVersion[]>()
		this.histories.set(kind, names)
		const history = names.get(name) ?? []
		names.set(name, history)
		return history
	}
}
