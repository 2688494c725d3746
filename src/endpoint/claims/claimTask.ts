/**
 * Runs keyed calls to a plain service at most once. Calls with an ordinary key
 * are claimed in the platform; calls with a ticket are remembered here only.
 */
import {createHash} from "node:crypto"
import {ulid} from "ulid"
import {bucketOf, type KeyScope, keyText} from "../../policy/claimHome.js"
import {
	type ClaimOptions,
	defaultClaimOptions,
	type LogResult
} from "../../policy/claimTypes.js"
import {toClaimResult} from "./answers.js"
import {BucketTask, type BucketTaskOptions} from "./bucketTask.js"
import {PauseWatch} from "./pauseWatch.js"
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
	/** Highest incarnation known to be gone, by host id. */
	private readonly gone = new Map<string, number>()
	private readonly bucketCount: number
	private readonly claims: Omit<ClaimOptions, "bucket">
	private readonly io: Omit<BucketTaskOptions, "claims">
	private readonly tickets: TicketTask
	private readonly pauses: PauseWatch

	constructor(options: ClaimTaskOptions) {
		const {
			platform,
			buckets,
			now = Date.now,
			setTimer = makeSetTimer(now),
			processId = ulid(),
			ticketLifeMs: lifeMs = defaultTicketLifeMs,
			...claims
		} = options
		this.bucketCount = buckets
		this.claims = {...claims, processId}
		this.io = {platform, now, setTimer}
		const setBeat = options.setTimer ?? makeSetTimer(now, false)
		this.pauses = new PauseWatch(now, setBeat, () => {
			this.doubt()
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

	/** Mints a key for one call, which then needs no write to the platform. */
	mintTicket(scope: KeyScope): MintedTicket {
		return this.tickets.mint(scope)
	}

	/**
	 * Runs a call unless its key ran before. `send` is called at most once over
	 * all processes and attempts of the key, after the claim is in the log.
	 */
	async run(call: ClaimCall, send: Send): Promise<ClaimResult> {
		this.pauses.check()
		const result =
			call.ticket === true
				? await this.tickets.run(call, send)
				: await this.runClaimed(call, send)
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

	/**
	 * Reads the log of buckets that this process is the home of, so that fresh
	 * keys can be told from unread ones when an outage begins.
	 */
	sync(buckets: readonly number[]): void {
		for (const bucket of buckets) this.bucketTask(bucket).sync()
	}

	/**
	 * Call it when buckets moved away and back, as others may have appended to
	 * them: until the log is read again, "not run" can't be told from unknown.
	 * Pauses of this process are found without it.
	 */
	doubt(): void {
		for (const bucket of this.buckets.values()) bucket.doubt()
	}

	/**
	 * Records all that ran; call it before leaving. Resolves to false when the
	 * platform did not take it before the deadline: retries of those keys are
	 * then answered as unknown.
	 */
	async flush(deadline = this.io.now() + defaultFlushMs): Promise<boolean> {
		const buckets = [...this.buckets.values()]
		const flushes = buckets.map(bucket => bucket.flush(deadline))
		const recorded = await Promise.all(flushes)
		return recorded.every(isRecorded => isRecorded)
	}

	/** Stops the timers; attempts that still wait are not answered. */
	stop(): void {
		this.pauses.stop()
		for (const bucket of this.buckets.values()) bucket.stop()
	}

	/** Number of keys and tickets that are remembered. */
	get size(): number {
		let {size} = this.tickets
		for (const bucket of this.buckets.values()) size += bucket.size
		return size
	}

	private runClaimed(call: ClaimCall, send: Send): Promise<LogResult> {
		const {scope, bodyHash, deadline} = call
		const {mayHaveBeenSent = false, isFirstAttempt = false} = call
		const bucket = bucketOf(scope, call.key, this.bucketCount)
		const keyed = {
			key: hashKey(call),
			bodyHash,
			deadline,
			mayHaveBeenSent,
			isFirstAttempt
		}
		return this.bucketTask(bucket).run(keyed, send)
	}

	private bucketTask(bucket: number): BucketTask {
		const known = this.buckets.get(bucket)
		if (known !== undefined) return known
		const claims = {...this.claims, bucket}
		const task = new BucketTask({claims, ...this.io})
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

function makeSetTimer(now: () => number, holdsProcess = true): SetTimer {
	return (callback, at) => {
		const timer = setTimeout(callback, Math.max(0, at - now()))
		if (!holdsProcess) timer.unref()
		return () => {
			clearTimeout(timer)
		}
	}
}
