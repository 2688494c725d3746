/** A bounded set that evicts the least recently added key. */
export class LruSet {
	private readonly keys = new Set<string>()

	constructor(private readonly capacity: number) {}

	has(key: string): boolean {
		return this.keys.has(key)
	}

	add(key: string): void {
		this.keys.delete(key)
		this.keys.add(key)
		const [oldest] = this.keys
		if (this.keys.size <= this.capacity || oldest === undefined) return
		this.keys.delete(oldest)
	}

	list(): string[] {
		return [...this.keys]
	}

	clear(): void {
		this.keys.clear()
	}
}
