/**
 * Statistics of a stream of samples in constant memory. New samples count more than
 * old ones, so that they follow callers whose requests change.
 */

/** Samples after which an average follows new ones at a constant rate. */
const memorySamples = 200

/** Moving average; the plain average of the first `memorySamples`. */
export class RunningMean {
	private total = 0
	private mean = 0

	get count(): number {
		return this.total
	}

	get value(): number {
		return this.mean
	}

	add(sample: number): void {
		this.total = Math.min(memorySamples, this.total + 1)
		this.mean += (sample - this.mean) / this.total
	}
}

const firstMedianStep = 0.5
const lastMedianStep = 0.02

/** Moves towards each sample by a step that shrinks, whatever the sample's distance. */
export class RunningMedian {
	private total = 0
	private median = 0

	get count(): number {
		return this.total
	}

	get value(): number {
		return this.median
	}

	add(sample: number): void {
		this.total += 1
		if (this.total === 1) {
			this.median = sample
			return
		}
		const step = Math.max(lastMedianStep, firstMedianStep / this.total)
		const distance = sample - this.median
		this.median += Math.sign(distance) * Math.min(step, Math.abs(distance))
	}
}
