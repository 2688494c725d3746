/** Removes configuration parts that the stored root does not name. */
import {
	configPartKind,
	listPartHashes,
	type StoredPart
} from "../contract/config/index.js"
import {
	type Platform,
	type PlatformObject,
	WriteOutcome
} from "../link/platform.js"
import {readRoot} from "./storedConfig.js"

/**
 * Minimum time since a part's `writtenAt`. An apply writes a part, or renews its
 * `writtenAt`, before the root that names it, so a younger part may be needed by
 * a root that is about to be written.
 */
const minAgeMs = 24 * 3600 * 1000
/** Parts are listed by the first digit of their hash, to bound each response. */
const hashPrefixes = "0123456789abcdef"

export interface PruneResult {
	/** Parts in the platform. */
	parts: number
	/** Parts that the root does not name and that have reached the minimum age. */
	unused: number
	/** Unused parts removed; 0 in a dry run. */
	removed: number
}

/**
 * Removes unused parts. Each is removed only if its version is still the listed
 * one, so a part that an apply has renewed since stays.
 *
 * @throws PlatformError when a read or a listing fails
 */
export async function pruneParts(
	platform: Platform,
	now: number,
	isDryRun: boolean
): Promise<PruneResult> {
	const objects: PlatformObject[] = []
	for (const prefix of hashPrefixes) {
		const {items} = await platform.list(configPartKind, prefix)
		objects.push(...items)
	}
	// Read after the parts are listed, so that the parts of a root accepted in
	// between count as used.
	const {root} = await readRoot(platform)
	const used = new Set(root === undefined ? [] : listPartHashes(root))
	const unused = objects.filter(
		object => !used.has(object.name) && isOldEnough(object, now)
	)
	const removed = isDryRun ? 0 : await removeParts(platform, unused)
	return {parts: objects.length, unused: unused.length, removed}
}

function isOldEnough({value}: PlatformObject, now: number): boolean {
	const {writtenAt = now} = (value ?? {}) as Partial<StoredPart>
	return writtenAt <= now - minAgeMs
}

async function removeParts(
	platform: Platform,
	objects: readonly PlatformObject[]
): Promise<number> {
	let removed = 0
	for (const {name, version} of objects) {
		const result = await platform.remove(configPartKind, name, version)
		if (result.outcome === WriteOutcome.Written) removed += 1
	}
	return removed
}
