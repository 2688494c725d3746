/** General helper functions. */

/** Converts `camelCase` to lower-case words joined by `separator`. */
export function splitWords(name: string, separator: string): string {
	return name.replace(/[A-Z]/g, letter => separator + letter.toLowerCase())
}

/** Returns the message of a thrown value, which need not be an Error. */
export function messageOf(err: unknown): string {
	return err instanceof Error ? err.message : String(err)
}

/** Splits `ip:port`; an IPv6 address may be in brackets. */
export function splitAddress(address: string): {host: string; port: number} {
	const separator = address.lastIndexOf(":")
	const host = address.slice(0, separator).replace(/^\[|\]$/g, "")
	return {host, port: Number(address.slice(separator + 1))}
}

/** For the default of a switch: fails type checking when a case is missing. */
export function assertNever(value: never): never {
	throw new TypeError(`unexpected value ${JSON.stringify(value)}`)
}

/** Resolves after `ms`, or as soon as `signal` is aborted. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		if (signal?.aborted === true) {
			resolve()
			return
		}
		const finish = (): void => {
			clearTimeout(timer)
			signal?.removeEventListener("abort", finish)
			resolve()
		}
		const timer = setTimeout(finish, ms)
		signal?.addEventListener("abort", finish)
	})
}

const faultRetryMs = 500

/**
 * Runs a loop that ends only when it is stopped, and runs it again some time after it
 * threw: without it the process would go on and not do its work.
 */
export async function runDespiteFaults(
	run: () => Promise<void>,
	onFault: (err: unknown) => void
): Promise<void> {
	for (;;) {
		try {
			await run()
			return
		} catch (err) {
			onFault(err)
			await sleep(faultRetryMs)
		}
	}
}
