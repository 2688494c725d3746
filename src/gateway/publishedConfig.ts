/**
 * Encodes and decodes the configuration that gateways publish to each other as JSON.
 * Gateways of builds without Members publish configurations without the field.
 */
import type {FleetConfig, Member} from "../contract/fleet.js"

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
 * keys would be required. Throws if the bytes are not JSON.
 */
export function decodePublishedConfig(
	bytes: Uint8Array
): FleetConfig | undefined {
	const text = Buffer.from(bytes).toString("utf8")
	const {members, ...rest} = JSON.parse(text) as PublishedConfig
	if (members === undefined) return undefined
	return {...rest, members: members ?? undefined}
}
