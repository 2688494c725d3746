/**
 * Keys for request coalescing: identical reads of one Member have the same key,
 * and those that run at the same time share one answer.
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

/**
 * Returns undefined for calls whose answer can't be shared: those that are not
 * reads or have a body.
 */
export function getCoalescingKey(call: CoalescedCall): string | undefined {
	const method = call.method.toUpperCase()
	if (!readMethods.has(method) || call.bodyLength > 0) return undefined
	return JSON.stringify([call.member, call.route, method, call.path])
}
