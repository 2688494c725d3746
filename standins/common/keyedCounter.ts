/** Counters that are created on their first increment. */

export type Counts = Record<string, number>

export class KeyedCounter {
	private readonly values = new Map<string, number>()

	add(name: string): void {
		this.values.set(name, (this.values.get(name) ?? 0) + 1)
	}

	get sum(): number {
		return [...this.values.values()].reduce((sum, count) => sum + count, 0)
	}

	get counts(): Counts {
		return Object.fromEntries(this.values)
	}
}
