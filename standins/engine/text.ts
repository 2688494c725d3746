/** The text an engine writes: a pure function of adapter and prompt. */
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

/** Seed of the answer of one adapter version to one prompt. */
export function hashAnswer(loraPath: string, prompt: string): number {
	return murmurhash.v3(prompt, murmurhash.v3(loraPath))
}

/** Number of tokens after which the answer stops by itself. */
export function countAnswerTokens(seed: number): number {
	return minAnswerTokens + (seed % answerTokensRange)
}

/** Text of one token; all but the first start with a space. */
export function writeToken(seed: number, index: number): string {
	let bits = murmurhash.v3(String(index), seed)
	let word = index === 0 ? "" : " "
	for (let i = 0; i < syllablesPerWord; i += 1) {
		word += syllables[bits & syllableMask] ?? ""
		bits >>>= syllableBits
	}
	return word
}

/** The whole text that an adapter version answers to a prompt. */
export function expectedText(
	loraPath: string,
	prompt: string,
	maxTokens: number
): string {
	const seed = hashAnswer(loraPath, prompt)
	const length = Math.min(maxTokens, countAnswerTokens(seed))
	const tokens = Array.from({length}, (_, index) => writeToken(seed, index))
	return tokens.join("")
}

/** Number of tokens of a prompt. */
export function countPromptTokens(prompt: string): number {
	return Math.ceil(prompt.length / charactersPerToken)
}
