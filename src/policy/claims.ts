/**
 * State machine of one process for the claim log of one bucket, by which a call
 * with an idempotency key runs at most once across all processes.
 *
 * A call is sent only after its claim is known to be in the log. An append is a
 * conditional write of the bucket's head on the version last seen. A process
 * that has not seen the newest batch gets a conflict, reads the batches that it
 * missed, and decides again. When the answer to a write is lost, the process
 * repeats the write on the same version until it succeeds or conflicts. From
 * then on the platform can't apply the first write any more, and reading the log
 * shows whether it was applied before.
 */
import {WriteOutcome, absentVersion} from "../link/platform.js"
import {PlatformBackoff} from "./platformBackoff.js"
import {
	type ClaimBatch,
	type ClaimHead,
	type ClaimSegment,
	emptyHead,
	getFirstBatchNumber,
	type SegmentRef,
	segmentsSince,
	countJsonChars
} from "./claimLog.js"
import type {QueuedEntry} from "./claimQueue.js"
import {ClaimRecords} from "./claimRecords.js"
import {
	appendTo,
	listBatchesSince,
	listDroppedSegments,
	addMergedBatches,
	planCompaction,
	type Compaction,
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

/** The call to the platform that is in progress; at most one at a time. */
enum IoState {
	Idle,
	ReadingHead,
	ReadingSegments,
	ReadingSegmentsToMerge,
	WritingSegment,
	WritingHead
}

interface PendingBatch {
	batch: ClaimBatch
	queued: QueuedEntry[]
	/** The head that contains the batch; undefined before its first write. */
	head?: ClaimHead
	/** True once the answer to a write of the batch was lost. */
	mayHaveBeenWritten: boolean
}

/** A head that was read, and the segments to read before it is adopted. */
interface FetchedHead {
	head: ClaimHead
	version: number
	refs: SegmentRef[]
}

export class ClaimBucket {
	private readonly options: ClaimOptions & typeof defaultClaimOptions
	private readonly records: ClaimRecords
	private readonly backoff: PlatformBackoff
	private actions: ClaimAction[] = []

	private head: ClaimHead = emptyHead
	private headVersion = absentVersion
	private headChars = 0
	private isSynced = false

	private io = IoState.Idle
	private pending: PendingBatch | undefined
	private compaction: Compaction | undefined
	private fetchedHead: FetchedHead | undefined
	private hasConflict = false
	private nextWriteAt = -Infinity
	private isFlushing = false
	private idCount = 0

	constructor(options: ClaimOptions) {
		this.options = {...defaultClaimOptions, ...options}
		this.backoff = new PlatformBackoff(this.options)
		const nextId = (): string => this.makeId()
		this.records = new ClaimRecords({...this.options, nextId}, action =>
			this.actions.push(action)
		)
	}

	/** Handles one event and returns the actions to carry out, in order. */
	step(event: ClaimEvent, now: number): ClaimAction[] {
		this.handle(event, now)
		this.startDueIo(now)
		const {actions} = this
		this.actions = []
		return actions
	}

	/** Time at which the next `Tick` is due; infinite when none is needed. */
	nextTickAt(): number {
		const expiry = this.records.getNextExpiry()
		if (this.io !== IoState.Idle) return expiry
		return Math.min(expiry, this.getNextIoAt())
	}

	/** Number of keys with a record. */
	get size(): number {
		return this.records.size
	}

	/** True when no entry is to be written and no attempt waits. */
	get isIdle(): boolean {
		if (this.pending !== undefined) return false
		return this.records.queue.isEmpty && !this.records.isWaiting
	}

	private handle(event: ClaimEvent, now: number): void {
		switch (event.type) {
			case ClaimEventType.Call:
				this.handleCall(event.call, now)
				return
			case ClaimEventType.WriteEnded:
				this.handleHeadWrite(event.outcome, event.version, now)
				return
			case ClaimEventType.SegmentWritten:
				this.handleSegmentWrite(event.outcome, now)
				return
			case ClaimEventType.HeadRead:
				this.handleHeadRead(event.head ?? emptyHead, event.version, now)
				return
			case ClaimEventType.SegmentsRead:
				this.handleSegmentsRead(event.segments, now)
				return
			case ClaimEventType.ReadFailed:
				this.handleReadFailure(now)
				return
			case ClaimEventType.CallEnded:
				this.records.endCall(event.key, event.attempt, event.outcome, now)
				return
			case ClaimEventType.OwnerGone:
				this.records.addGoneOwner(event.hostId, event.incarnation)
				return
			case ClaimEventType.Sync:
				this.records.isReadRequested = true
				return
			case ClaimEventType.MayBeStale:
				this.records.mayBeStale = true
				return
			case ClaimEventType.Tick:
				this.records.expireWaiters(now)
				return
			case ClaimEventType.Flush:
				this.isFlushing = true
		}
	}

	private handleCall(call: KeyedCall, now: number): void {
		const outageMs = this.isRefusingCalls(now)
			? this.backoff.retryAfterMs(now)
			: undefined
		this.records.addCall(call, now, outageMs)
	}

	private handleHeadWrite(
		outcome: WriteOutcome,
		version: number,
		now: number
	): void {
		this.io = IoState.Idle
		const {pending} = this
		if (pending === undefined) return
		switch (outcome) {
			case WriteOutcome.Written:
				this.commit(pending, version, now)
				return
			case WriteOutcome.Conflict:
				this.backoff.recordSuccess()
				this.hasConflict = true
				// The newer head, not read yet, holds a batch of another process, or an
				// own one whose write was applied without an answer.
				this.records.mayBeStale = true
				return
			case WriteOutcome.Lost:
				pending.mayHaveBeenWritten = true
				this.handleFailure(now)
				return
			case WriteOutcome.Refused:
				if (!pending.mayHaveBeenWritten) this.requeue(pending)
				this.handleFailure(now)
		}
	}

	/**
	 * Treats a conflict as success: segment names are unique to this process, so
	 * an earlier write of the same segment must have been applied.
	 */
	private handleSegmentWrite(outcome: WriteOutcome, now: number): void {
		this.io = IoState.Idle
		const isWritten =
			outcome === WriteOutcome.Written || outcome === WriteOutcome.Conflict
		if (this.compaction !== undefined && isWritten) {
			this.compaction.isWritten = true
			return
		}
		if (this.pending?.mayHaveBeenWritten === false) this.requeue(this.pending)
		this.handleFailure(now)
	}

	private handleReadFailure(now: number): void {
		if (this.io === IoState.ReadingSegmentsToMerge) this.completeCompaction([])
		this.io = IoState.Idle
		this.fetchedHead = undefined
		this.handleFailure(now)
	}

	private handleHeadRead(head: ClaimHead, version: number, now: number): void {
		this.io = IoState.Idle
		if (this.isStale(head)) {
			this.backoff.recordStaleRead(now)
			return
		}
		const from = this.isSynced ? this.head.next : 0
		const refs =
			from < getFirstBatchNumber(head) ? segmentsSince(head, from) : []
		this.fetchedHead = {head, version, refs}
		if (refs.length === 0) {
			this.adoptFetchedHead([], now)
			return
		}
		this.io = IoState.ReadingSegments
		this.actions.push({type: ClaimActionType.ReadSegments, refs})
	}

	/**
	 * True for a head older than the known one, or no newer than it although a
	 * conflict has shown that a newer one exists.
	 */
	private isStale(head: ClaimHead): boolean {
		if (head.next < this.head.next) return true
		return this.hasConflict && head.next === this.head.next
	}

	private handleSegmentsRead(
		segments: (ClaimSegment | undefined)[],
		now: number
	): void {
		const isMerge = this.io === IoState.ReadingSegmentsToMerge
		this.io = IoState.Idle
		const read = segments.filter(segment => segment !== undefined)
		if (isMerge) {
			this.completeCompaction(read)
			return
		}
		if (read.length < segments.length) {
			// A newer head may no longer refer to the missing segment; read it.
			this.fetchedHead = undefined
			this.backoff.recordStaleRead(now)
			return
		}
		this.adoptFetchedHead(read, now)
	}

	private completeCompaction(read: readonly ClaimSegment[]): void {
		const {compaction} = this
		if (compaction === undefined) return
		const isComplete = read.length === compaction.merged.length
		this.compaction = isComplete
			? addMergedBatches(compaction, read)
			: withoutMerge(compaction)
	}

	/** Adopts the head that was read and applies its batches not yet seen. */
	private adoptFetchedHead(
		segments: readonly ClaimSegment[],
		now: number
	): void {
		const {fetchedHead, pending} = this
		if (fetchedHead === undefined) return
		const from = this.isSynced ? this.head.next : 0
		const {head, version, refs} = fetchedHead
		const missed = listBatchesSince(head, refs, segments, from)
		const hasAdvanced = head.next > this.head.next || !this.isSynced
		const before = this.head
		this.setHead(head, version)
		this.fetchedHead = undefined
		this.isSynced = true
		this.records.mayBeStale = false
		this.hasConflict = false
		this.backoff.recordSuccess()
		if (hasAdvanced) this.endCompaction(before)
		if (pending !== undefined && hasAdvanced) this.pending = undefined
		let isInLog = false
		for (const batch of missed) {
			const isOwn = batch.id === pending?.batch.id
			isInLog ||= isOwn
			this.records.applyBatch(batch, isOwn, now)
		}
		if (pending !== undefined && hasAdvanced && !isInLog) this.requeue(pending)
		this.records.endAllPeerWaiters()
	}

	private commit(pending: PendingBatch, version: number, now: number): void {
		const {compaction, head: before} = this
		this.setHead(pending.head ?? before, version)
		this.backoff.recordSuccess()
		this.records.mayBeStale = false
		this.pending = undefined
		this.compaction = undefined
		this.nextWriteAt = now + this.options.writeIntervalMs
		this.records.applyBatch(pending.batch, true, now)
		if (compaction === undefined) return
		this.removeDroppedSegments(before)
		this.records.dropExpired(now)
	}

	private handleFailure(now: number): void {
		this.backoff.recordFailure(now)
		if (!this.backoff.isDown) return
		this.records.handleOutage(this.backoff.retryAfterMs(now))
	}

	/**
	 * True while calls are to be refused because the platform is down. Once the
	 * backoff has ended, a call is let through whenever no platform call is in
	 * progress, and so probes the platform.
	 */
	private isRefusingCalls(now: number): boolean {
		if (!this.backoff.isDown) return false
		return this.io !== IoState.Idle || now < this.backoff.retryAt
	}

	/** Starts the next call to the platform if it is due and none is running. */
	private startDueIo(now: number): void {
		if (this.io !== IoState.Idle || now < this.getNextIoAt()) return
		if (this.isReadDue()) {
			this.io = IoState.ReadingHead
			this.actions.push({type: ClaimActionType.ReadHead})
			return
		}
		this.pending ??= this.takeBatch(now)
		this.compaction ??= this.planCompaction()
		if (this.compaction?.hasAllBatches === false)
			this.readSegmentsToMerge(this.compaction)
		else if (this.compaction?.isWritten === false)
			this.writeSegment(this.compaction)
		else this.writeHead(this.pending, now)
	}

	private getNextIoAt(): number {
		const {retryAt} = this.backoff
		if (this.isReadDue() || this.pending !== undefined) return retryAt
		const {queue} = this.records
		if (queue.isEmpty) return Infinity
		if (this.isFlushing) return retryAt
		return Math.max(queue.dueAt, this.nextWriteAt, retryAt)
	}

	private isReadDue(): boolean {
		if (this.hasConflict || this.records.isReadRequested) return true
		return !this.isSynced && !this.records.queue.isEmpty
	}

	private readSegmentsToMerge({merged: refs}: Compaction): void {
		this.io = IoState.ReadingSegmentsToMerge
		this.actions.push({type: ClaimActionType.ReadSegments, refs})
	}

	private writeSegment({ref, batches}: Compaction): void {
		this.io = IoState.WritingSegment
		const type = ClaimActionType.WriteSegment
		this.actions.push({type, id: ref.id, segment: {batches}})
	}

	private writeHead(pending: PendingBatch, now: number): void {
		this.io = IoState.WritingHead
		const oldest = now - this.options.retentionMs
		const head = appendTo(this.head, pending.batch, this.compaction, oldest)
		pending.head = head
		const expected = this.headVersion
		this.actions.push({type: ClaimActionType.WriteHead, head, expected})
	}

	private takeBatch(now: number): PendingBatch {
		const queued = this.records.queue.take(this.options.maxBatchChars)
		const entries = queued.map(({entry}) => entry)
		const {owner} = this.options
		const batch = {id: this.makeId(), owner, at: now, entries}
		return {batch, queued, mayHaveBeenWritten: false}
	}

	private requeue({queued}: PendingBatch): void {
		this.pending = undefined
		this.records.requeue(queued)
	}

	private planCompaction(): Compaction | undefined {
		return planCompaction(
			this.head,
			this.headChars,
			this.makeId(),
			this.options
		)
	}

	/**
	 * Ends the compaction after the head has advanced. If the new head refers to
	 * its segment, the write without an answer was applied, and the merged
	 * segments are removed; otherwise the new segment is removed.
	 */
	private endCompaction(before: ClaimHead): void {
		const {compaction} = this
		this.compaction = undefined
		if (compaction === undefined) return
		const {id} = compaction.ref
		const isApplied = this.head.segments.some(ref => ref.id === id)
		if (isApplied) this.removeDroppedSegments(before)
		else this.actions.push({type: ClaimActionType.RemoveSegment, id})
	}

	private removeDroppedSegments(before: ClaimHead): void {
		for (const {id} of listDroppedSegments(before, this.head)) {
			this.actions.push({type: ClaimActionType.RemoveSegment, id})
		}
	}

	private setHead(head: ClaimHead, version: number): void {
		const isAppended = head.batches.length === this.head.batches.length + 1
		const last = head.batches.at(-1)
		if (isAppended && last !== undefined && head.next === this.head.next + 1) {
			this.headChars += countJsonChars(last)
		} else {
			this.headChars = head.batches.reduce(
				(sum, b) => sum + countJsonChars(b),
				0
			)
		}
		this.head = head
		this.headVersion = version
	}

	private makeId(): string {
		this.idCount += 1
		return `${this.options.processId}.${this.options.bucket}.${this.idCount}`
	}
}
