/**
 * What values from outside may hold so that everything behind the decoders can carry
 * them: HTTP headers, sockets and link messages. Decoders reject other values.
 */
import {validateHeaderName, validateHeaderValue} from "node:http"
import {isIPv4} from "node:net"

/** Largest count in a link message (uint32). */
export const maxCount = 2 ** 32 - 1
/** Largest time in a link message (int32), 24 days. */
export const maxTimeMs = 2 ** 31 - 1
/** Many times the longest name in use; names are sent in headers. */
export const maxNameLength = 1024
/** Beyond ASCII, a header and a message encode the same text differently. */
const namePattern = /^[\x21-\x7e]+$/
const maxPort = 65_535
const minStatus = 200
const maxStatus = 599
/** Characters that Node.js doesn't write in a request line. */
const unwritableInTarget = /[^\u0021-\u00ff]/

export function isCount(value: number): boolean {
	return Number.isInteger(value) && value >= 0 && value <= maxCount
}

/** Rounds to a count, and limits it to what a link message can hold. */
export function toCount(value: number): number {
	return Number.isNaN(value)
		? 0
		: Math.min(maxCount, Math.max(0, Math.round(value)))
}

/** Rounds to a time in milliseconds that a link message can hold. */
export function toTimeMs(value: number): number {
	return Number.isNaN(value)
		? 0
		: Math.min(maxTimeMs, Math.max(-maxTimeMs, Math.round(value)))
}

/** Whether a header can carry the text, as Latin-1. */
export function isHeaderText(text: string): boolean {
	try {
		validateHeaderValue("name", text)
		return true
	} catch {
		// The function reports a value that is not valid by throwing.
		return false
	}
}

/** Whether alternating header names and values can be written. */
export function areHeaders(headers: readonly string[]): boolean {
	for (let i = 0; i + 1 < headers.length; i += 2) {
		try {
			validateHeaderName(headers[i] ?? "")
		} catch {
			// As in `isHeaderText`.
			return false
		}
		if (!isHeaderText(headers[i + 1] ?? "")) return false
	}
	return true
}

/** Whether the text is a name that headers and messages carry alike. */
export function isName(text: string): boolean {
	return text.length <= maxNameLength && namePattern.test(text)
}

/** Whether text can be sent in a link message as UTF-8. */
export function isText(text: string): boolean {
	return text.length <= maxNameLength && isWellFormed(text)
}

/** Whether the text is an `ip:port` that can be connected to. */
export function isAddress(text: string): boolean {
	const separator = text.lastIndexOf(":")
	const portText = text.slice(separator + 1)
	const port = Number(portText)
	return (
		isIPv4(text.slice(0, separator)) &&
		/^\d{1,5}$/.test(portText) &&
		port >= 1 &&
		port <= maxPort
	)
}

/** Whether the path and query can be written in a request line. */
export function isRequestTarget(text: string): boolean {
	return text !== "" && !unwritableInTarget.test(text)
}

/** Whether the status is one of a final response. */
export function isFinalStatus(status: number): boolean {
	return status >= minStatus && status <= maxStatus
}

/** A lone surrogate has no encoding in UTF-8. */
function isWellFormed(text: string): boolean {
	return !/\p{Surrogate}/u.test(text)
}
