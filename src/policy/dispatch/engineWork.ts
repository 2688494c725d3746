/**
 * Terms of an engine's cost for a request whose output is predicted: waits for a seat
 * and for memory, and the work that the answer adds there. All are 0 for an engine
 * that states nothing of its work.
 */

/** What an engine still has to do, as its agent stated. */
export interface EngineWork {
	/** Sum of the time that the granted answers still take. */
	decodeMs: number
	/** Time in which an answer goes on by one token; 0 if unknown. */
	tokenMs: number
	/** Memory that nothing reserves; may be negative. */
	freeMemoryTokens: number
	/** Rate at which reserved memory becomes free. */
	freedTokensPerMs: number
	/** Seats that nothing takes; may be negative. */
	freeSeats: number
	/** Requests that hold a grant. */
	running: number
	/** Prefill rate in the long run; 0 if unknown. */
	lastingTokensPerMs: number
}

/** What a request asks of an engine, beside its prompt's prefill. */
export interface WorkDemand {
	memoryTokens: number
	outputTokens: number
}

export interface WorkTerms {
	seatWaitMs: number
	memoryWaitMs: number
	/** Time that the answer takes. */
	decodeMs: number
}

/**
 * An engine that has no room frees some sooner or later; its wait is bounded so that
 * a wrong prediction does not exclude it.
 */
const maxWaitMs = 3000

export const noTerms: WorkTerms = {seatWaitMs: 0, memoryWaitMs: 0, decodeMs: 0}

/** `pending` are the requests that the engine's last state does not reflect. */
export function getWorkTerms(
	work: EngineWork | undefined,
	demand: WorkDemand,
	pending: {requests: number; memoryTokens: number}
): WorkTerms {
	if (work === undefined || work.tokenMs === 0) return noTerms
	const {running, freeSeats, freeMemoryTokens, freedTokensPerMs} = work
	const missingSeats = Math.max(0, pending.requests + 1 - freeSeats)
	// Answers end one after the other, each after its own part of the sum.
	const seatStepMs = work.decodeMs / Math.max(1, running) ** 2
	const missingTokens = Math.max(
		0,
		pending.memoryTokens + demand.memoryTokens - freeMemoryTokens
	)
	return {
		seatWaitMs: Math.min(maxWaitMs, missingSeats * seatStepMs),
		memoryWaitMs:
			missingTokens === 0 || freedTokensPerMs === 0
				? 0
				: Math.min(maxWaitMs, missingTokens / freedTokensPerMs),
		decodeMs: demand.outputTokens * work.tokenMs
	}
}
