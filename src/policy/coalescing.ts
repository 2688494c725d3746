/**
 * Keys of calls that may share one answer: identical reads of one Member that
 * run at the same time.
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

/** The key of the call, undefined when its answer can't be shared. */
export function getCoalescingKey(call: CoalescedCall): string | undefined {
	const method = call.method.toUpperCase()
	if (!readMethods.has(method) || call.bodyLength > 0) return undefined
	return JSON.stringify([call.member, call.route, method, call.path])
}
