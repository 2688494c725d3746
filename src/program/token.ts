/** Constant-time comparison of secret tokens. */
import {timingSafeEqual} from "node:crypto"

/** True when `expected` is not empty and `given` equals it. */
export function isMatchingToken(expected: string, given: string): boolean {
	const expectedBytes = Buffer.from(expected)
	const givenBytes = Buffer.from(given)
	if (expectedBytes.length === 0 || expectedBytes.length !== givenBytes.length)
		return false
	return timingSafeEqual(expectedBytes, givenBytes)
}
