/**
 * Compaction of a claim log: moves batches from the head to segments, so that
 * the head, which every append rewrites, stays small, and merges small segments.
 */
import {
	type ClaimBatch,
	type ClaimHead,
	type ClaimSegment,
	getFirstBatchNumber,
	type SegmentRef,
	countJsonChars
} from "./claimLog.js"

export interface SegmentLimits {
	/** Size of a head's batches above which they move to a segment. */
	maxHeadChars: number
	/** Largest size of a merged segment. */
	maxSegmentChars: number
	/** Number of small segments at which they are merged into one. */
	mergeCount: number
}

/**
 * A new segment for the head's batches. It takes effect with the next append,
 * which writes a head that refers to the segment.
 */
export interface Compaction {
	ref: SegmentRef
	batches: ClaimBatch[]
	/** Segments that the new one replaces; their batches precede the head's. */
	merged: SegmentRef[]
	/** False until the batches of the merged segments have been read. */
	hasAllBatches: boolean
	isWritten: boolean
}

/** Returns undefined while the head is within its size limit. */
export function planCompaction(
	head: ClaimHead,
	headChars: number,
	id: string,
	limits: SegmentLimits
): Compaction | undefined {
	if (headChars <= limits.maxHeadChars) return undefined
	const {batches, next: to} = head
	const merged = chooseSegmentsToMerge(head, headChars, limits)
	const from = merged[0]?.from ?? getFirstBatchNumber(head)
	const newestAt = batches.reduce((at, batch) => Math.max(at, batch.at), 0)
	const chars = merged.reduce((sum, ref) => sum + ref.chars, headChars)
	const ref = {id, from, to, newestAt, chars}
	const hasAllBatches = merged.length === 0
	return {ref, batches, merged, hasAllBatches, isWritten: false}
}

/**
 * Returns the newest small segments if there are `mergeCount` of them, or at
 * least two that fill a segment of `maxSegmentChars`; otherwise none.
 * Segments of at most twice `maxHeadChars` are small; the search stops at the
 * first larger one.
 */
function chooseSegmentsToMerge(
	{segments}: ClaimHead,
	headChars: number,
	{maxHeadChars, maxSegmentChars, mergeCount}: SegmentLimits
): SegmentRef[] {
	let chars = headChars
	let count = 0
	let isFull = false
	for (const ref of segments.toReversed()) {
		if (ref.chars > 2 * maxHeadChars) break
		chars += ref.chars
		isFull = chars > maxSegmentChars
		if (isFull) break
		count += 1
	}
	if (count < 2 || (count < mergeCount && !isFull)) return []
	return segments.slice(segments.length - count)
}

/** Adds the batches of the merged segments, once these have been read. */
export function addMergedBatches(
	compaction: Compaction,
	segments: readonly ClaimSegment[]
): Compaction {
	const before = segments.flatMap(({batches}) => batches)
	return {
		...compaction,
		batches: [...before, ...compaction.batches],
		hasAllBatches: true
	}
}

/** Limits a compaction to the head's batches if a segment can't be read. */
export function withoutMerge(compaction: Compaction): Compaction {
	const {ref, batches} = compaction
	const from = ref.to - batches.length
	const chars = batches.reduce((sum, batch) => sum + countJsonChars(batch), 0)
	return {
		...compaction,
		ref: {...ref, from, chars},
		merged: [],
		hasAllBatches: true
	}
}

/**
 * Returns the head after an append. A compaction also removes the references
 * to segments whose newest batch is older than `oldest`.
 */
export function appendTo(
	head: ClaimHead,
	batch: ClaimBatch,
	compaction: Compaction | undefined,
	oldest: number
): ClaimHead {
	const next = head.next + 1
	if (compaction === undefined) {
		const {segments, batches} = head
		return {next, segments, batches: [...batches, batch]}
	}
	const kept = head.segments.filter(
		ref => ref.newestAt >= oldest && !compaction.merged.includes(ref)
	)
	return {next, segments: [...kept, compaction.ref], batches: [batch]}
}

/** Segments that a head refers to and its successor does not. */
export function listDroppedSegments(
	before: ClaimHead,
	after: ClaimHead
): SegmentRef[] {
	const kept = new Set(after.segments.map(({id}) => id))
	return before.segments.filter(({id}) => !kept.has(id))
}

/** Batches numbered `from` or higher, from `segments` and then the head. */
export function listBatchesSince(
	head: ClaimHead,
	refs: readonly SegmentRef[],
	segments: readonly ClaimSegment[],
	from: number
): ClaimBatch[] {
	const missed: ClaimBatch[] = []
	for (const [index, ref] of refs.entries()) {
		const batches = segments[index]?.batches ?? []
		missed.push(...batches.slice(Math.max(0, from - ref.from)))
	}
	const seenInHead = Math.max(0, from - getFirstBatchNumber(head))
	missed.push(...head.batches.slice(seenInHead))
	return missed
}
