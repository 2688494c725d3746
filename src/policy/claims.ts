/**
 * At most once for keyed calls: the claim log of one bucket, as one process
 * drives it.
 *
 * A call is sent only after its claim is known to be in the log. An append is a
 * conditional write of the bucket's head on the version last seen, so a process
 * that has not seen the newest batch conflicts, reads what it missed, and
 * decides again. A write whose answer was lost is repeated on the same version
 * until it succeeds or conflicts: after that the lost one can no longer land,
 * and reading the log tells whether it had landed before.
 */
import {WriteOutcome, absentVersion} from "../link/platform.js"
import {ClaimBackoff} from "./claimBackoff.js"
import {
	type ClaimBatch,
	type ClaimHead,
	type ClaimSegment,
	emptyHead,
	firstOf,
	type SegmentRef,
	segmentsSince,
	sizeOf
} from "./claimLog.js"
import type {QueuedEntry} from "./claimQueue.js"
import {ClaimRecords} from "./claimRecords.js"
import {
	appendTo,
	batchesSince,
	droppedSegments,
	loadMerged,
	planMove,
	type SegmentMove,
	withoutMerge
} from "./claimSegments.js"
import {
	type ClaimAction,
	ClaimActionType,
	type ClaimEvent,
	ClaimEventType,
	type ClaimOptions,
	defaultClaimOptions,
	type KeyedCall
} from "./claimTypes.js"

/** What the bucket waits for from the platform. */
enum Io {
	Idle,
	ReadingHead,
	ReadingSegments,
	ReadingMerged,
	WritingSegment,
	WritingHead
}

interface PendingBatch {
	batch: ClaimBatch
	queued: QueuedEntry[]
	/** The head as last written, undefined before the first write. */
	head?: ClaimHead
	/** True when a write of it lost its answer and may still land. */
	isUnsettled: boolean
}

interface HeadNews {
	head: ClaimHead
	version: number
	refs: SegmentRef[]
}

export class ClaimBucket {
	private readonly options: ClaimOptions & typeof defaultClaimOptions
	private readonly records: ClaimRecords
	private readonly backoff: ClaimBackoff
	private actions: ClaimAction[] = []

	private head: ClaimHead = emptyHead
	private headVersion = absentVersion
	private headChars = 0
	private isSynced = false

	private io = Io.Idle
	private pending: PendingBatch | undefined
	private move: SegmentMove | undefined
	private news: HeadNews | undefined
	private hasConflict = false
	private nextWriteAt = -Infinity
	private isFlushing = false
	private idsMade = 0

	constructor(options: ClaimOptions) {
		this.options = {...defaultClaimOptions, ...options}
		this.backoff = new ClaimBackoff(this.options)
		const nextId = (): string => this.makeId()
		this.records = new ClaimRecords({...this.options, nextId}, action =>
			this.actions.push(action)
		)
	}

	/** Takes one event and returns what to do about it, in order. */
	step(event: ClaimEvent, now: number): ClaimAction[] {
		this.take(event, now)
		this.pump(now)
		const {actions} = this
		this.actions = []
		return actions
	}

	/** When to send the next tick; infinite when none is needed. */
	nextTickAt(): number {
		const expiry = this.records.nextExpiry()
		if (this.io !== Io.Idle) return expiry
		return Math.min(expiry, this.nextIoAt())
	}

	/** Number of keys that are remembered. */
	get size(): number {
		return this.records.size
	}

	/** True when nothing waits to be written or answered. */
	get isIdle(): boolean {
		if (this.pending !== undefined) return false
		return this.records.queue.isEmpty && !this.records.isWaiting
	}

	private take(event: ClaimEvent, now: number): void {
		switch (event.type) {
			case ClaimEventType.Call:
				this.takeCall(event.call, now)
				return
			case ClaimEventType.WriteEnded:
				this.takeWrite(event.outcome, event.version, now)
				return
			case ClaimEventType.SegmentWritten:
				this.takeSegmentWrite(event.outcome, now)
				return
			case ClaimEventType.HeadRead:
				this.takeHead(event.head ?? emptyHead, event.version, now)
				return
			case ClaimEventType.SegmentsRead:
				this.takeSegments(event.segments, now)
				return
			case ClaimEventType.ReadFailed:
				this.takeReadFailure(now)
				return
			case ClaimEventType.CallEnded:
				this.records.endCall(event.key, event.attempt, event.outcome, now)
				return
			case ClaimEventType.OwnerGone:
				this.records.addGoneOwner(event.hostId, event.incarnation)
				return
			case ClaimEventType.Sync:
				this.records.wantsRead = true
				return
			case ClaimEventType.Doubt:
				this.records.isInDoubt = true
				return
			case ClaimEventType.Tick:
				this.records.expireWaiters(now)
				return
			case ClaimEventType.Flush:
				this.isFlushing = true
		}
	}

