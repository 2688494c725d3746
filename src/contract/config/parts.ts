/**
 * The stored form of a configuration: a root object and content-addressed
 * parts. Each part holds the adapters of one hash bucket, so that a change of
 * one adapter rewrites only the root and one part.
 */
import {createHash} from "node:crypto"
import murmurhash from "murmurhash"
import {Step, StepError} from "../errors.js"
import type {
	Adapter,
	ConfigPartContent,
	ConfigRoot,
	Configuration
} from "./types.js"

const maxBuckets = 1024
const adaptersPerBucket = 64
/**
 * A stored bucket count is kept while it differs by at most this factor from
 * the count that the number of adapters calls for.
 */
const bucketCountTolerance = 4
const hashHexChars = 32
const bytesPerKibibyte = 1024

/** Limit of a stored value; well below the platform's limit of one megabyte. */
export const maxStoredBytes = 512 * bytesPerKibibyte

/** The root before an apply assigns its generation. */
export type ConfigRootContent = Pick<ConfigRoot, "settings" | "buckets">

/** Parts by their content hash. */
export type ConfigParts = ReadonlyMap<string, ConfigPartContent>

export interface SplitConfiguration {
	root: ConfigRootContent
	parts: Map<string, ConfigPartContent>
}

export interface SplitOptions {
	/** Number of hash buckets; by default chosen by the number of adapters. */
	buckets?: number
}

/** A value exceeds `maxStoredBytes`. */
export class ConfigSizeError extends StepError {}

/** A part whose hash the root lists is not among the given parts. */
export class MissingPartError extends StepError {}

/** A parsed `base:name` or `base:name@version`. */
export interface AdapterId {
	base: string
	name: string
	/** Undefined when the id has no version. */
	version: string | undefined
}

/** One version of an adapter, with the source to load it from. */
export interface ResolvedAdapter {
	base: string
	name: string
	version: string
	source: string
}

/**
 * Splits a configuration into its root and parts.
 *
 * @throws ConfigSizeError when one of them is too large to be stored
 */
export function splitIntoParts(
	{settings, adapters}: Configuration,
	{buckets = chooseBucketCount(adapters.length)}: SplitOptions = {}
): SplitConfiguration {
	const contents = Array.from({length: buckets}, (): Adapter[] => [])
	for (const adapter of adapters) {
		contents[chooseBucket(adapterKey(adapter), buckets)]?.push(adapter)
	}
	const parts = new Map<string, ConfigPartContent>()
	const hashes = contents.map(adapters => {
		if (adapters.length === 0) return ""
		const part: ConfigPartContent = {adapters: sortAdapters(adapters)}
		const hash = hashPart(part)
		checkSize(part, `configuration part ${hash}`)
		parts.set(hash, part)
		return hash
	})
	const root: ConfigRootContent = {settings, buckets: hashes}
	checkSize(root, "configuration root")
	return {root, parts}
}

/**
 * Chooses the number of hash buckets, a power of two. The previous count is kept
 * within a tolerance, because a change of the count rewrites every part.
 */
export function chooseBucketCount(adapters: number, previous = 0): number {
	let count = 1
	while (count < maxBuckets && count * adaptersPerBucket < adapters) count *= 2
	const isWithinTolerance =
		previous <= count * bucketCountTolerance &&
		count <= previous * bucketCountTolerance
	return previous > 0 && isWithinTolerance ? previous : count
}

/**
 * Rebuilds a configuration from its root and parts.
 *
 * @throws MissingPartError
 */
export function assembleConfiguration(
	root: ConfigRootContent,
	parts: ConfigParts
): Configuration {
	const adapters: Adapter[] = []
	for (const hash of root.buckets) {
		if (hash === "") continue
		adapters.push(...requirePart(hash, parts).adapters)
	}
	return {settings: root.settings, adapters: sortAdapters(adapters)}
}

/** Lists the hashes of a root's parts, without the empty buckets. */
export function listPartHashes(root: ConfigRootContent): string[] {
	return [...new Set(root.buckets)].filter(hash => hash !== "")
}

