/** Responses to requests that may not be sent because of their key. */
import type {CallerExchange, LogFields} from "../callers/callerExchange.js"

export interface Denial {
	reason: string
	/**
	 * Time after which the caller may repeat the request; undefined if the key is
	 * not valid, so that repeating it is of no use.
	 */
	retryAfterMs: number | undefined
}

const httpUnauthorized = 401

/** Responds that the request did not run: 401 for a key that is not valid, else 503. */
export function respondDenial(
	exchange: CallerExchange,
	{reason, retryAfterMs}: Denial,
	logFields: LogFields = {}
): void {
	if (retryAfterMs === undefined)
		exchange.reject(httpUnauthorized, reason, logFields)
	else exchange.refuse(reason, retryAfterMs, logFields)
}