	private takeCall(call: KeyedCall, now: number): void {
		const outageMs = this.isDown(now)
			? this.backoff.retryAfterMs(now)
			: undefined
		this.records.addCall(call, now, outageMs)
	}

	private takeWrite(outcome: WriteOutcome, version: number, now: number): void {
		this.io = Io.Idle
		const {pending} = this
		if (pending === undefined) return
		switch (outcome) {
			case WriteOutcome.Written:
				this.commit(pending, version, now)
				return
			case WriteOutcome.Conflict:
				this.backoff.noteSuccess()
				this.hasConflict = true
				// What was appended is not known until it has been read.
				this.records.isInDoubt = true
				return
			case WriteOutcome.Lost:
				pending.isUnsettled = true
				this.noteFailure(now)
				return
			case WriteOutcome.Refused:
				if (!pending.isUnsettled) this.requeue(pending)
				this.noteFailure(now)
		}
	}

	/** A conflict means that an earlier write of the same name took effect. */
	private takeSegmentWrite(outcome: WriteOutcome, now: number): void {
		this.io = Io.Idle
		const isWritten =
			outcome === WriteOutcome.Written || outcome === WriteOutcome.Conflict
		if (this.move !== undefined && isWritten) {
			this.move.isWritten = true
			return
		}
		if (this.pending?.isUnsettled === false) this.requeue(this.pending)
		this.noteFailure(now)
	}

	private takeReadFailure(now: number): void {
		if (this.io === Io.ReadingMerged) this.takeMerged([])
		this.io = Io.Idle
		this.news = undefined
		this.noteFailure(now)
	}

	private takeHead(head: ClaimHead, version: number, now: number): void {
		this.io = Io.Idle
		if (this.isStale(head)) {
			this.backoff.noteStale(now)
			return
		}
		const from = this.isSynced ? this.head.next : 0
		const refs = from < firstOf(head) ? segmentsSince(head, from) : []
		this.news = {head, version, refs}
		if (refs.length === 0) {
			this.adoptNews([], now)
			return
		}
		this.io = Io.ReadingSegments
		this.actions.push({type: ClaimActionType.ReadSegments, refs})
	}

	/** A read that lags behind what is known, or behind a conflict seen. */
	private isStale(head: ClaimHead): boolean {
		if (head.next < this.head.next) return true
		return this.hasConflict && head.next === this.head.next
	}

	private takeSegments(
		segments: (ClaimSegment | undefined)[],
		now: number
	): void {
		const isMerge = this.io === Io.ReadingMerged
		this.io = Io.Idle
		const read = segments.filter(segment => segment !== undefined)
		if (isMerge) {
			this.takeMerged(read)
			return
		}
		if (read.length < segments.length) {
			this.news = undefined
			this.backoff.noteStale(now)
			return
		}
		this.adoptNews(read, now)
	}

	private takeMerged(read: readonly ClaimSegment[]): void {
		const {move} = this
		if (move === undefined) return
		const isComplete = read.length === move.merged.length
		this.move = isComplete ? loadMerged(move, read) : withoutMerge(move)
	}

	/** Moves to a newer head and applies the batches not seen before. */
	private adoptNews(segments: readonly ClaimSegment[], now: number): void {
		const {news, pending} = this
		if (news === undefined) return
		const from = this.isSynced ? this.head.next : 0
		const {head, version, refs} = news
		const missed = batchesSince(head, refs, segments, from)
		const hasMoved = head.next > this.head.next || !this.isSynced
		const before = this.head
		this.setHead(head, version)
		this.news = undefined
		this.isSynced = true
		this.records.isInDoubt = false
		this.hasConflict = false
		this.backoff.noteSuccess()
		if (hasMoved) this.dropMove(before)
		if (pending !== undefined && hasMoved) this.pending = undefined
		let hasLanded = false
		for (const batch of missed) {
			const isOwn = batch.id === pending?.batch.id
			hasLanded ||= isOwn
			this.records.applyBatch(batch, isOwn, now)
		}
		if (pending !== undefined && hasMoved && !hasLanded) this.requeue(pending)
		this.records.endAllForeign()
	}