/**
 * Finds the hash of the part of an adapter's bucket; undefined when the bucket
 * is empty or the id is malformed.
 */
export function findPartHash(
	root: ConfigRootContent,
	id: string
): string | undefined {
	const parsed = parseAdapterId(id)
	if (parsed === undefined) return undefined
	const hash =
		root.buckets[chooseBucket(adapterKey(parsed), root.buckets.length)]
	return hash === "" ? undefined : hash
}

/**
 * Finds an adapter by `base:name` or `base:name@version`.
 *
 * @throws MissingPartError when the part of its bucket is absent
 */
export function findAdapter(
	root: ConfigRootContent,
	parts: ConfigParts,
	id: string
): Adapter | undefined {
	const hash = findPartHash(root, id)
	const parsed = parseAdapterId(id)
	if (hash === undefined || parsed === undefined) return undefined
	const key = adapterKey(parsed)
	const {adapters} = requirePart(hash, parts)
	return adapters.find(adapter => adapterKey(adapter) === key)
}

/**
 * Finds a version of an adapter by `base:name@version`.
 *
 * @throws MissingPartError when the part of the adapter's bucket is absent
 */
export function findAdapterVersion(
	root: ConfigRootContent,
	parts: ConfigParts,
	id: string
): ResolvedAdapter | undefined {
	const version = parseAdapterId(id)?.version
	const adapter = findAdapter(root, parts, id)
	const found = adapter?.versions.find(
		candidate => candidate.version === version
	)
	if (adapter === undefined || found === undefined) return undefined
	const {base, name} = adapter
	return {base, name, version: found.version, source: found.source}
}

/** Parses `base:name` or `base:name@version`. */
export function parseAdapterId(text: string): AdapterId | undefined {
	const match = /^([^:@]+):([^:@]+)(?:@([^:@]+))?$/.exec(text)
	if (match === null) return undefined
	const [, base = "", name = "", version] = match
	return {base, name, version}
}

/** Returns `base:name`, the key by which an adapter is hashed and sorted. */
export function adapterKey({
	base,
	name
}: Pick<Adapter, "base" | "name">): string {
	return `${base}:${name}`
}

/** Computes a part's content hash, over its adapters and no other field. */
export function hashPart({adapters}: ConfigPartContent): string {
	const hash = createHash("sha256").update(encodeCanonical({adapters}))
	return hash.digest("hex").slice(0, hashHexChars)
}

/** Encodes as JSON with sorted keys, so that equal values have equal text. */
export function encodeCanonical(value: unknown): string {
	return JSON.stringify(value, (_key, field: unknown) => {
		if (typeof field !== "object" || field === null) return field
		if (Array.isArray(field)) return field as unknown[]
		return Object.fromEntries(
			Object.entries(field).sort(([a], [b]) => compareText(a, b))
		)
	})
}

/** @throws ConfigSizeError when the value exceeds `maxStoredBytes` */
export function checkSize(value: unknown, subject: string): void {
	const bytes = Buffer.byteLength(JSON.stringify(value))
	if (bytes <= maxStoredBytes) return
	const message = `${subject} has ${bytes} bytes; the limit is ${maxStoredBytes} bytes`
	throw new ConfigSizeError(message, {step: Step.WriteParts})
}

function chooseBucket(key: string, buckets: number): number {
	return murmurhash.v3(key) % buckets
}

function requirePart(hash: string, parts: ConfigParts): ConfigPartContent {
	const part = parts.get(hash)
	if (part !== undefined) return part
	const message = `configuration part ${hash} is missing`
	throw new MissingPartError(message, {step: Step.Spread})
}

function sortAdapters(adapters: readonly Adapter[]): Adapter[] {
	const sorted = adapters.map(({base, name, versions}) => ({
		base,
		name,
		versions: [...versions].sort((a, b) => compareText(a.version, b.version))
	}))
	return sorted.sort((a, b) => compareText(adapterKey(a), adapterKey(b)))
}

function compareText(a: string, b: string): number {
	if (a === b) return 0
	return a < b ? -1 : 1
}
