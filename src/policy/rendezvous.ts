/**
 * Weighted rendezvous hashing. Every process that has the same items computes
 * the same ranking for a key. When an item is removed, only the keys for which
 * it ranked first are assigned to another item.
 */
import murmurhash from "murmurhash"

export interface RendezvousItem {
	id: string
	/** Relative capacity; an item of weight 0 is ranked last. */
	weight: number
}

const hashRange = 2 ** 32

/** Ids of the items in order of preference for `key`, best first. */
export function rankByRendezvous(
	key: string,
	items: readonly RendezvousItem[]
): string[] {
	const keyHash = hashString(key)
	const scored = items.map(item => ({
		id: item.id,
		score: getRendezvousScore(keyHash, hashString(item.id), item.weight)
	}))
	scored.sort((a, b) => b.score - a.score || compareIds(a.id, b.id))
	return scored.map(item => item.id)
}

/** Score of an item for a key; the highest is preferred. */
export function getRendezvousScore(
	keyHash: number,
	itemHash: number,
	weight: number
): number {
	if (weight <= 0) return 0
	return -weight / Math.log(hashToUnitInterval(keyHash, itemHash))
}

/** Maps two hashes to a pseudo-random value in (0, 1). */
export function hashToUnitInterval(a: number, b: number): number {
	return (mixHashes(a, b) + 0.5) / hashRange
}

export function hashString(value: string): number {
	return murmurhash.v3(value)
}

/** Applies the finalizer of MurmurHash3 to the combination of two hashes. */
function mixHashes(a: number, b: number): number {
	let hash = Math.imul(a, 0x9e3779b1) ^ b
	hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
	return (hash ^ (hash >>> 16)) >>> 0
}

function compareIds(a: string, b: string): number {
	if (a === b) return 0
	return a < b ? -1 : 1
}
