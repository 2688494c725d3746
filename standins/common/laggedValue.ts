/** A value that is read as it was a given time ago. */

interface Sample<T> {
	value: T
	setAtMs: number
}

/** Samples replaced longer ago than this are dropped, to bound the memory. */
const sampleRetentionMs = 60_000

export class LaggedValue<T> {
	private readonly samples: Sample<T>[]

	constructor(initial: T) {
		this.samples = [{value: initial, setAtMs: -Infinity}]
	}

	set(value: T): void {
		const now = performance.now()
		this.samples.push({value, setAtMs: now})
		this.dropReplacedBefore(now - sampleRetentionMs)
	}

	/**
	 * Returns the value that was current `lagMs` ago, or the oldest kept one when
	 * that value has been dropped.
	 */
	read(lagMs: number): T {
		const readAtMs = performance.now() - lagMs
		const sample = this.samples.findLast(({setAtMs}) => setAtMs <= readAtMs)
		return (sample ?? this.oldestSample).value
	}

	private get oldestSample(): Sample<T> {
		const [oldest] = this.samples
		if (oldest === undefined) throw new Error("lagged value has no sample")
		return oldest
	}

	/** Drops the samples that had been replaced by `timeMs`. */
	private dropReplacedBefore(timeMs: number): void {
		while ((this.samples[1]?.setAtMs ?? Infinity) <= timeMs)
			this.samples.shift()
	}
}
