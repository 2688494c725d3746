/** Seeded answers as the test's load has them, with hints and stated maxima. */
import {uniformFloat64} from "pure-rand/distribution/uniformFloat64"
import {xoroshiro128plus} from "pure-rand/generator/xoroshiro128plus"
import type {AnswerSubject} from "../index.js"

export interface DrawnAnswer {
	subject: AnswerSubject
	tokens: number
	events: number
}

export interface AnswerDrawOptions {
	random: () => number
	route: string
	/** Median answer of each Member, in tokens. */
	medians: readonly number[]
	/** Standard deviation of the logarithm of a Member's answers. */
	spread?: number
	/** Share of requests that have a hint. */
	hintedShare?: number
	/** Standard deviation of the logarithm of a hint's error. */
	hintSpread?: number
	tokensPerEvent?: number
	maxTokens?: number
}

export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed)
	return () => uniformFloat64(generator)
}

/** Normally distributed number. */
export function drawNormal(random: () => number): number {
	const radius = Math.sqrt(-2 * Math.log(1 - random()))
	return radius * Math.cos(2 * Math.PI * random())
}

export function drawAnswer(options: AnswerDrawOptions): DrawnAnswer {
	const {random, route, medians} = options
	const {spread = 0.5, hintedShare = 0.5, hintSpread = 0.6} = options
	const {tokensPerEvent = 3, maxTokens = 1000} = options
	const index = Math.floor(random() * medians.length)
	const median = medians[index] ?? 1
	const drawn = median * Math.exp(spread * drawNormal(random))
	const tokens = Math.max(1, Math.min(maxTokens, Math.round(drawn)))
	const hint = Math.round(tokens * Math.exp(hintSpread * drawNormal(random)))
	const subject: AnswerSubject = {
		route,
		member: `m${index}`,
		adapter: "base/a1",
		lengthHint: random() < hintedShare ? Math.max(1, hint) : undefined,
		maxTokens
	}
	return {subject, tokens, events: Math.ceil(tokens / tokensPerEvent)}
}
