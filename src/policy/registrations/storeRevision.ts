/**
 * Position of a change in the history of the platform's store. When the store
 * returns from an older copy of itself, its era rises by one and its revisions
 * continue from those of the copy, so that a revision alone orders nothing.
 */
export interface StoreRevision {
	era: number
	revision: number
}

/** Negative when `a` is before `b`, positive when it is after, else 0. */
export function compareRevisions(a: StoreRevision, b: StoreRevision): number {
	return a.era - b.era || a.revision - b.revision
}

/**
 * Number that rises with the pair (era, revision), for receivers that compare
 * single numbers. Exact up to an era of 8191 and a revision of 2 ** 40.
 */
export function toOrdinal({era, revision}: StoreRevision): number {
	return era * revisionsPerEra + revision
}

const revisionsPerEra = 2 ** 40
