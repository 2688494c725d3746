/**
 * Binds a listener as soon as its address can be bound. Another process may hold the
 * port for a moment, such as a predecessor that still drains, and an address may be
 * assigned to the host later than the process starts.
 */
import {messageOf, sleep} from "../utils/common.js"
import type {DecisionLog} from "./decisionLog.js"
import {createListenerErrorLog} from "./listenerErrors.js"

export interface BindOptions<T> {
	/** `ip:port`. */
	address: string
	/** What listens there, for the log and errors. */
	purpose: string
	/** Tries once to bind; rejects if that fails. */
	bind: (attempt: BindAttempt) => Promise<T>
	/** Called once, unless stopped before. */
	onBound?: (bound: T) => void
	/** Called with what was bound after the stop. */
	unbind: (bound: T) => void
	/** Aborted to stop waiting for the address. */
	signal: AbortSignal
	log: Pick<DecisionLog, "decide">
	/** Interval of the attempts, milliseconds. */
	retryMs?: number
}

export interface BindAttempt {
	/** Whether an earlier attempt failed. */
	isRetry: boolean
	/** To be called with each error of the listener after it was bound. */
	onError: (err: Error) => void
}

/** An address that can't be bound, whoever else holds or releases it. */
export class ListenError extends Error {
	constructor(
		/** What was to listen at the address. */
		readonly purpose: string,
		readonly address: string,
		cause: unknown
	) {
		const reason = messageOf(cause)
		super(`can't listen at ${address} (${purpose}): ${reason}`, {cause})
		this.name = "ListenError"
	}
}

const defaultRetryMs = 200
/** gRPC states the code of an error in its message only. */
const transientCode = /\b(?:EADDRINUSE|EADDRNOTAVAIL)\b/

/**
 * Resolves after the first attempt. If the address is held by another process or not
 * assigned yet, further attempts follow until one succeeds or `signal` is aborted.
 * Rejects with a ListenError if the first attempt fails for another reason.
 */
export async function bindWhenFree<T>(options: BindOptions<T>): Promise<void> {
	const {address, purpose, bind, log} = options
	const onError = createListenerErrorLog({
		address,
		purpose,
		write: (event, inputs) => {
			log.decide(event, inputs)
		}
	})
	let bound: T
	try {
		bound = await bind({isRetry: false, onError})
	} catch (err) {
		const code = findTransientCode(err)
		if (code === undefined) throw new ListenError(purpose, address, err)
		log.decide("listen.waiting", {address, purpose, error: messageOf(err)})
		void retryBind(options, {isRetry: true, onError}, code)
		return
	}
	finishBind(options, bound)
}

async function retryBind<T>(
	options: BindOptions<T>,
	attempt: BindAttempt,
	firstCode: string
): Promise<void> {
	const {address, purpose, bind, signal, log} = options
	const {retryMs = defaultRetryMs} = options
	const startedAt = performance.now()
	let lastReason = firstCode
	for (;;) {
		await sleep(retryMs, signal)
		if (signal.aborted) return
		try {
			const bound = await bind(attempt)
			const waitedMs = Math.round(performance.now() - startedAt)
			log.decide("listen.bound", {address, purpose, waitedMs})
			finishBind(options, bound)
			return
		} catch (err) {
			const error = messageOf(err)
			const reason = findTransientCode(err) ?? error
			if (reason === lastReason) continue
			lastReason = reason
			log.decide("listen.waiting", {address, purpose, error})
		}
	}
}

function finishBind<T>(
	{signal, onBound, unbind}: BindOptions<T>,
	bound: T
): void {
	if (signal.aborted) unbind(bound)
	else onBound?.(bound)
}

function findTransientCode(err: unknown): string | undefined {
	return transientCode.exec(messageOf(err))?.[0]
}
