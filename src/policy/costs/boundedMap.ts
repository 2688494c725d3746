/** A map that creates missing entries and drops the least recently used ones. */
export class BoundedMap<T> {
	private readonly entries = new Map<string, T>()

	constructor(
		private readonly capacity: number,
		private readonly create: () => T
	) {}

	get size(): number {
		return this.entries.size
	}

	peek(key: string): T | undefined {
		return this.entries.get(key)
	}

	/** The entry of the key, which counts as used. */
	use(key: string): T {
		const entry = this.entries.get(key) ?? this.create()
		this.entries.delete(key)
		this.entries.set(key, entry)
		const [oldest] = this.entries.keys()
		if (this.entries.size > this.capacity && oldest !== undefined)
			this.entries.delete(oldest)
		return entry
	}
}
