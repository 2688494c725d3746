/** What an answer still has to produce, given what it has produced already. */

/**
 * Share of what an answer has produced that it is expected to go on for, at least.
 * Lengths are spread over more than an order of magnitude, so the longer an answer
 * has run beyond its prediction, the longer it is likely to go on.
 */
const minRemainingShare = 0.3

export interface RemainingOutputOptions {
	/** Tokens predicted at the start. */
	expectedTokens: number
	/** Tokens produced so far. */
	producedTokens: number
	/** Longest answer that the caller takes; 0 if it states none. */
	maxTokens: number
}

/** Expected number of tokens still to come. */
export function getRemainingTokens(options: RemainingOutputOptions): number {
	const {expectedTokens, producedTokens, maxTokens} = options
	const remaining = Math.max(
		expectedTokens - producedTokens,
		producedTokens * minRemainingShare
	)
	if (maxTokens <= 0) return Math.max(1, remaining)
	return Math.max(1, Math.min(remaining, maxTokens - producedTokens))
}
