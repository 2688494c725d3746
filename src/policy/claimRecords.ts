/**
 * State of the keys of one bucket in one process, with the attempts that wait
 * for them. Decides how each attempt ends, and queues entries for the claim log
 * that `ClaimBucket` writes to the platform.
 */
import {Step} from "../contract/errors.js"
import {
	type ClaimBatch,
	type ClaimEntry,
	ClaimEntryType,
	type ClaimMadeEntry,
	type ClaimOwner,
	type OutcomeEntry,
	type StoredAnswer
} from "./claimLog.js"
import {ClaimQueue, type QueuedEntry} from "./claimQueue.js"
import {
	keyReusedResult,
	createNotRun,
	createReplay,
	createResult,
	stillRunningResult,
	trimAnswer,
	createUnknown
} from "./claimResults.js"
import {
	type ClaimAction,
	ClaimActionType,
	ClaimRefusal,
	ClaimResultType,
	type KeyedCall,
	type StoredCallResult,
	SendEnd,
	type SendOutcome
} from "./claimTypes.js"
import {ClaimWaiters} from "./claimWaiters.js"

enum RecordState {
	/** Own claim, queued or being written; the call was not sent. */
	Claiming,
	/** Own claim, in the log; the call was sent and has not ended. */
	Running,
	/** Own claim, in the log; the call did not run, and its release is queued. */
	Releasing,
	Answered,
	/** The call was sent, and it is not known whether it ran. */
	Uncertain,
	/** Claim of another process, whose outcome has not been read. */
	ClaimedByPeer
}

interface KeyRecord {
	state: RecordState
	/** Id of the claim, as in `ClaimEntry`; not of a caller's attempt. */
	attempt: string
	bodyHash: string
	/** When the key was claimed. */
	at: number
	/** Set for claims of other processes. */
	owner?: ClaimOwner
	answer?: StoredAnswer
}

export interface ClaimRecordsOptions {
	owner: ClaimOwner
	groupMs: number
	outcomeDelayMs: number
	claimWaitMs: number
	retentionMs: number
	maxAnswerChars: number
	/** Creates the id of a new claim. */
	nextId: () => string
}

export class ClaimRecords {
	/** Entries to append to the log, in order. */
	readonly queue = new ClaimQueue()
	/**
	 * True when the newest head must be read: an attempt waits for the outcome of
	 * another process's claim, or a `Sync` was received.
	 */
	isReadRequested = false
	/** True while the log may hold claims of other processes that were not read. */
	mayBeStale = true

	private readonly records = new Map<string, KeyRecord>()
	private readonly waiters = new ClaimWaiters()
	/** Highest incarnation that is known to have ended, by host id. */
	private readonly goneOwners = new Map<string, number>()

	constructor(
		private readonly options: ClaimRecordsOptions,
		private readonly emit: (action: ClaimAction) => void
	) {}

	get size(): number {
		return this.records.size
	}

	get isWaiting(): boolean {
		return !this.waiters.isEmpty
	}

	/**
	 * Answers an attempt from the key's record, lets it wait, or queues a claim
	 * for it. While the platform is down, `outageRetryMs` is the retry delay
	 * returned with refusals; otherwise it is undefined.
	 */
	addCall(call: KeyedCall, now: number, outageRetryMs?: number): void {
		const record = this.getUnexpiredRecord(call.key, now)
		if (record === undefined) {
			this.startClaim(call, now, outageRetryMs)
			return
		}
		if (record.bodyHash !== call.bodyHash) {
			this.end(call, keyReusedResult)
			return
		}
		switch (record.state) {
			case RecordState.Claiming:
				if (outageRetryMs !== undefined)
					this.refuseForOutage(call, outageRetryMs)
				else this.addWaiter(call, now)
				return
			case RecordState.Running:
				this.addWaiter(call, now)
				return
			case RecordState.Releasing:
				this.startClaim(call, now, outageRetryMs)
				return
			case RecordState.Answered:
			case RecordState.Uncertain:
				this.end(call, createReplay(record.answer))
				return
			case RecordState.ClaimedByPeer:
				this.addWaiter(call, now)
				if (outageRetryMs === undefined) this.isReadRequested = true
				else this.endPeerWaiters(call.key, record)
		}
	}

