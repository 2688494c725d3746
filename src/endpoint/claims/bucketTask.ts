/**
 * Drives one `ClaimBucket`: carries its actions out against the platform, one
 * at a time in a p-queue, and feeds the results back.
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
	type LogResult
} from "../../policy/claimTypes.js"
import {Attempts} from "./attempts.js"
import type {Send, SetTimer} from "./types.js"

export interface BucketTaskOptions {
	claims: ClaimOptions
	platform: Platform
	now: () => number
	setTimer: SetTimer
}

export class BucketTask {
	private readonly bucket: ClaimBucket
	private readonly io = new PQueue({concurrency: 1})
	private readonly attempts = new Attempts()
	private readonly idleWaiters: (() => void)[] = []
	private tickAt = Infinity
	private cancelTick: () => void = () => undefined

	constructor(private readonly options: BucketTaskOptions) {
		this.bucket = new ClaimBucket(options.claims)
	}

	/** Number of keys that are remembered. */
	get size(): number {
		return this.bucket.size
	}

	run(call: Omit<KeyedCall, "id">, send: Send): Promise<LogResult> {
		return this.attempts.begin(send, id => {
			this.feed({type: ClaimEventType.Call, call: {...call, id}})
		})
	}

	/** Notes that a process will not return. */
	noteGone(hostId: string, incarnation: number): void {
		this.feed({type: ClaimEventType.OwnerGone, hostId, incarnation})
	}

	/** Reads the log before the first call needs it. */
	sync(): void {
		this.feed({type: ClaimEventType.Sync})
	}

	/** Notes that others may have appended unseen. */
	doubt(): void {
		this.feed({type: ClaimEventType.Doubt})
	}

	/**
	 * Resolves to true when everything is answered and recorded, and to false
	 * when that is not so at the deadline.
	 */
	flush(deadline: number): Promise<boolean> {
		this.feed({type: ClaimEventType.Flush})
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

	private feed(event: ClaimEvent): void {
		for (const action of this.bucket.step(event, this.options.now())) {
			this.carryOut(action)
		}
		this.setTick(this.bucket.nextTickAt())
		if (!this.bucket.isIdle) return
		for (const notify of this.idleWaiters.splice(0)) notify()
	}

	private setTick(at: number): void {
		if (at === this.tickAt) return
		this.cancelTick()
		this.tickAt = at
		if (at === Infinity) return
		this.cancelTick = this.options.setTimer(() => {
			this.tickAt = Infinity
			this.feed({type: ClaimEventType.Tick})
		}, at)
	}

	private carryOut(action: ClaimAction): void {
		switch (action.type) {
			case ClaimActionType.ReadHead:
				this.queueIo(() => this.readHead())
				return
			case ClaimActionType.ReadSegments:
				this.queueIo(() => this.readSegments(action.refs))
				return
			case ClaimActionType.WriteHead:
				this.queueIo(() => this.writeHead(action.head, action.expected))
				return
			case ClaimActionType.WriteSegment:
				this.queueIo(() => this.writeSegment(action.id, action.segment))
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

	private queueIo(work: () => Promise<ClaimEvent>): void {
		void this.io.add(async () => {
			this.feed(await work())
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
		const reads = refs.map(({id}) => platform.read(claimKind, this.nameOf(id)))
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
		const name = this.nameOf(id)
		const {outcome} = await platform.write(
			claimKind,
			name,
			segment,
			absentVersion
		)
		return {type: ClaimEventType.SegmentWritten, outcome}
	}

	/** Best effort: a segment that stays only takes room. */
	private async removeSegment(id: string): Promise<WriteOutcome> {
		const {platform} = this.options
		const name = this.nameOf(id)
		try {
			const object = await platform.read(claimKind, name)
			if (object === undefined) return WriteOutcome.Conflict
			const {outcome} = await platform.remove(claimKind, name, object.version)
			return outcome
		} catch {
			return WriteOutcome.Refused
		}
	}

	private nameOf(segmentId: string): string {
		const {pool, bucket} = this.options.claims
		return segmentName(pool, bucket, segmentId)
	}

	private async send(
		key: string,
		attempt: string,
		callId: number
	): Promise<void> {
		const outcome = await this.attempts.send(callId)
		this.feed({type: ClaimEventType.CallEnded, key, attempt, outcome})
	}
}
