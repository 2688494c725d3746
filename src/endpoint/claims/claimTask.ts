/**
 * Runs calls with an idempotency key at most once. For a key that the caller
 * chose, a claim is written to the platform before the call is sent. The use of
 * a ticket is recorded only in the memory of this process, which minted it.
 */
import {createHash} from "node:crypto"
import {ulid} from "ulid"
import {
	computeBucket,
	type KeyScope,
	formatScopedKey
} from "../../policy/claimHome.js"
import {
	type ClaimOptions,
	defaultClaimOptions,
	type StoredCallResult
} from "../../policy/claimTypes.js"
import {toClaimResult} from "./answers.js"
import {BucketTask, type BucketTaskOptions} from "./bucketTask.js"
import {PauseDetector} from "./pauseDetector.js"
import {TicketTask} from "./ticketTask.js"
import type {
	ClaimCall,
	ClaimResult,
	ClaimTaskOptions,
	MintedTicket,
	Send,
	SetTimer
} from "./types.js"

const keyHashBytes = 16
const defaultFlushMs = 5_000
const defaultTicketLifeMs = 10 * 60 * 1_000

export class ClaimTask {
	private readonly buckets = new Map<number, BucketTask>()
	/** Highest incarnation of each host that has ended for good, by host id. */
	private readonly goneIncarnations = new Map<string, number>()
	private readonly bucketCount: number
	private readonly bucketOptions: Omit<ClaimOptions, "bucket">
	private readonly bucketEnvironment: Omit<BucketTaskOptions, "claims">
	private readonly tickets: TicketTask
	private readonly pauseDetector: PauseDetector

	constructor(options: ClaimTaskOptions) {
		const {
			platform,
			buckets,
			now = Date.now,
			setTimer = createSetTimer(now),
			processId = ulid(),
			ticketLifeMs: lifeMs = defaultTicketLifeMs,
			...claims
		} = options
		this.bucketCount = buckets
		this.bucketOptions = {...claims, processId}
		this.bucketEnvironment = {platform, now, setTimer}
		const setUnrefTimer = options.setTimer ?? createSetTimer(now, false)
		this.pauseDetector = new PauseDetector(now, setUnrefTimer, () => {
			this.markStale()
		})
		const {owner} = options
		const {retentionMs, maxAnswerChars} = {...defaultClaimOptions, ...claims}
		this.tickets = new TicketTask({
			owner,
			now,
			setTimer,
			lifeMs,
			retentionMs,
			maxAnswerChars
		})
	}

	/** Mints a key for one call, for which nothing is written to the platform. */
	mintTicket(scope: KeyScope): MintedTicket {
		return this.tickets.mint(scope)
	}

	/**
	 * Runs a call, or returns the outcome of an earlier call with the same key.
	 * For each key, at most one call starts, over all processes and attempts. With
	 * a key that the caller chose, `send` is called only once the claim is in the
	 * log; with a ticket, only by the process that minted it. It is called again
	 * only after an attempt that provably did not start.
	 */
	async run(call: ClaimCall, send: Send): Promise<ClaimResult> {
		this.pauseDetector.check()
		const result =
			call.ticket === true
				? await this.tickets.run(call, send)
				: await this.runClaimed(call, send)
		return toClaimResult(result)
	}

	/**
	 * Records that a process and all earlier ones of its host have ended. Not
	 * called by the endpoint process.
	 */
	markOwnerGone(hostId: string, incarnation: number): void {
		const known = this.goneIncarnations.get(hostId) ?? -Infinity
		if (incarnation <= known) return
		this.goneIncarnations.set(hostId, incarnation)
		for (const bucket of this.buckets.values()) {
			bucket.markOwnerGone(hostId, incarnation)
		}
	}

	/**
	 * Reads the claim log of the buckets whose home is this process. In an outage
	 * of the platform, a key that is not in a log read before is new, and its
	 * call can be refused as not run; without the log, its outcome is unknown.
	 */
	prefetchLogs(buckets: readonly number[]): void {
		for (const bucket of buckets) this.getBucketTask(bucket).prefetchLog()
	}

	/**
	 * Marks the logs of all buckets as stale: others may have appended to them.
	 * Until a log is read again, calls that can't be claimed end as unknown
	 * instead of not run. `ClaimTask` calls this itself after a pause of the
	 * process. When buckets had another home for a time, the endpoint process
	 * calls `sync` instead, and the entries set `mayHaveBeenSent`.
	 */
	markStale(): void {
		for (const bucket of this.buckets.values()) bucket.markStale()
	}

	/**
	 * Records the outcomes of all calls; must be called before the process exits.
	 * Resolves to false when the platform has not stored all of them by the
	 * deadline; retries of the keys concerned are then answered as unknown.
	 */
	async flush(
		deadline = this.bucketEnvironment.now() + defaultFlushMs
	): Promise<boolean> {
		const buckets = [...this.buckets.values()]
		const flushes = buckets.map(bucket => bucket.flush(deadline))
		const recorded = await Promise.all(flushes)
		return recorded.every(isRecorded => isRecorded)
	}

	/** Stops the timers; pending attempts get no result. */
	stop(): void {
		this.pauseDetector.stop()
		for (const bucket of this.buckets.values()) bucket.stop()
	}

	/** Number of keys and used tickets in memory. */
	get size(): number {
		let {size} = this.tickets
		for (const bucket of this.buckets.values()) size += bucket.size
		return size
	}

	private runClaimed(call: ClaimCall, send: Send): Promise<StoredCallResult> {
		const {scope, bodyHash, deadline} = call
		const {mayHaveBeenSent = false, isFirstAttempt = false} = call
		const bucket = computeBucket(scope, call.key, this.bucketCount)
		const keyed = {
			key: hashKey(call),
			bodyHash,
			deadline,
			mayHaveBeenSent,
			isFirstAttempt
		}
		return this.getBucketTask(bucket).run(keyed, send)
	}

	private getBucketTask(bucket: number): BucketTask {
		const known = this.buckets.get(bucket)
		if (known !== undefined) return known
		const claims = {...this.bucketOptions, bucket}
		const task = new BucketTask({claims, ...this.bucketEnvironment})
		this.buckets.set(bucket, task)
		for (const [hostId, incarnation] of this.goneIncarnations) {
			task.markOwnerGone(hostId, incarnation)
		}
		return task
	}
}

function hashKey({scope, key}: ClaimCall): string {
	const digest = createHash("sha256")
		.update(formatScopedKey(scope, key))
		.digest()
	return digest.subarray(0, keyHashBytes).toString("base64url")
}

function createSetTimer(now: () => number, keepsProcessAlive = true): SetTimer {
	return (callback, at) => {
		const timer = setTimeout(callback, Math.max(0, at - now()))
		if (!keepsProcessAlive) timer.unref()
		return () => {
			clearTimeout(timer)
		}
	}
}
