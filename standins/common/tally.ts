/** Counts by name. */
export class Tally {
	private readonly counts = new Map<string, number>()

	add(name: string): void {
		this.counts.set(name, (this.counts.get(name) ?? 0) + 1)
	}

	get sum(): number {
		return [...this.counts.values()].reduce((sum, count) => sum + count, 0)
	}

	toJSON(): Record<string, number> {
		return Object.fromEntries(this.counts)
	}
}
