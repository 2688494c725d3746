/** Tiny helpers without a better home. */

/** Converts `camelCase` to words joined by `separator`. */
export function splitWords(name: string, separator: string): string {
	return name.replace(/[A-Z]/g, letter => separator + letter.toLowerCase())
}

/** The message of anything thrown. */
export function messageOf(err: unknown): string {
	return err instanceof Error ? err.message : String(err)
}

/** Fails the type check when a union gains a member that is not handled. */
export function assertNever(value: never): never {
	throw new TypeError(`unexpected value ${JSON.stringify(value)}`)
}

/** Resolves after `ms`, or at once when `signal` is aborted. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
	return new Promise(resolve => {
		if (signal?.aborted === true) {
			resolve()
			return
		}
		const done = (): void => {
			clearTimeout(timer)
			signal?.removeEventListener("abort", done)
			resolve()
		}
		const timer = setTimeout(done, ms)
		signal?.addEventListener("abort", done)
	})
}
