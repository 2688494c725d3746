/**
 * When and how the batches of a claim log move from its head to segments, so
 * that the head, which every append rewrites, stays small.
 */
import {
	type ClaimBatch,
	type ClaimHead,
	type ClaimSegment,
	firstOf,
	type SegmentRef,
	sizeOf
} from "./claimLog.js"

export interface SegmentLimits {
	/** A head that holds more is moved to a segment. */
	maxHeadChars: number
	/** Segments are merged up to this size. */
	maxSegmentChars: number
	/** Number of small segments that are merged into one. */
	mergeCount: number
}

/** A move of the head's batches that the next append will take note of. */
export interface SegmentMove {
	ref: SegmentRef
	batches: ClaimBatch[]
	/** Segments whose batches go to the new one, before those of the head. */
	merged: SegmentRef[]
	isLoaded: boolean
	isWritten: boolean
}

/** Undefined while the head is small. */
export function planMove(
	head: ClaimHead,
	headChars: number,
	id: string,
	limits: SegmentLimits
): SegmentMove | undefined {
	if (headChars <= limits.maxHeadChars) return undefined
	const {batches, next: to} = head
	const merged = chooseMerged(head, headChars, limits)
	const from = merged[0]?.from ?? firstOf(head)
	const newestAt = batches.reduce((at, batch) => Math.max(at, batch.at), 0)
	const chars = merged.reduce((sum, ref) => sum + ref.chars, headChars)
	const ref = {id, from, to, newestAt, chars}
	const isLoaded = merged.length === 0
	return {ref, batches, merged, isLoaded, isWritten: false}
}

/** The newest small segments, when they are many or fill a whole one. */
function chooseMerged(
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

/** Completes a move with the segments that it merges. */
export function loadMerged(
	move: SegmentMove,
	segments: readonly ClaimSegment[]
): SegmentMove {
	const before = segments.flatMap(({batches}) => batches)
	return {...move, batches: [...before, ...move.batches], isLoaded: true}
}

/** The move without its merge, for when a segment could not be read. */
export function withoutMerge(move: SegmentMove): SegmentMove {
	const {ref, batches} = move
	const from = ref.to - batches.length
	const chars = batches.reduce((sum, batch) => sum + sizeOf(batch), 0)
	return {...move, ref: {...ref, from, chars}, merged: [], isLoaded: true}
}

/** The head after an append; segments older than `oldest` are dropped. */
export function appendTo(
	head: ClaimHead,
	batch: ClaimBatch,
	move: SegmentMove | undefined,
	oldest: number
): ClaimHead {
	const next = head.next + 1
	if (move === undefined) {
		const {segments, batches} = head
		return {next, segments, batches: [...batches, batch]}
	}
	const kept = head.segments.filter(
		ref => ref.newestAt >= oldest && !move.merged.includes(ref)
	)
	return {next, segments: [...kept, move.ref], batches: [batch]}
}

/** Segments that a head named and its successor does not. */
export function droppedSegments(
	before: ClaimHead,
	after: ClaimHead
): SegmentRef[] {
	const kept = new Set(after.segments.map(({id}) => id))
	return before.segments.filter(({id}) => !kept.has(id))
}

/** Batches numbered `from` or later, of a head and the segments it names. */
export function batchesSince(
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
	const seenInHead = Math.max(0, from - firstOf(head))
	missed.push(...head.batches.slice(seenInHead))
	return missed
}
