/**
 * Encodes and decodes the configuration that gateways publish to each other as JSON.
 * Gateways of builds without Members publish configurations without the field.
 */
import type {FleetConfig, Member} from "../../contract/fleet.js"

type PublishedConfig = Omit<FleetConfig, "members"> & {
	/** Null without Members; absent if the publishing gateway doesn't know them. */
	members?: readonly Member[] | null
}

export function encodePublishedConfig(config: FleetConfig): Uint8Array {
	const published: PublishedConfig = {
		...config,
		members: config.members ?? null
	}
	return Buffer.from(JSON.stringify(published), "utf8")
}

/**
 * Returns undefined if the publishing gateway doesn't know Members: without them, no
 * keys would be required. Throws if the bytes are not JSON, with a message that bears
 * nothing of them, since they hold keys.
 */
export function decodePublishedConfig(
	bytes: Uint8Array
): FleetConfig | undefined {
	const text = Buffer.from(bytes).toString("utf8")
	const {members, ...rest} = parsePublished(text)
	if (members === undefined) return undefined
	return {...rest, members: members ?? undefined}
}

function parsePublished(text: string): PublishedConfig {
	try {
		return JSON.parse(text) as PublishedConfig
	} catch {
		// Messages of JSON.parse quote the text around the fault.
		throw new SyntaxError("published configuration is not valid JSON")
	}
}
