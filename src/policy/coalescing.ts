/**
 * Request coalescing: identical reads of one Member that run at the same time
 * have the same key and share one answer.
 */
export interface CoalescedCall {
	member: string
	route: string
	method: string
	/** Path with its query. */
	path: string
	bodyLength: number
}

const readMethods: ReadonlySet<string> = new Set(["GET", "HEAD"])

/** Returns undefined for calls that are not reads or have a body. */
export function getCoalescingKey(call: CoalescedCall): string | undefined {
	const method = call.method.toUpperCase()
	if (!readMethods.has(method) || call.bodyLength > 0) return undefined
	return JSON.stringify([call.member, call.route, method, call.path])
}
