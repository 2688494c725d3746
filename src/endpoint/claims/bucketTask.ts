/**
 * Runs the state machine of one claim bucket, `ClaimBucket`. Executes its
 * platform reads and writes one at a time in a p-queue, sends calls, sets its
 * timer, and returns the results to it as events. Removals of segments run
 * outside the queue, as nothing waits for them.
 */
import PQueue from "p-queue"
import type {Platform} from "../../link/platform.js"
import {absentVersion, WriteOutcome} from "../../link/platform.js"
import {
	claimKind,
	type ClaimHead,
	type ClaimSegment,
	headName,
	segmentName,
	type SegmentRef
} from "../../policy/claimLog.js"
import {ClaimBucket} from "../../policy/claims.js"
import {
	type ClaimAction,
	ClaimActionType,
	type ClaimEvent,
	ClaimEventType,
	type ClaimOptions,
	type KeyedCall,
	type StoredCallResult
} from "../../policy/claimTypes.js"
import {PendingAttempts} from "./attempts.js"
import type {Send, SetTimer} from "./types.js"

export interface BucketTaskOptions {
	claims: ClaimOptions
	platform: Platform
	now: () => number
	setTimer: SetTimer
}

export class BucketTask {
	private readonly bucket: ClaimBucket
	private readonly platformQueue = new PQueue({concurrency: 1})
	private readonly attempts = new PendingAttempts()
	private readonly idleWaiters: (() => void)[] = []
	private scheduledTickAt = Infinity
	private cancelTick: () => void = () => undefined

	constructor(private readonly options: BucketTaskOptions) {
		this.bucket = new ClaimBucket(options.claims)
	}

	/** Number of keys in memory. */
	get size(): number {
		return this.bucket.size
	}

	run(call: Omit<KeyedCall, "id">, send: Send): Promise<StoredCallResult> {
		return this.attempts.begin(send, id => {
			this.handleEvent({type: ClaimEventType.Call, call: {...call, id}})
		})
	}

	/** Tells the state machine that a process has ended for good. */
	markOwnerGone(hostId: string, incarnation: number): void {
		this.handleEvent({type: ClaimEventType.OwnerGone, hostId, incarnation})
	}

	/** Reads the claim log in advance, before a call needs it. */
	prefetchLog(): void {
		this.handleEvent({type: ClaimEventType.Sync})
	}

	/** Marks the log in memory as stale: others may have appended to it. */
	markStale(): void {
		this.handleEvent({type: ClaimEventType.MayBeStale})
	}

	/**
	 * Resolves to true when all calls are answered and their outcomes recorded in
	 * the log, and to false if that has not happened by the deadline.
	 */
	flush(deadline: number): Promise<boolean> {
		this.handleEvent({type: ClaimEventType.Flush})
		if (this.bucket.isIdle) return Promise.resolve(true)
		return new Promise(resolve => {
			const cancel = this.options.setTimer(() => {
				resolve(false)
			}, deadline)
			this.idleWaiters.push(() => {
				cancel()
				resolve(true)
			})
		})
	}

	stop(): void {
		this.cancelTick()
	}

	private handleEvent(event: ClaimEvent): void {
		for (const action of this.bucket.step(event, this.options.now())) {
			this.execute(action)
		}
		this.scheduleTick(this.bucket.nextTickAt())
		if (!this.bucket.isIdle) return
		for (const notify of this.idleWaiters.splice(0)) notify()
	}

	private scheduleTick(at: number): void {
		if (at === this.scheduledTickAt) return
		this.cancelTick()
		this.scheduledTickAt = at
		if (at === Infinity) return
		this.cancelTick = this.options.setTimer(() => {
			this.scheduledTickAt = Infinity
			this.handleEvent({type: ClaimEventType.Tick})
		}, at)
	}

	private execute(action: ClaimAction): void {
		switch (action.type) {
			case ClaimActionType.ReadHead:
				this.enqueueIo(() => this.readHead())
				return
			case ClaimActionType.ReadSegments:
				this.enqueueIo(() => this.readSegments(action.refs))
				return
			case ClaimActionType.WriteHead:
				this.enqueueIo(() => this.writeHead(action.head, action.expected))
				return
			case ClaimActionType.WriteSegment:
				this.enqueueIo(() => this.writeSegment(action.id, action.segment))
				return
			case ClaimActionType.RemoveSegment:
				void this.removeSegment(action.id)
				return
			case ClaimActionType.Send:
				void this.send(action.key, action.attempt, action.callId)
				return
			case ClaimActionType.End:
				this.attempts.end(action.callId, action.result)
		}
	}

	private enqueueIo(work: () => Promise<ClaimEvent>): void {
		void this.platformQueue.add(async () => {
			this.handleEvent(await work())
		})
	}

	private async readHead(): Promise<ClaimEvent> {
		const {platform, claims} = this.options
		try {
			const name = headName(claims.pool, claims.bucket)
			const object = await platform.read(claimKind, name)
			return {
				type: ClaimEventType.HeadRead,
				head: object?.value as ClaimHead | undefined,
				version: object?.version ?? absentVersion
			}
		} catch {
			return {type: ClaimEventType.ReadFailed}
		}
	}

	private async readSegments(refs: SegmentRef[]): Promise<ClaimEvent> {
		const {platform} = this.options
		const reads = refs.map(({id}) =>
			platform.read(claimKind, this.getSegmentName(id))
		)
		try {
			const objects = await Promise.all(reads)
			const segments = objects.map(
				object => object?.value as ClaimSegment | undefined
			)
			return {type: ClaimEventType.SegmentsRead, segments}
		} catch {
			return {type: ClaimEventType.ReadFailed}
		}
	}

	private async writeHead(
		head: ClaimHead,
		expected: number
	): Promise<ClaimEvent> {
		const {platform, claims} = this.options
		const name = headName(claims.pool, claims.bucket)
		const result = await platform.write(claimKind, name, head, expected)
		return {
			type: ClaimEventType.WriteEnded,
			outcome: result.outcome,
			version: result.version
		}
	}

	private async writeSegment(
		id: string,
		segment: ClaimSegment
	): Promise<ClaimEvent> {
		const {platform} = this.options
		const name = this.getSegmentName(id)
		const {outcome} = await platform.write(
			claimKind,
			name,
			segment,
			absentVersion
		)
		return {type: ClaimEventType.SegmentWritten, outcome}
	}

	/** Failures are ignored: an unused segment only takes up storage. */
	private async removeSegment(id: string): Promise<WriteOutcome> {
		const {platform} = this.options
		const name = this.getSegmentName(id)
		try {
			const object = await platform.read(claimKind, name)
			if (object === undefined) return WriteOutcome.Conflict
			const {outcome} = await platform.remove(claimKind, name, object.version)
			return outcome
		} catch {
			return WriteOutcome.Refused
		}
	}

	private getSegmentName(segmentId: string): string {
		const {pool, bucket} = this.options.claims
		return segmentName(pool, bucket, segmentId)
	}

	private async send(
		key: string,
		attempt: string,
		callId: number
	): Promise<void> {
		const outcome = await this.attempts.send(callId)
		this.handleEvent({type: ClaimEventType.CallEnded, key, attempt, outcome})
	}
}
