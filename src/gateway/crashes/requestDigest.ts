/**
 * Names a request by its content: attempts with the same path, caller and body have
 * the same digest, which is logged and passed on in place of the content.
 */
import {createHash} from "node:crypto"
import type {RoutedRequest} from "../gatewayContext.js"

const digestBytes = 12

export function computeRequestDigest({
	exchange: {head},
	member,
	body
}: Pick<RoutedRequest, "member" | "body"> & {
	exchange: Pick<RoutedRequest["exchange"], "head">
}): string {
	const {method, host, target, generation} = head
	const {model, adapter, parts = []} = generation ?? {}
	const promptParts = parts.map(({id}) => id).join(",")
	const key = findHeader(head.headers, "authorization")
	const fields = [
		method,
		host,
		target,
		member?.name ?? "",
		key ?? "",
		model ?? "",
		adapter ?? "",
		promptParts,
		body
	]
	const hash = createHash("sha256")
	for (const field of fields) {
		// With the lengths, no two lists of fields give the same bytes.
		hash.update(`${Buffer.byteLength(field)}:`)
		hash.update(field)
	}
	return hash.digest("hex").slice(0, 2 * digestBytes)
}

function findHeader(
	headers: readonly string[],
	name: string
): string | undefined {
	const index = headers.findIndex(
		(item, at) => at % 2 === 0 && item.toLowerCase() === name
	)
	return index < 0 ? undefined : headers[index + 1]
}
