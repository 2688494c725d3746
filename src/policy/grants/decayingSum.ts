/** A sum whose terms decay exponentially with time. */
export class DecayingSum {
	private value = 0
	private updatedAt = 0

	/** `timeConstantMs`: time in which a term falls to 1/e. */
	constructor(private readonly timeConstantMs: number) {}

	add(term: number, now: number): void {
		this.value = this.get(now) + term
		this.updatedAt = now
	}

	get(now: number): number {
		if (this.value === 0) return 0
		const elapsedMs = Math.max(0, now - this.updatedAt)
		return this.value * Math.exp(-elapsedMs / this.timeConstantMs)
	}

	/** The sum a millisecond, as of terms that keep arriving. */
	getPerMs(now: number): number {
		return this.get(now) / this.timeConstantMs
	}
}
