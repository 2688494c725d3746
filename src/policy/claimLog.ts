/**
 * Format of the claim log in the platform's object store.
 *
 * Each bucket of keys has one head object. The head is never deleted, and is
 * replaced only by conditional writes on its version. It holds the newest
 * batches and refers to immutable segments that hold the older ones. A process
 * that has not read the newest batch gets a write conflict, however long it was
 * paused, so the log depends on neither clocks nor leases.
 */

/** Object kind under which the platform stores heads and segments. */
export const claimKind = "claims"

/** The endpoint process that claimed a key, with its link address. */
export interface ClaimOwner {
	hostId: string
	address: string
	incarnation: number
}

export enum ClaimEntryType {
	/** Permits the owner, and no other process, to send the call. */
	Claim = "claim",
	/** The endpoint answered the call. */
	Outcome = "outcome",
	/** The call was not sent, or was refused before it started. */
	Released = "released",
	/** The call was sent, and its owner does not know whether it ran. */
	Uncertain = "uncertain"
}

export enum BodyEncoding {
	Utf8 = "utf8",
	Base64 = "base64"
}

/** An answer of a plain service, encoded for JSON. */
export interface StoredAnswer {
	status: number
	contentType: string
	encoding: BodyEncoding
	/** Undefined when it was longer than the log stores. */
	body?: string
	/** Length of the encoded body in characters, also when it is not stored. */
	size: number
}

interface EntryBase<T extends ClaimEntryType> {
	type: T
	/** Hash of Member, route and key. */
	key: string
	/** Id of the claim that this entry makes or ends. */
	attempt: string
}

export interface ClaimMadeEntry extends EntryBase<ClaimEntryType.Claim> {
	bodyHash: string
}

export interface OutcomeEntry extends EntryBase<ClaimEntryType.Outcome> {
	answer: StoredAnswer
}

export type ClaimEntry =
	| ClaimMadeEntry
	| OutcomeEntry
	| EntryBase<ClaimEntryType.Released>
	| EntryBase<ClaimEntryType.Uncertain>

/** Entries that one process appends in one write. */
export interface ClaimBatch {
	/** Unique across processes and incarnations. */
	id: string
	owner: ClaimOwner
	/** When the owner created the batch. */
	at: number
	entries: ClaimEntry[]
}

/** Refers to a segment, which holds the batches from `from` to `to - 1`. */
export interface SegmentRef {
	/** Last component of the segment's object name. */
	id: string
	from: number
	to: number
	/** Greatest `at` of the batches that its compaction moved from the head. */
	newestAt: number
	/** Total size of its batches, in characters of JSON. */
	chars: number
}

/** Consecutive batches that were moved out of the head; never changed. */
export interface ClaimSegment {
	batches: ClaimBatch[]
}

/** The object of one bucket that every append rewrites. */
export interface ClaimHead {
	/** Number of the next batch, one above that of the head's last batch. */
	next: number
	segments: SegmentRef[]
	batches: ClaimBatch[]
}

export const emptyHead: Readonly<ClaimHead> = {
	next: 0,
	segments: [],
	batches: []
}

/** Object name of a bucket's head. */
export function headName(pool: string, bucket: number): string {
	return `${pool}/${bucket}/head`
}

/** Object name of a segment; its writer chooses a unique id. */
export function segmentName(pool: string, bucket: number, id: string): string {
	return `${pool}/${bucket}/${id}`
}

/** Number of the oldest batch in the head itself, not in its segments. */
export function getFirstBatchNumber(head: ClaimHead): number {
	return head.next - head.batches.length
}

/** Segments that hold any batch numbered `from` or higher. */
export function segmentsSince(head: ClaimHead, from: number): SegmentRef[] {
	return head.segments.filter(ref => ref.to > from)
}

/** Stored size of a batch or entry, in characters of JSON. */
export function countJsonChars(value: ClaimBatch | ClaimEntry): number {
	return JSON.stringify(value).length
}
