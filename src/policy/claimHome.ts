/**
 * Selects the endpoint process that handles the calls of an idempotency key,
 * the home of the key's bucket. All entries compute it from their list of live
 * hosts. When their lists differ, two processes append to the same claim log:
 * one of them gets a write conflict, and the call still runs at most once.
 */
import murmurhash from "murmurhash"

/** Number of buckets of a pool's claim log; must be equal in all processes. */
export const claimBucketCount = 64

/** Namespace of keys: equal keys of different scopes are independent. */
export interface KeyScope {
	member: string
	route: string
}

/** Encodes a scope and key unambiguously, as input of a hash. */
export function formatScopedKey(
	{member, route}: KeyScope,
	key: string
): string {
	return JSON.stringify([member, route, key])
}

/** The bucket of the claim log that a key belongs to. */
export function computeBucket(
	scope: KeyScope,
	key: string,
	buckets: number
): number {
	return murmurhash.v3(formatScopedKey(scope, key)) % buckets
}

/**
 * Ranks endpoint processes for a bucket by rendezvous hashing; the first is the
 * bucket's home. When a host leaves, only the buckets it was home to move.
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
	for (let bucket = 0; bucket < claimBucketCount; bucket += 1) {
		if (rankHomes(pool, bucket, hostIds)[0] === hostId) buckets.push(bucket)
	}
	return buckets
}

/**
 * True when a host that left recently ranks above the present home, so that it
 * may have sent an earlier attempt with a key of this bucket.
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
