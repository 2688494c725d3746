/**
 * How a configuration is stored: a root object plus content-addressed parts,
 * each holding the adapters of some hash buckets, so that changing one adapter
 * rewrites one small part and the root.
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
/** A bucket count is kept while the mean load is within this factor. */
const bucketSlack = 4
const hashLength = 32
const bytesPerKilobyte = 1024

/** The platform takes values up to one megabyte; this leaves ample room. */
export const maxStoredBytes = 512 * bytesPerKilobyte

/** The stored form of a configuration, before it is given a generation. */
export type ConfigRootContent = Pick<ConfigRoot, "settings" | "buckets">

/** Parts by hash. */
export type ConfigParts = ReadonlyMap<string, ConfigPartContent>

export interface SplitConfiguration {
	root: ConfigRootContent
	parts: Map<string, ConfigPartContent>
}

export interface SplitOptions {
	/** Number of hash buckets. */
	buckets?: number
}

/** A value would be too large for the platform. */
export class ConfigSizeError extends StepError {}

/** A part that the root names is absent. */
export class MissingPartError extends StepError {}

/** `base:name`, with the version when one is named. */
export interface AdapterId {
	base: string
	name: string
	version: string | undefined
}

/** One version of an adapter, ready to be loaded. */
export interface ResolvedAdapter {
	base: string
	name: string
	version: string
	source: string
}

/** Splits a configuration into its stored objects. */
export function splitIntoParts(
	{settings, adapters}: Configuration,
	{buckets = chooseBucketCount(adapters.length)}: SplitOptions = {}
): SplitConfiguration {
	const contents = Array.from({length: buckets}, (): Adapter[] => [])
	for (const adapter of adapters) {
		contents[bucketOf(adapterKey(adapter), buckets)]?.push(adapter)
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
 * Chooses a power of two. A previous count is kept as long as it fits, since
 * another count rewrites every part.
 */
export function chooseBucketCount(adapters: number, previous = 0): number {
	let count = 1
	while (count < maxBuckets && count * adaptersPerBucket < adapters) count *= 2
	const isClose =
		previous <= count * bucketSlack && count <= previous * bucketSlack
	return previous > 0 && isClose ? previous : count
}

/** Puts a configuration together from its stored objects. */
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

/** Hashes of the parts that a root names. */
export function listPartHashes(root: ConfigRootContent): string[] {
	return [...new Set(root.buckets)].filter(hash => hash !== "")
}

/** Hash of the part that would hold an adapter; undefined when none does. */
export function findPartHash(
	root: ConfigRootContent,
	id: string
): string | undefined {
	const parsed = parseAdapterId(id)
	if (parsed === undefined) return undefined
	const hash = root.buckets[bucketOf(adapterKey(parsed), root.buckets.length)]
	return hash === "" ? undefined : hash
}

/** Finds an adapter by `base:name`, with or without a version. */
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

/** Finds the version that `base:name@version` names. */
export function findAdapterVersion(
	root: ConfigRootContent,
	parts: ConfigParts,
	id: string
): ResolvedAdapter | undefined {
	const version = parseAdapterId(id)?.version
	const adapter = findAdapter(root, parts, id)
	const found = adapter?.versions.find(entry => entry.version === version)
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

/** `base:name`. */
export function adapterKey({
	base,
	name
}: Pick<Adapter, "base" | "name">): string {
	return `${base}:${name}`
}

/** The content address of a part; covers its adapters alone. */
export function hashPart({adapters}: ConfigPartContent): string {
	const hash = createHash("sha256").update(encodeCanonical({adapters}))
	return hash.digest("hex").slice(0, hashLength)
}

/** JSON with sorted keys, so that equal values have equal text. */
export function encodeCanonical(value: unknown): string {
	return JSON.stringify(value, (_key, field: unknown) => {
		if (typeof field !== "object" || field === null) return field
		if (Array.isArray(field)) return field as unknown[]
		return Object.fromEntries(
			Object.entries(field).sort(([a], [b]) => compareText(a, b))
		)
	})
}

/** @throws ConfigSizeError when the value is too large to be stored */
export function checkSize(value: unknown, what: string): void {
	const bytes = Buffer.byteLength(JSON.stringify(value))
	if (bytes <= maxStoredBytes) return
	const message = `${what} has ${bytes} bytes, more than ${maxStoredBytes}`
	throw new ConfigSizeError(message, {step: Step.WriteParts})
}

function bucketOf(key: string, buckets: number): number {
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
