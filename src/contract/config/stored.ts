/** Reads roots and parts that arrive as JSON from the platform or a peer. */
import {createHash} from "node:crypto"
import {z} from "zod"
import {Step, StepError} from "../errors.js"
import {encodeCanonical, hashPart} from "./parts.js"
import type {ConfigPartContent, ConfigRoot, Settings} from "./types.js"

/** A stored value is not what its name or type promises. */
export class StoredConfigError extends StepError {}

const applySchema = z.object({
	id: z.string(),
	generation: z.number(),
	operator: z.string(),
	at: z.number(),
	summary: z.string()
})

const rootSchema = z.object({
	generation: z.int().positive(),
	settings: z.custom<Settings>(isSettings, "expected settings"),
	buckets: z.array(z.string()).min(1),
	applies: z.array(applySchema)
})

const partSchema = z.object({
	adapters: z.array(
		z.object({
			base: z.string(),
			name: z.string(),
			versions: z.array(z.object({version: z.string(), source: z.string()}))
		})
	)
})

/**
 * Checks a value read from the platform.
 *
 * @throws StoredConfigError
 */
export function parseRoot(value: unknown, peer = ""): ConfigRoot {
	const result = rootSchema.safeParse(value)
	if (result.success) return result.data
	throw malformed("configuration root", peer, result.error)
}

/**
 * Checks a part's shape and that its content matches its hash.
 *
 * @throws StoredConfigError
 */
export function parsePart(
	hash: string,
	value: unknown,
	peer = ""
): ConfigPartContent {
	const result = partSchema.safeParse(value)
	if (!result.success) {
		throw malformed(`configuration part ${hash}`, peer, result.error)
	}
	if (hashPart(result.data) === hash) return result.data
	const message = `configuration part ${hash} has another content`
	throw new StoredConfigError(message, {step: Step.Spread, peer})
}

/** Encodes a root or a part for a message between processes. */
export function encodeStored(
	value: ConfigRoot | ConfigPartContent
): Uint8Array {
	return new TextEncoder().encode(encodeCanonical(value))
}

/** @throws StoredConfigError */
export function decodeRoot(bytes: Uint8Array, peer = ""): ConfigRoot {
	return parseRoot(parseJson(bytes, "configuration root", peer), peer)
}

/** @throws StoredConfigError */
export function decodePart(
	hash: string,
	bytes: Uint8Array,
	peer = ""
): ConfigPartContent {
	const value = parseJson(bytes, `configuration part ${hash}`, peer)
	return parsePart(hash, value, peer)
}

/** Equal for roots of equal content only. */
export function fingerprintRoot(root: ConfigRoot): string {
	const hash = createHash("sha256").update(encodeCanonical(root))
	return hash.digest("hex")
}

function parseJson(bytes: Uint8Array, what: string, peer: string): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(bytes))
	} catch (err) {
		throw malformed(what, peer, err)
	}
}

function malformed(what: string, peer: string, cause: unknown): StepError {
	const message = `${what} is malformed`
	return new StoredConfigError(message, {step: Step.Spread, peer, cause})
}

/** Checks the outline only, as settings are validated before they are stored. */
function isSettings(value: unknown): boolean {
	if (typeof value !== "object" || value === null) return false
	const lists: readonly (keyof Settings)[] = [
		"failureDomains",
		"baseModels",
		"pools",
		"routes",
		"serviceLevels"
	]
	const settings = value as Partial<Settings>
	return lists.every(list => Array.isArray(settings[list]))
}
