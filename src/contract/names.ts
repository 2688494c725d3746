/** Names of adapters towards callers and towards engines. */
import {createHash} from "node:crypto"
import type {AdapterName} from "../policy/types.js"

/** The parts of `base:adapter@version`. */
export interface ModelName {
	base: string
	adapter: string
	version: string
}

const modelPattern = /^([^:@\s]+):([^:@\s]+)@([^:@\s]+)$/
const sourceDigestLength = 12

/** Splits `base:adapter@version`, or returns undefined when malformed. */
export function parseModelName(text: string): ModelName | undefined {
	const match = modelPattern.exec(text)
	if (match === null) return undefined
	const [, base = "", adapter = "", version = ""] = match
	return {base, adapter, version}
}

export function formatModelName({base, adapter, version}: ModelName): string {
	return `${base}:${adapter}@${version}`
}

/**
 * The name an engine loads an adapter under. It contains a digest of the
 * source, so that a version that was removed and declared anew with other
 * weights is never confused with the old one.
 */
export function engineAdapterName(model: string, source: string): AdapterName {
	const digest = createHash("sha256").update(source).digest("hex")
	return `${model}#${digest.slice(0, sourceDigestLength)}`
}
