/** How much of an engine's capacity grants may use. */
import type {EngineLimits} from "./types.js"

/** Seats kept free for requests sent without a grant, as gateways do when they
 * have lost the agent. */
const reservedSeats = 2
/** Fraction of the engine's KV cache that grants may reserve; the rest absorbs
 * errors of the token estimates. */
const grantableMemoryFraction = 0.9

export function countUsableSeats({seats}: EngineLimits): number {
	return seats - reservedSeats
}

export function getGrantableTokens({memoryTokens}: EngineLimits): number {
	return memoryTokens * grantableMemoryFraction
}
