/** Seeded random numbers for the policy benchmarks. */
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"

/** Returns a generator of uniformly distributed numbers in [0, 1). */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed)
	return () => uniformFloat64(generator)
}

/** Draws an exponentially distributed number with the given mean. */
export function drawExponential(random: () => number, mean: number): number {
	return -Math.log(1 - random()) * mean
}

/** Draws ranks by Zipf's law with exponent 1; 0 is the most frequent rank. */
export class Zipf {
	private readonly cumulativeWeights: number[] = []

	constructor(count: number) {
		let sum = 0
		for (let rank = 1; rank <= count; rank++) {
			sum += 1 / rank
			this.cumulativeWeights.push(sum)
		}
	}

	draw(random: () => number): number {
		const target = random() * (this.cumulativeWeights.at(-1) ?? 0)
		let low = 0
		let high = this.cumulativeWeights.length - 1
		while (low < high) {
			const middle = (low + high) >> 1
			if ((this.cumulativeWeights[middle] ?? 0) < target) low = middle + 1
			else high = middle
		}
		return low
	}
}
