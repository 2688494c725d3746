/**
 * A request as a whole, as one of the parts that were at a crash: it may crash each
 * endpoint that runs it though no part of it alone does.
 */
const prefix = "request:"

/** `digest` names the request by its content. */
export function createRequestPart(digest: string): string {
	return prefix + digest
}

export function isRequestPart(part: string): boolean {
	return part.startsWith(prefix)
}
