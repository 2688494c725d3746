/**
 * Errors of a server that listens, such as a connection that can't be accepted for
 * lack of descriptors or memory. The server goes on, but Node.js ends a process for an
 * `error` event without a listener.
 */
import {messageOf} from "../utils/common.js"

export interface ListenerErrorLogOptions {
	/** `ip:port`. */
	address: string
	/** What listens there. */
	purpose: string
	/** Writes a line of the log. */
	write: (event: string, inputs: Record<string, unknown>) => void
	/** Monotonic milliseconds. */
	now?: () => number
}

/** Accepting may fail many thousand times a second. */
const lineIntervalMs = 1000

/**
 * Returns a function that logs the errors of one listener: the first, and then at most
 * one a second, with the number of those before it that were left out.
 */
export function createListenerErrorLog({
	address,
	purpose,
	write,
	now = () => performance.now()
}: ListenerErrorLogOptions): (err: Error) => void {
	let silentUntil = Number.NEGATIVE_INFINITY
	let omitted = 0
	return err => {
		if (now() < silentUntil) {
			omitted += 1
			return
		}
		silentUntil = now() + lineIntervalMs
		write("listen.failed", {address, purpose, error: messageOf(err), omitted})
		omitted = 0
	}
}
