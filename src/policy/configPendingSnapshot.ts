/** A configuration root whose parts are still being fetched. */
import type {ConfigPartContent, ConfigRoot} from "../contract/config/types.js"
import type {RootLearnt, SpreadParts} from "./configSpreadTypes.js"

/**
 * A generation to install once `missing` is empty and the process no longer
 * waits for the startup fetches.
 */
export interface PendingSnapshot {
	root: ConfigRoot
	fingerprint: string
	parts: Map<string, ConfigPartContent>
	/** Hashes of the parts not received yet. */
	missing: Set<string>
	/**
	 * Id of the peer to which the latest fetch was sent; empty for the platform
	 * and before the first fetch.
	 */
	source: string
	fetchCount: number
	/** When the missing parts are fetched again, from the next source in turn. */
	retryAt: number
	/** When the generation is abandoned, if no further part arrives. */
	abandonAt: number
}

/**
 * Starts collecting the parts that the root names. Takes those that came with
 * the root and those in `availableParts`; the others are to be fetched.
 */
export function createPendingSnapshot(
	{root, fingerprint, parts}: RootLearnt,
	availableParts: readonly (SpreadParts | undefined)[],
	abandonAt: number
): PendingSnapshot {
	const pending: PendingSnapshot = {
		root,
		fingerprint,
		parts: new Map(),
		missing: new Set(root.buckets.filter(hash => hash !== "")),
		source: "",
		fetchCount: 0,
		retryAt: 0,
		abandonAt
	}
	addMissingParts(pending, parts)
	for (const available of availableParts) {
		if (available !== undefined) addMissingParts(pending, available)
	}
	return pending
}

/** Adds the parts that were missing, and returns their number. */
export function addMissingParts(
	pending: PendingSnapshot,
	parts: SpreadParts
): number {
	let added = 0
	for (const hash of pending.missing) {
		const part = parts.get(hash)
		if (part === undefined) continue
		pending.parts.set(hash, part)
		pending.missing.delete(hash)
		added += 1
	}
	return added
}

export function hasAllParts({missing}: PendingSnapshot): boolean {
	return missing.size === 0
}