	/** Applies the entries of a batch that is in the log. */
	applyBatch(batch: ClaimBatch, isOwn: boolean, now: number): void {
		for (const entry of batch.entries) {
			switch (entry.type) {
				case ClaimEntryType.Claim:
					if (isOwn) this.applyOwnClaim(entry, now)
					else this.applyPeerClaim(entry, batch, now)
					break
				case ClaimEntryType.Outcome:
					this.applyOutcome(entry)
					break
				case ClaimEntryType.Released:
					this.applyReleased(entry, now)
					break
				case ClaimEntryType.Uncertain:
					this.applyUncertain(entry)
			}
		}
	}

	/** Queues the outcome of an own call and ends the attempts that wait for it. */
	endCall(
		key: string,
		attempt: string,
		outcome: SendOutcome,
		now: number
	): void {
		const record = this.records.get(key)
		if (record?.attempt !== attempt) return
		if (record.state !== RecordState.Running) return
		this.recordOutcome(key, record, outcome, now)
		for (const {call, isSender} of this.waiters.take(key)) {
			this.end(call, createResult(outcome, !isSender))
		}
	}

	/** Ends attempts whose deadline or claim timeout has passed. */
	expireWaiters(now: number): void {
		for (const key of this.waiters.keys) {
			const record = this.records.get(key)
			if (record?.state === RecordState.Running)
				this.expireRunningWaiters(key, now)
			else if (record?.state === RecordState.Claiming) {
				this.expireClaimingWaiters(key, now)
			} else if (record?.state === RecordState.ClaimedByPeer) {
				this.expirePeerWaiters(key, record, now)
			}
		}
		this.dropAbandonedClaims()
	}

	/**
	 * Ends every attempt that waits for the platform: for its claim to be written,
	 * or for the log to be read (see `endAllPeerWaiters`).
	 */
	handleOutage(outageRetryMs: number): void {
		for (const key of this.waiters.keys) {
			if (this.records.get(key)?.state !== RecordState.Claiming) continue
			for (const {call} of this.waiters.take(key)) {
				this.refuseForOutage(call, outageRetryMs)
			}
		}
		this.endAllPeerWaiters()
		this.dropAbandonedClaims()
	}

	/**
	 * Ends attempts at keys whose claim by another process has no outcome in the
	 * log read so far: redirects them to the claim's owner or, if that process has
	 * ended, returns their outcome as unknown.
	 */
	endAllPeerWaiters(): void {
		this.isReadRequested = false
		for (const key of this.waiters.keys) {
			const record = this.records.get(key)
			if (record?.state === RecordState.ClaimedByPeer)
				this.endPeerWaiters(key, record)
		}
	}

	/**
	 * Returns the entries of a batch that is not in the log to the front of the
	 * queue, except claims that were superseded or have no waiting attempt.
	 */
	requeue(queued: readonly QueuedEntry[]): void {
		this.queue.prepend(queued)
		this.queue.filterClaims(
			({key, attempt}) => this.records.get(key)?.attempt === attempt
		)
		this.dropAbandonedClaims()
	}

	/** Records that this and all earlier incarnations of a host have ended. */
	addGoneOwner(hostId: string, incarnation: number): void {
		const known = this.goneOwners.get(hostId) ?? -Infinity
		this.goneOwners.set(hostId, Math.max(known, incarnation))
	}

	/**
	 * Deletes records past their retention, in the order in which their keys were
	 * added, up to the first that is kept.
	 */
	dropExpired(now: number): void {
		for (const [key, record] of this.records) {
			if (!this.isExpired(key, record, now)) return
			this.records.delete(key)
		}
	}

	/** Earliest time at which `expireWaiters` ends an attempt. */
	getNextExpiry(): number {
		return this.waiters.findEarliest(({call, claimTimeoutAt}) => {
			const record = this.records.get(call.key)
			const isRunning = record?.state === RecordState.Running
			return isRunning ? call.deadline : claimTimeoutAt
		})
	}

