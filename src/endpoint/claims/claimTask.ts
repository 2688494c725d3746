/**
 * Runs keyed calls to a plain service at most once. Calls with an ordinary key
 * are claimed in the platform; calls with a ticket are remembered here only.
 */
import {createHash} from "node:crypto"
import {ulid} from "ulid"
import {bucketOf, keyText} from "../../policy/claimHome.js"
import {toClaimResult} from "./answers.js"
import {BucketTask} from "./bucketTask.js"
import type {
	ClaimCall,
	ClaimResult,
	ClaimTaskOptions,
	Send,
	SetTimer
} from "./types.js"

const keyHashBytes = 16

export class ClaimTask {
	private readonly options: ClaimTaskOptions
	private readonly buckets = new Map<number, BucketTask>()
	private readonly processId: string
	/** Highest incarnation known to be gone, by host id. */
	private readonly gone = new Map<string, number>()

	constructor(options: ClaimTaskOptions) {
		this.options = options
		this.processId = options.processId ?? ulid()
	}

	/**
	 * Runs a call unless its key ran before. `send` is called at most once over
	 * all processes and attempts of the key, after the claim is in the log.
	 */
	async run(call: ClaimCall, send: Send): Promise<ClaimResult> {
		const {scope, bodyHash, deadline, mayHaveBeenSent = false} = call
		const key = hashKey(call)
		const bucket = this.bucketTask(
			bucketOf(scope, call.key, this.options.buckets)
		)
		const result = await bucket.run(
			{key, bodyHash, deadline, mayHaveBeenSent},
			send
		)
		return toClaimResult(result)
	}

	/** Notes that a process, and all its predecessors, will not return. */
	noteGone(hostId: string, incarnation: number): void {
		const known = this.gone.get(hostId) ?? -Infinity
		if (incarnation <= known) return
		this.gone.set(hostId, incarnation)
		for (const bucket of this.buckets.values()) {
			bucket.noteGone(hostId, incarnation)
		}
	}

	/** Resolves when all that ran is recorded; call it before leaving. */
	async flush(): Promise<void> {
		const flushes = [...this.buckets.values()].map(bucket => bucket.flush())
		await Promise.all(flushes)
	}

	/** Stops the timers; attempts that still wait are not answered. */
	stop(): void {
		for (const bucket of this.buckets.values()) bucket.stop()
	}

	/** Number of keys that are remembered. */
	get size(): number {
		let size = 0
		for (const bucket of this.buckets.values()) size += bucket.size
		return size
	}

	private bucketTask(bucket: number): BucketTask {
		const known = this.buckets.get(bucket)
		if (known !== undefined) return known
		const {platform, now = Date.now, setTimer, ...claims} = this.options
		const task = new BucketTask({
			claims: {...claims, bucket, processId: this.processId},
			platform,
			now,
			setTimer: setTimer ?? makeSetTimer(now)
		})
		this.buckets.set(bucket, task)
		for (const [hostId, incarnation] of this.gone) {
			task.noteGone(hostId, incarnation)
		}
		return task
	}
}

function hashKey({scope, key}: ClaimCall): string {
	const digest = createHash("sha256").update(keyText(scope, key)).digest()
	return digest.subarray(0, keyHashBytes).toString("base64url")
}

function makeSetTimer(now: () => number): SetTimer {
	return (callback, at) => {
		const timer = setTimeout(callback, Math.max(0, at - now()))
		return () => {
			clearTimeout(timer)
		}
	}
}
