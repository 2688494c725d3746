/** Validates roots and parts that the platform or a peer sent as JSON. */
import {createHash} from "node:crypto"
import {z} from "zod"
import {Step, StepError} from "../errors.js"
import {encodeCanonical, hashPart} from "./parts.js"
import type {ConfigPartContent, ConfigRoot, Settings} from "./types.js"

/** A root or part is malformed, or a part does not match its hash. */
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
 * Validates a root.
 *
 * @throws StoredConfigError
 */
export function parseRoot(value: unknown, peer = ""): ConfigRoot {
	const result = rootSchema.safeParse(value)
	if (result.success) return result.data
	throw createMalformedError("configuration root", peer, result.error)
}

/**
 * Validates a part and checks its content against its hash.
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
		throw createMalformedError(`configuration part ${hash}`, peer, result.error)
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

/** Computes a hash of the whole root, equal only for equal content. */
export function fingerprintRoot(root: ConfigRoot): string {
	const hash = createHash("sha256").update(encodeCanonical(root))
	return hash.digest("hex")
}

function parseJson(bytes: Uint8Array, subject: string, peer: string): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(bytes))
	} catch (err) {
		throw createMalformedError(subject, peer, err)
	}
}

function createMalformedError(
	subject: string,
	peer: string,
	cause: unknown
): StepError {
	const message = `${subject} is malformed`
	return new StoredConfigError(message, {step: Step.Spread, peer, cause})
}

/**
 * Checks only that the lists are present: the operator command validates
 * settings before it stores them.
 */
function isSettings(value: unknown): boolean {
	if (typeof value !== "object" || value === null) return false
	const listFields: readonly (keyof Settings)[] = [
		"failureDomains",
		"baseModels",
		"pools",
		"routes",
		"serviceLevels"
	]
	const settings = value as Partial<Settings>
	return listFields.every(field => Array.isArray(settings[field]))
}
