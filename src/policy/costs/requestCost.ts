/** What a generation takes of an engine, from its prompt and predicted answer. */

export interface RequestSize {
	/** Prompt tokens that the engine has to prefill. */
	prefillTokens: number
	/** All prompt tokens, cached or not. */
	promptTokens: number
	/** Predicted tokens of the answer. */
	outputTokens: number
}

export interface EngineRates {
	tokensPerMs: number
	/** Time that one answer takes for each token; 0 if unknown. */
	tokenMs: number
}

export interface RequestCost {
	prefillMs: number
	decodeMs: number
	/** Time in a seat. */
	seatMs: number
	/** KV cache at the end of the answer, in tokens. */
	memoryTokens: number
}

export function getRequestCost(
	{prefillTokens, promptTokens, outputTokens}: RequestSize,
	{tokensPerMs, tokenMs}: EngineRates
): RequestCost {
	const prefillMs = prefillTokens / tokensPerMs
	const decodeMs = outputTokens * tokenMs
	return {
		prefillMs,
		decodeMs,
		seatMs: prefillMs + decodeMs,
		memoryTokens: promptTokens + outputTokens
	}
}
