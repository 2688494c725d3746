/**
 * The claim log as it is stored in the platform.
 *
 * Each bucket of keys has one head object, which is never deleted and is only
 * ever replaced by a conditional write on its version. The head holds the
 * newest batches and names the immutable segments into which older batches were
 * moved. A writer that has not seen the newest batch therefore conflicts,
 * however long it was paused, so no clock and no lease guards the log.
 */

/** Kind of the platform's objects that hold the claim log. */
export const claimKind = "claims"

/** The process that claimed a key, and where it is reached. */
export interface ClaimOwner {
	hostId: string
	address: string
	incarnation: number
}

export enum ClaimEntryType {
	/** The owner may send the call from now on. */
	Claim = "claim",
	/** The call was answered. */
	Outcome = "outcome",
	/** The call was never sent, or refused before it started. */
	Released = "released",
	/** The call was sent and it is not known whether it ran. */
	Uncertain = "uncertain"
}

export enum BodyEncoding {
	Utf8 = "utf8",
	Base64 = "base64"
}

/** An answer of a plain service, as text that fits into JSON. */
export interface StoredAnswer {
	status: number
	contentType: string
	encoding: BodyEncoding
	/** Undefined when the body exceeded the size that is stored. */
	body?: string
	/** Length of the encoded body, also when it was not stored. */
	size: number
}

interface EntryOf<T extends ClaimEntryType> {
	type: T
	/** Hash of Member, route and key. */
	key: string
	/** Identifies the claim that this entry is about. */
	attempt: string
}

export interface ClaimMadeEntry extends EntryOf<ClaimEntryType.Claim> {
	bodyHash: string
}

export interface OutcomeEntry extends EntryOf<ClaimEntryType.Outcome> {
	answer: StoredAnswer
}

export type ClaimEntry =
	| ClaimMadeEntry
	| OutcomeEntry
	| EntryOf<ClaimEntryType.Released>
	| EntryOf<ClaimEntryType.Uncertain>

/** Entries of one process that were written together. */
export interface ClaimBatch {
	/** Unique over all processes and incarnations. */
	id: string
	owner: ClaimOwner
	at: number
	entries: ClaimEntry[]
}

/** Names a segment; it holds the batches numbered `from` to before `to`. */
export interface SegmentRef {
	/** Last part of the object's name. */
	id: string
	from: number
	to: number
	/** When its newest batch was written. */
	newestAt: number
	chars: number
}

/** An immutable run of batches that were moved out of the head. */
export interface ClaimSegment {
	batches: ClaimBatch[]
}

/** The object of one bucket that every append replaces. */
export interface ClaimHead {
	/** Number of the next batch; the head's batches end just before it. */
	next: number
	segments: SegmentRef[]
	batches: ClaimBatch[]
}

export const emptyHead: Readonly<ClaimHead> = {
	next: 0,
	segments: [],
	batches: []
}

/** Name of the head object of a bucket. */
export function headName(pool: string, bucket: number): string {
	return `${pool}/${bucket}/head`
}

/** Name of a segment; its writer makes the id unique. */
export function segmentName(pool: string, bucket: number, id: string): string {
	return `${pool}/${bucket}/${id}`
}

/** Number of the oldest batch that the head itself holds. */
export function firstOf(head: ClaimHead): number {
	return head.next - head.batches.length
}

/** Segments that hold batches numbered `from` or later. */
export function segmentsSince(head: ClaimHead, from: number): SegmentRef[] {
	return head.segments.filter(ref => ref.to > from)
}

/** Size of a batch or entry in the platform, in characters of JSON. */
export function sizeOf(value: ClaimBatch | ClaimEntry): number {
	return JSON.stringify(value).length
}