	private getUnexpiredRecord(key: string, now: number): KeyRecord | undefined {
		const record = this.records.get(key)
		if (record === undefined || !this.isExpired(key, record, now)) return record
		this.records.delete(key)
		return undefined
	}

	private isExpired(key: string, record: KeyRecord, now: number): boolean {
		if (record.at + this.options.retentionMs > now) return false
		if (record.state === RecordState.Claiming) return false
		if (record.state === RecordState.Running) return false
		return !this.waiters.has(key)
	}

	private startClaim(
		call: KeyedCall,
		now: number,
		outageRetryMs?: number
	): void {
		if (call.deadline <= now) {
			this.endUnsent(call, ClaimRefusal.Deadline)
			return
		}
		if (outageRetryMs !== undefined) {
			this.refuseForOutage(call, outageRetryMs)
			return
		}
		const {key, bodyHash} = call
		const attempt = this.options.nextId()
		const state = RecordState.Claiming
		this.records.set(key, {state, attempt, bodyHash, at: now})
		const entry: ClaimEntry = {
			type: ClaimEntryType.Claim,
			key,
			attempt,
			bodyHash
		}
		this.queue.push(entry, now + this.options.groupMs)
		this.addWaiter(call, now)
	}

	private applyOwnClaim(entry: ClaimMadeEntry, now: number): void {
		const {key, attempt} = entry
		const record = this.records.get(key)
		if (record?.attempt !== attempt) return
		if (record.state !== RecordState.Claiming) return
		const expired = this.waiters.takeIf(key, ({call}) => call.deadline <= now)
		for (const {call} of expired) this.endUnsent(call, ClaimRefusal.Deadline)
		const sender = this.waiters.chooseSender(key)
		if (sender === undefined) {
			this.release(key, record, now)
			return
		}
		record.state = RecordState.Running
		const callId = sender.id
		this.emit({type: ClaimActionType.Send, key, attempt, callId})
	}

	private applyPeerClaim(
		entry: ClaimMadeEntry,
		batch: ClaimBatch,
		now: number
	): void {
		const {key, attempt, bodyHash} = entry
		const known = this.getUnexpiredRecord(key, now)
		if (known !== undefined && known.state !== RecordState.Claiming) return
		this.queue.filterClaims(({attempt: own}) => own !== known?.attempt)
		const {owner, at} = batch
		const state = RecordState.ClaimedByPeer
		this.records.set(key, {state, attempt, bodyHash, at, owner})
		for (const {call} of this.waiters.take(key)) this.addCall(call, now)
	}

	private applyOutcome(entry: OutcomeEntry): void {
		const record = this.records.get(entry.key)
		if (record?.attempt !== entry.attempt) return
		if (record.state !== RecordState.ClaimedByPeer) return
		record.state = RecordState.Answered
		record.answer = entry.answer
		this.replayToWaiters(entry.key, record)
	}

	private applyReleased(entry: ClaimEntry, now: number): void {
		const record = this.records.get(entry.key)
		if (record?.attempt !== entry.attempt) return
		this.records.delete(entry.key)
		for (const {call} of this.waiters.take(entry.key)) {
			this.addCall(call, now)
		}
	}

	private applyUncertain(entry: ClaimEntry): void {
		const record = this.records.get(entry.key)
		if (record?.attempt !== entry.attempt) return
		if (record.state !== RecordState.ClaimedByPeer) return
		record.state = RecordState.Uncertain
		this.replayToWaiters(entry.key, record)
	}

	private recordOutcome(
		key: string,
		record: KeyRecord,
		outcome: SendOutcome,
		now: number
	): void {
		const {attempt} = record
		switch (outcome.end) {
			case SendEnd.Answered: {
				const {maxAnswerChars} = this.options
				const answer = trimAnswer(outcome.answer, maxAnswerChars)
				record.state = RecordState.Answered
				record.answer = answer
				const type = ClaimEntryType.Outcome
				this.enqueueDelayed({type, key, attempt, answer}, now)
				return
			}
			case SendEnd.NotStarted:
				this.release(key, record, now)
				return
			case SendEnd.Unknown:
				record.state = RecordState.Uncertain
				this.enqueueDelayed({type: ClaimEntryType.Uncertain, key, attempt}, now)
		}
	}

