/**
 * The text that an engine generates. It is a pure function of adapter version
 * and prompt, so a test can tell which adapter answered which prompt.
 */
import murmurhash from "murmurhash"

const syllables = [
	..."ba be bi bo da de di do fa fe fi fo ga ge go ka".split(" "),
	..."ke ki ko la le li lo ma me mi mo na ne ni no ra".split(" ")
]
const syllableBits = 5
const syllableMask = (1 << syllableBits) - 1
const syllablesPerWord = 3
const minAnswerTokens = 256
const answerTokensRange = 256
const charactersPerToken = 4

/** Computes the seed of the answer of one adapter version to one prompt. */
export function computeAnswerSeed(loraPath: string, prompt: string): number {
	return murmurhash.v3(prompt, murmurhash.v3(loraPath))
}

/** Returns the answer's length when `max_tokens` does not truncate it. */
export function countAnswerTokens(seed: number): number {
	return minAnswerTokens + (seed % answerTokensRange)
}

/** Returns the text of one token. All but the first start with a space. */
export function generateToken(seed: number, index: number): string {
	let bits = murmurhash.v3(String(index), seed)
	let word = index === 0 ? "" : " "
	for (let i = 0; i < syllablesPerWord; i += 1) {
		word += syllables[bits & syllableMask] ?? ""
		bits >>>= syllableBits
	}
	return word
}

/** Returns the complete text that an adapter version answers to a prompt. */
export function expectedText(
	loraPath: string,
	prompt: string,
	maxTokens: number
): string {
	const seed = computeAnswerSeed(loraPath, prompt)
	const length = Math.min(maxTokens, countAnswerTokens(seed))
	const tokens = Array.from({length}, (_, index) => generateToken(seed, index))
	return tokens.join("")
}

export function countPromptTokens(prompt: string): number {
	return Math.ceil(prompt.length / charactersPerToken)
}
