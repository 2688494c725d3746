/** A root whose parts are being gathered, before it may be installed. */
import type {ConfigPartContent, ConfigRoot} from "../contract/config/types.js"
import type {RootLearnt, SpreadParts} from "./configSpreadTypes.js"

/** The generation to be installed next. */
export interface Gathering {
	root: ConfigRoot
	fingerprint: string
	parts: Map<string, ConfigPartContent>
	/** Hashes of the parts still wanted. */
	missing: Set<string>
	/** Peer that was asked last; empty for the platform. */
	source: string
	/** Fetches sent so far. */
	attempts: number
	retryAt: number
	giveUpAt: number
}

/** Starts to gather what the root names; `known` are parts held already. */
export function startGathering(
	{root, fingerprint, parts}: RootLearnt,
	known: readonly (SpreadParts | undefined)[],
	giveUpAt: number
): Gathering {
	const gathering: Gathering = {
		root,
		fingerprint,
		parts: new Map(),
		missing: new Set(root.buckets.filter(hash => hash !== "")),
		source: "",
		attempts: 0,
		retryAt: 0,
		giveUpAt
	}
	addParts(gathering, parts)
	for (const held of known) {
		if (held !== undefined) addParts(gathering, held)
	}
	return gathering
}

/** Takes the parts that are wanted; returns how many there were. */
export function addParts(gathering: Gathering, parts: SpreadParts): number {
	let added = 0
	for (const hash of gathering.missing) {
		const part = parts.get(hash)
		if (part === undefined) continue
		gathering.parts.set(hash, part)
		gathering.missing.delete(hash)
		added += 1
	}
	return added
}

export function isWhole({missing}: Gathering): boolean {
	return missing.size === 0
}
