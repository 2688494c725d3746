/** A value that is read as it was some time ago. */

interface Sample<T> {
	value: T
	setAt: number
}

const keepMs = 60_000

export class Lagged<T> {
	private readonly samples: Sample<T>[]

	constructor(initial: T) {
		this.samples = [{value: initial, setAt: -Infinity}]
	}

	set(value: T): void {
		const now = performance.now()
		this.samples.push({value, setAt: now})
		this.dropBefore(now - keepMs)
	}

	/** The value `lagMs` ago. */
	read(lagMs: number): T {
		const at = performance.now() - lagMs
		const sample = this.samples.findLast(({setAt}) => setAt <= at)
		return (sample ?? this.first).value
	}

	private get first(): Sample<T> {
		const [first] = this.samples
		if (first === undefined) throw new Error("lagged value has no sample")
		return first
	}

	/** Keeps the last sample before `time`, which is still in force then. */
	private dropBefore(time: number): void {
		while ((this.samples[1]?.setAt ?? Infinity) <= time) this.samples.shift()
	}
}
