/** Removes parts that no root names any more. */
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
 * A part may be named by a root that is about to be written, by an apply that
 * wrote the part or renewed its time shortly before.
 */
const minAgeMs = 24 * 3600 * 1000
/** Parts are listed by the first digit of their hash, to bound each answer. */
const prefixes = "0123456789abcdef"

export interface PruneResult {
	parts: number
	/** Parts named by no root and old enough. */
	unused: number
	removed: number
}

/**
 * Removes unused parts, each on the condition that nobody has renewed it.
 *
 * @throws PlatformError
 */
export async function pruneParts(
	platform: Platform,
	now: number,
	isDryRun: boolean
): Promise<PruneResult> {
	const objects: PlatformObject[] = []
	for (const prefix of prefixes) {
		const {items} = await platform.list(configPartKind, prefix)
		objects.push(...items)
	}
	// Read after the parts, so that a root accepted in between protects its own.
	const {root} = await readRoot(platform)
	const used = new Set(root === undefined ? [] : listPartHashes(root))
	const unused = objects.filter(
		object => !used.has(object.name) && isOld(object, now)
	)
	const removed = isDryRun ? 0 : await removeAll(platform, unused)
	return {parts: objects.length, unused: unused.length, removed}
}

function isOld({value}: PlatformObject, now: number): boolean {
	const {writtenAt = now} = (value ?? {}) as Partial<StoredPart>
	return writtenAt <= now - minAgeMs
}

async function removeAll(
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
