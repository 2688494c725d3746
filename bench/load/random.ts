/** Seeded randomness of the load tool. */
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"

/** Draws numbers in [0, 1); the same ones for the same seed. */
export class Random {
	private readonly generator: ReturnType<typeof xoroshiro128plus>

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed)
	}

	uniform(): number {
		return uniformFloat64(this.generator)
	}

	/** An integer in [0, count). */
	integer(count: number): number {
		return Math.floor(this.uniform() * count)
	}

	/** Time to the next event of a Poisson process. */
	exponential(ratePerSecond: number): number {
		return -Math.log(1 - this.uniform()) / ratePerSecond
	}
}

/** Zipf's law over ranks 0 to `count` - 1, the most popular first. */
export class Zipf {
	private readonly cumulative: number[] = []

	constructor(count: number, exponent: number) {
		let sum = 0
		for (let rank = 1; rank <= count; rank++) {
			sum += rank ** -exponent
			this.cumulative.push(sum)
		}
	}

	get count(): number {
		return this.cumulative.length
	}

	/** Share of the draws that fall on the `count` most popular ranks. */
	shareOfTop(count: number): number {
		const last = this.cumulative.length
		const top = this.cumulative[Math.min(count, last) - 1] ?? 0
		return top / (this.cumulative[last - 1] ?? 1)
	}

	/** Probability of one rank. */
	probabilityOf(rank: number): number {
		return this.shareOfTop(rank + 1) - this.shareOfTop(rank)
	}

	draw(random: Random): number {
		const target = random.uniform() * (this.cumulative.at(-1) ?? 0)
		let low = 0
		let high = this.cumulative.length - 1
		while (low < high) {
			const middle = (low + high) >> 1
			if ((this.cumulative[middle] ?? 0) > target) high = middle
			else low = middle + 1
		}
		return low
	}
}
