/** Checks the head of an HTTP response for defects that Node.js lets pass. */
import type {IncomingMessage} from "node:http"
import {areHeaders, isFinalStatus} from "../contract/wireValues.js"

/** Servers send bodies with a length, in chunks, or until the connection ends. */
const chunkedEncoding = "chunked"

/**
 * Why a response can't be trusted; undefined if its head is valid. Fields that are
 * not forwarded count as well.
 */
export function findHeadDefect(res: IncomingMessage): string | undefined {
	const {statusCode = 0, rawHeaders} = res
	if (!isFinalStatus(statusCode)) return `status ${statusCode} is not valid`
	if (!areHeaders(rawHeaders)) return "a header is not valid"
	// Node.js passes on bodies in other encodings without decoding them.
	const {"transfer-encoding": encoding = chunkedEncoding} = res.headers
	if (encoding.toLowerCase() !== chunkedEncoding)
		return `transfer encoding ${JSON.stringify(encoding)} is not supported`
	return undefined
}
