/**
 * Which endpoint process gets the calls of a key. All entries compute the same
 * home from the live list; when their lists differ, the claim log keeps the
 * calls safe and the routing only costs a conflict.
 */
import murmurhash from "murmurhash"

/** Number of buckets of a pool's claim log, alike in all processes. */
export const claimBuckets = 64

/** Who calls what: keys of different scopes are unrelated. */
export interface KeyScope {
	member: string
	route: string
}

/** Unambiguous text of a scope and key, to be hashed. */
export function keyText({member, route}: KeyScope, key: string): string {
	return JSON.stringify([member, route, key])
}

/** The bucket of the claim log that a key belongs to. */
export function bucketOf(
	scope: KeyScope,
	key: string,
	buckets: number
): number {
	return murmurhash.v3(keyText(scope, key)) % buckets
}

/**
 * Endpoint processes by preference for a bucket, by rendezvous hashing; the
 * first is its home. A host that leaves moves only its own buckets.
 */
export function rankHomes(
	pool: string,
	bucket: number,
	hostIds: readonly string[]
): string[] {
	const scored = hostIds.map(id => ({
		id,
		score: murmurhash.v3(JSON.stringify([pool, bucket, id]))
	}))
	scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
	return scored.map(({id}) => id)
}

/** Buckets whose home is the given host. */
export function listHomeBuckets(
	pool: string,
	hostId: string,
	hostIds: readonly string[]
): number[] {
	const buckets: number[] = []
	for (let bucket = 0; bucket < claimBuckets; bucket += 1) {
		if (rankHomes(pool, bucket, hostIds)[0] === hostId) buckets.push(bucket)
	}
	return buckets
}

/**
 * True when a host that went away recently, had it stayed, would come before
 * the present home: an earlier attempt of a key may have been sent by it.
 */
export function hasMovedHome(
	pool: string,
	bucket: number,
	hostIds: readonly string[],
	recentlyGone: readonly string[]
): boolean {
	const all = [...new Set([...hostIds, ...recentlyGone])]
	const [home] = rankHomes(pool, bucket, hostIds)
	return rankHomes(pool, bucket, all)[0] !== home
}