	private release(key: string, record: KeyRecord, now: number): void {
		record.state = RecordState.Releasing
		const {attempt} = record
		this.enqueueDelayed({type: ClaimEntryType.Released, key, attempt}, now)
	}

	private enqueueDelayed(entry: ClaimEntry, now: number): void {
		this.queue.push(entry, now + this.options.outcomeDelayMs)
	}

	/** Removes queued claims for which no attempt waits any more. */
	private dropAbandonedClaims(): void {
		this.queue.filterClaims(({key}) => {
			const hasWaiter = this.waiters.has(key)
			if (!hasWaiter) this.records.delete(key)
			return hasWaiter
		})
	}

	private addWaiter(call: KeyedCall, now: number): void {
		const claimTimeoutAt = Math.min(
			call.deadline,
			now + this.options.claimWaitMs
		)
		this.waiters.add(call, claimTimeoutAt)
	}

	private expireRunningWaiters(key: string, now: number): void {
		const expired = this.waiters.takeIf(key, ({call}) => call.deadline <= now)
		for (const {call} of expired) this.end(call, stillRunningResult)
	}

	private expireClaimingWaiters(key: string, now: number): void {
		const expired = this.waiters.takeIf(
			key,
			({claimTimeoutAt}) => claimTimeoutAt <= now
		)
		for (const {call} of expired) {
			if (call.deadline <= now) this.endUnsent(call, ClaimRefusal.Deadline)
			else this.refuseForOutage(call, this.options.claimWaitMs)
		}
	}

	private expirePeerWaiters(key: string, record: KeyRecord, now: number): void {
		const expired = this.waiters.takeIf(
			key,
			({claimTimeoutAt}) => claimTimeoutAt <= now
		)
		for (const {call} of expired) this.end(call, this.createPeerResult(record))
	}

	private endPeerWaiters(key: string, record: KeyRecord): void {
		for (const {call} of this.waiters.take(key)) {
			this.end(call, this.createPeerResult(record))
		}
	}

	private createPeerResult({owner}: KeyRecord): StoredCallResult {
		if (owner === undefined || this.hasEnded(owner)) {
			return createUnknown(Step.Claim, "the owner of the claim is gone")
		}
		return {type: ClaimResultType.Redirect, ...owner}
	}

	/**
	 * True when the owner of a claim has ended. A claim from this process's own
	 * address was made by a predecessor, as only one process can hold an address.
	 */
	private hasEnded(owner: ClaimOwner): boolean {
		const self = this.options.owner
		if (owner.address === self.address) return true
		const {hostId, incarnation} = owner
		if (hostId === self.hostId && incarnation <= self.incarnation) return true
		const gone = this.goneOwners.get(hostId)
		return gone !== undefined && incarnation <= gone
	}

	private replayToWaiters(key: string, record: KeyRecord): void {
		for (const {call} of this.waiters.take(key)) {
			this.end(call, createReplay(record.answer))
		}
	}

	private refuseForOutage(call: KeyedCall, outageRetryMs: number): void {
		this.endUnsent(call, ClaimRefusal.PlatformUnavailable, outageRetryMs)
	}

	/**
	 * Ends an attempt whose call was not sent. `NotRun` asserts that no attempt
	 * with the key has run so far, so the result is `Unknown` while another
	 * process may have sent an earlier attempt.
	 */
	private endUnsent(
		call: KeyedCall,
		reason: ClaimRefusal,
		retryAfterMs = 0
	): void {
		const mayHaveUnreadClaim = this.mayBeStale && !call.isFirstAttempt
		if (call.mayHaveBeenSent || mayHaveUnreadClaim) {
			const detail = "an earlier attempt may have run; its claim was not read"
			this.end(call, createUnknown(Step.Claim, detail))
			return
		}
		this.end(call, createNotRun(reason, "no claim was made", retryAfterMs))
	}

	private end(call: KeyedCall, result: StoredCallResult): void {
		this.emit({type: ClaimActionType.End, callId: call.id, result})
	}
}
