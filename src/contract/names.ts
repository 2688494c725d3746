/** Model names that callers send, and the adapter names that engines load. */
import {createHash} from "node:crypto"
import type {AdapterName} from "../policy/types.js"

/** The parts of `base:adapter@version`. */
export interface ModelName {
	base: string
	adapter: string
	version: string
}

const modelNamePattern = /^([^:@\s]+):([^:@\s]+)@([^:@\s]+)$/
const sourceDigestHexChars = 12

/** Parses `base:adapter@version`; returns undefined when malformed. */
export function parseModelName(text: string): ModelName | undefined {
	const match = modelNamePattern.exec(text)
	if (match === null) return undefined
	const [, base = "", adapter = "", version = ""] = match
	return {base, adapter, version}
}

export function formatModelName({base, adapter, version}: ModelName): string {
	return `${base}:${adapter}@${version}`
}

/**
 * Builds the name under which an engine loads an adapter. It includes a digest
 * of the weight source, so that a version that was removed and declared again
 * with other weights is not confused with the old ones, which an engine may
 * still have loaded.
 */
export function engineAdapterName(model: string, source: string): AdapterName {
	const digest = createHash("sha256").update(source).digest("hex")
	return `${model}#${digest.slice(0, sourceDigestHexChars)}`
}