	private commit(pending: PendingBatch, version: number, now: number): void {
		const {move, head: before} = this
		this.setHead(pending.head ?? before, version)
		this.backoff.noteSuccess()
		this.records.isInDoubt = false
		this.pending = undefined
		this.move = undefined
		this.nextWriteAt = now + this.options.writeIntervalMs
		this.records.applyBatch(pending.batch, true, now)
		if (move === undefined) return
		this.removeDropped(before)
		this.records.dropExpired(now)
	}

	private noteFailure(now: number): void {
		this.backoff.noteFailure(now)
		if (!this.backoff.isDown) return
		this.records.refuseUnclaimed(this.backoff.retryAfterMs(now))
	}

	/** While down, one attempt at a time may test the platform. */
	private isDown(now: number): boolean {
		if (!this.backoff.isDown) return false
		return this.io !== Io.Idle || now < this.backoff.retryAt
	}

	/** Starts the next call to the platform, if one is due. */
	private pump(now: number): void {
		if (this.io !== Io.Idle || now < this.nextIoAt()) return
		if (this.isReadDue()) {
			this.io = Io.ReadingHead
			this.actions.push({type: ClaimActionType.ReadHead})
			return
		}
		this.pending ??= this.formBatch(now)
		this.move ??= this.planMove()
		if (this.move?.isLoaded === false) this.readMerged(this.move)
		else if (this.move?.isWritten === false) this.writeSegment(this.move)
		else this.writeHead(this.pending, now)
	}

	private nextIoAt(): number {
		const {retryAt} = this.backoff
		if (this.isReadDue() || this.pending !== undefined) return retryAt
		const {queue} = this.records
		if (queue.isEmpty) return Infinity
		if (this.isFlushing) return retryAt
		return Math.max(queue.dueAt, this.nextWriteAt, retryAt)
	}

	private isReadDue(): boolean {
		if (this.hasConflict || this.records.wantsRead) return true
		return !this.isSynced && !this.records.queue.isEmpty
	}

	private readMerged({merged: refs}: SegmentMove): void {
		this.io = Io.ReadingMerged
		this.actions.push({type: ClaimActionType.ReadSegments, refs})
	}

	private writeSegment({ref, batches}: SegmentMove): void {
		this.io = Io.WritingSegment
		const type = ClaimActionType.WriteSegment
		this.actions.push({type, id: ref.id, segment: {batches}})
	}

	private writeHead(pending: PendingBatch, now: number): void {
		this.io = Io.WritingHead
		const oldest = now - this.options.retentionMs
		const head = appendTo(this.head, pending.batch, this.move, oldest)
		pending.head = head
		const expected = this.headVersion
		this.actions.push({type: ClaimActionType.WriteHead, head, expected})
	}

	private formBatch(now: number): PendingBatch {
		const queued = this.records.queue.take(this.options.maxBatchChars)
		const entries = queued.map(({entry}) => entry)
		const {owner} = this.options
		const batch = {id: this.makeId(), owner, at: now, entries}
		return {batch, queued, isUnsettled: false}
	}

	private requeue({queued}: PendingBatch): void {
		this.pending = undefined
		this.records.requeue(queued)
	}

	private planMove(): SegmentMove | undefined {
		return planMove(this.head, this.headChars, this.makeId(), this.options)
	}

	/** The head moved on: the move took effect unnoticed, or is of no use. */
	private dropMove(before: ClaimHead): void {
		const {move} = this
		this.move = undefined
		if (move === undefined) return
		const {id} = move.ref
		const hasLanded = this.head.segments.some(ref => ref.id === id)
		if (hasLanded) this.removeDropped(before)
		else this.actions.push({type: ClaimActionType.RemoveSegment, id})
	}

	private removeDropped(before: ClaimHead): void {
		for (const {id} of droppedSegments(before, this.head)) {
			this.actions.push({type: ClaimActionType.RemoveSegment, id})
		}
	}

	private setHead(head: ClaimHead, version: number): void {
		const isAppended = head.batches.length === this.head.batches.length + 1
		const last = head.batches.at(-1)
		if (isAppended && last !== undefined && head.next === this.head.next + 1) {
			this.headChars += sizeOf(last)
		} else {
			this.headChars = head.batches.reduce((sum, b) => sum + sizeOf(b), 0)
		}
		this.head = head
		this.headVersion = version
	}

	private makeId(): string {
		this.idsMade += 1
		return `${this.options.processId}.${this.options.bucket}.${this.idsMade}`
	}
}
