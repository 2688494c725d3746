/**
 * Encodes and decodes the configuration that gateways publish to each other as JSON.
 * Gateways of builds without Members publish configurations without the field.
 */
import {constants, deflateRawSync, inflateRawSync} from "node:zlib"
import type {FleetConfig, Member} from "../../contract/fleet.js"

type PublishedConfig = Omit<FleetConfig, "members"> & {
	/** Null without Members; absent if the publishing gateway doesn't know them. */
	members?: readonly Member[] | null
}

/** Many times what the store holds. */
const maxPublishedBytes = 32 * 1024 * 1024

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

/** Compresses an encoded configuration: routes are alike but for their names. */
export function compressPublishedConfig(bytes: Uint8Array): Uint8Array {
	return deflateRawSync(bytes, {level: constants.Z_BEST_SPEED})
}

/** Throws if the bytes were not compressed, or are too large. */
export function inflatePublishedConfig(bytes: Uint8Array): Uint8Array {
	return inflateRawSync(bytes, {maxOutputLength: maxPublishedBytes})
}

function parsePublished(text: string): PublishedConfig {
	try {
		return JSON.parse(text) as PublishedConfig
	} catch {
		// Messages of JSON.parse quote the text around the fault.
		throw new SyntaxError("published configuration is not valid JSON")
	}
}
