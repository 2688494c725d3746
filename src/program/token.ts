/** Comparison of secret tokens in constant time. */
import {timingSafeEqual} from "node:crypto"

/** True when a token is set and the given one equals it. */
export function isMatchingToken(expected: string, given: string): boolean {
	const wanted = Buffer.from(expected)
	const offered = Buffer.from(given)
	if (wanted.length === 0 || wanted.length !== offered.length) return false
	return timingSafeEqual(wanted, offered)
}
