/**
 * What one process knows of the keys of one bucket, and which attempts wait for
 * them. Decides what each attempt gets; `ClaimBucket` brings the entries that
 * are queued here into the platform.
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
	keyReused,
	notRun,
	replay,
	resultOf,
	stillRunning,
	trimAnswer,
	unknown
} from "./claimResults.js"
import {
	type ClaimAction,
	ClaimActionType,
	ClaimRefusal,
	ClaimResultType,
	type KeyedCall,
	type LogResult,
	SendEnd,
	type SendOutcome
} from "./claimTypes.js"
import {ClaimWaiters} from "./claimWaiters.js"

enum RecordState {
	/** Our claim is queued or being written; nothing was sent. */
	Claiming,
	/** Our claim is in the log and the call was sent. */
	Running,
	/** Our claim is in the log, nothing ran, and its release is queued. */
	Releasing,
	Answered,
	Uncertain,
	/** Claimed by another process, of which no outcome is known here. */
	Foreign
}

interface KeyRecord {
	state: RecordState
	attempt: string
	bodyHash: string
	at: number
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
	/** Makes the id of a new claim. */
	nextId: () => string
}

export class ClaimRecords {
	/** Entries to write, in order. */
	readonly queue = new ClaimQueue()
	/** True when an attempt waits for the newest state of the log. */
	wantsRead = false
	/** True while claims of others may be in the log that were not read. */
	isInDoubt = true

	private readonly records = new Map<string, KeyRecord>()
	private readonly waiters = new ClaimWaiters()
	/** Highest incarnation known to be gone, by host id. */
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

	/** Takes an attempt; `outageMs` is set while the platform is down. */
	addCall(call: KeyedCall, now: number, outageMs?: number): void {
		const record = this.currentRecord(call.key, now)
		if (record === undefined) {
			this.startClaim(call, now, outageMs)
			return
		}
		if (record.bodyHash !== call.bodyHash) {
			this.end(call, keyReused)
			return
		}
		switch (record.state) {
			case RecordState.Claiming:
				if (outageMs !== undefined) this.endInOutage(call, outageMs)
				else this.addWaiter(call, now)
				return
			case RecordState.Running:
				this.addWaiter(call, now)
				return
			case RecordState.Releasing:
				this.startClaim(call, now, outageMs)
				return
			case RecordState.Answered:
			case RecordState.Uncertain:
				this.end(call, replay(record.answer))
				return
			case RecordState.Foreign:
				this.addWaiter(call, now)
				if (outageMs === undefined) this.wantsRead = true
				else this.endForeign(call.key, record)
		}
	}

	/** Applies a batch that is known to be in the log. */
	applyBatch(batch: ClaimBatch, isOwn: boolean, now: number): void {
		for (const entry of batch.entries) {
			switch (entry.type) {
				case ClaimEntryType.Claim:
					if (isOwn) this.applyOwnClaim(entry, now)
					else this.applyForeignClaim(entry, batch, now)
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

	/** Takes the result of a call that this process sent. */
	endCall(
		key: string,
		attempt: string,
		outcome: SendOutcome,
		now: number
	): void {
		const record = this.records.get(key)
		if (record?.attempt !== attempt) return
		if (record.state !== RecordState.Running) return
		this.recordEnd(key, record, outcome, now)
		for (const {call, isSender} of this.waiters.take(key)) {
			this.end(call, resultOf(outcome, !isSender))
		}
	}

	/** Ends attempts whose time is up. */
	expireWaiters(now: number): void {
		for (const key of this.waiters.keys) {
			const record = this.records.get(key)
			if (record?.state === RecordState.Running) this.expireRunning(key, now)
			else if (record?.state === RecordState.Claiming) {
				this.expireClaiming(key, now)
			} else if (record?.state === RecordState.Foreign) {
				this.expireForeign(key, record, now)
			}
		}
		this.dropUnwantedClaims()
	}

	/** Ends every attempt that waits for the platform. */
	refuseUnclaimed(outageMs: number): void {
		for (const key of this.waiters.keys) {
			if (this.records.get(key)?.state !== RecordState.Claiming) continue
			for (const {call} of this.waiters.take(key)) {
				this.endInOutage(call, outageMs)
			}
		}
		this.endAllForeign()
		this.dropUnwantedClaims()
	}

	/** Ends attempts at keys of other owners, from the newest state known. */
	endAllForeign(): void {
		this.wantsRead = false
		for (const key of this.waiters.keys) {
			const record = this.records.get(key)
			if (record?.state === RecordState.Foreign) this.endForeign(key, record)
		}
	}

	/** Puts entries whose batch did not land back in front of the queue. */
	requeue(queued: readonly QueuedEntry[]): void {
		this.queue.putBack(queued)
		this.queue.keepClaims(
			({key, attempt}) => this.records.get(key)?.attempt === attempt
		)
		this.dropUnwantedClaims()
	}

	/** Notes that a process, and all its predecessors, will not return. */
	addGoneOwner(hostId: string, incarnation: number): void {
		const known = this.goneOwners.get(hostId) ?? -Infinity
		this.goneOwners.set(hostId, Math.max(known, incarnation))
	}

	/** Forgets keys that are past their retention, from the oldest on. */
	dropExpired(now: number): void {
		for (const [key, record] of this.records) {
			if (!this.isExpired(key, record, now)) return
			this.records.delete(key)
		}
	}

	/** Earliest time at which `expireWaiters` has something to do. */
	nextExpiry(): number {
		return this.waiters.earliest(({call, giveUpAt}) => {
			const record = this.records.get(call.key)
			const isRunning = record?.state === RecordState.Running
			return isRunning ? call.deadline : giveUpAt
		})
	}

	private currentRecord(key: string, now: number): KeyRecord | undefined {
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

	private startClaim(call: KeyedCall, now: number, outageMs?: number): void {
		if (call.deadline <= now) {
			this.endUnclaimed(call, ClaimRefusal.Deadline)
			return
		}
		if (outageMs !== undefined) {
			this.endInOutage(call, outageMs)
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
		const late = this.waiters.takeIf(key, ({call}) => call.deadline <= now)
		for (const {call} of late) this.endUnclaimed(call, ClaimRefusal.Deadline)
		const sender = this.waiters.chooseSender(key)
		if (sender === undefined) {
			this.release(key, record, now)
			return
		}
		record.state = RecordState.Running
		const callId = sender.id
		this.emit({type: ClaimActionType.Send, key, attempt, callId})
	}

	private applyForeignClaim(
		entry: ClaimMadeEntry,
		batch: ClaimBatch,
		now: number
	): void {
		const {key, attempt, bodyHash} = entry
		const known = this.currentRecord(key, now)
		if (known !== undefined && known.state !== RecordState.Claiming) return
		this.queue.keepClaims(({attempt: own}) => own !== known?.attempt)
		const {owner, at} = batch
		const state = RecordState.Foreign
		this.records.set(key, {state, attempt, bodyHash, at, owner})
		for (const {call} of this.waiters.take(key)) this.addCall(call, now)
	}

	private applyOutcome(entry: OutcomeEntry): void {
		const record = this.records.get(entry.key)
		if (record?.attempt !== entry.attempt) return
		if (record.state !== RecordState.Foreign) return
		record.state = RecordState.Answered
		record.answer = entry.answer
		this.replayAll(entry.key, record)
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
		if (record.state !== RecordState.Foreign) return
		record.state = RecordState.Uncertain
		this.replayAll(entry.key, record)
	}

	private recordEnd(
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
				this.enqueueLater({type, key, attempt, answer}, now)
				return
			}
			case SendEnd.NotStarted:
				this.release(key, record, now)
				return
			case SendEnd.Unknown:
				record.state = RecordState.Uncertain
				this.enqueueLater({type: ClaimEntryType.Uncertain, key, attempt}, now)
		}
	}

	private release(key: string, record: KeyRecord, now: number): void {
		record.state = RecordState.Releasing
		const {attempt} = record
		this.enqueueLater({type: ClaimEntryType.Released, key, attempt}, now)
	}

	private enqueueLater(entry: ClaimEntry, now: number): void {
		this.queue.push(entry, now + this.options.outcomeDelayMs)
	}

	/** Takes back queued claims that nobody waits for any more. */
	private dropUnwantedClaims(): void {
		this.queue.keepClaims(({key}) => {
			const isWanted = this.waiters.has(key)
			if (!isWanted) this.records.delete(key)
			return isWanted
		})
	}

	private addWaiter(call: KeyedCall, now: number): void {
		const giveUpAt = Math.min(call.deadline, now + this.options.claimWaitMs)
		this.waiters.add(call, giveUpAt)
	}

	private expireRunning(key: string, now: number): void {
		const late = this.waiters.takeIf(key, ({call}) => call.deadline <= now)
		for (const {call} of late) this.end(call, stillRunning)
	}

	private expireClaiming(key: string, now: number): void {
		const late = this.waiters.takeIf(key, ({giveUpAt}) => giveUpAt <= now)
		for (const {call} of late) {
			if (call.deadline <= now) this.endUnclaimed(call, ClaimRefusal.Deadline)
			else this.endInOutage(call, this.options.claimWaitMs)
		}
	}

	private expireForeign(key: string, record: KeyRecord, now: number): void {
		const late = this.waiters.takeIf(key, ({giveUpAt}) => giveUpAt <= now)
		for (const {call} of late) this.end(call, this.resultOfForeign(record))
	}

	private endForeign(key: string, record: KeyRecord): void {
		for (const {call} of this.waiters.take(key)) {
			this.end(call, this.resultOfForeign(record))
		}
	}

	private resultOfForeign({owner}: KeyRecord): LogResult {
		if (owner === undefined || this.isGone(owner)) {
			return unknown(Step.Claim, "the owner of the claim is gone")
		}
		return {type: ClaimResultType.Redirect, ...owner}
	}

	/** Only one process can hold an address, and here that is this one. */
	private isGone(owner: ClaimOwner): boolean {
		const self = this.options.owner
		if (owner.address === self.address) return true
		const {hostId, incarnation} = owner
		if (hostId === self.hostId && incarnation <= self.incarnation) return true
		const gone = this.goneOwners.get(hostId)
		return gone !== undefined && incarnation <= gone
	}

	private replayAll(key: string, record: KeyRecord): void {
		for (const {call} of this.waiters.take(key)) {
			this.end(call, replay(record.answer))
		}
	}

	private endInOutage(call: KeyedCall, outageMs: number): void {
		this.endUnclaimed(call, ClaimRefusal.PlatformUnavailable, outageMs)
	}

	/**
	 * "Not run" is a statement about the key, not only about this attempt: it is
	 * not made while an earlier attempt may have been sent by another process.
	 */
	private endUnclaimed(
		call: KeyedCall,
		reason: ClaimRefusal,
		retryAfterMs = 0
	): void {
		const isDoubtful = this.isInDoubt && !call.isFirstAttempt
		if (call.mayHaveBeenSent || isDoubtful) {
			const detail = "an earlier attempt may have run; its claim was not read"
			this.end(call, unknown(Step.Claim, detail))
			return
		}
		this.end(call, notRun(reason, "no claim was made", retryAfterMs))
	}

	private end(call: KeyedCall, result: LogResult): void {
		this.emit({type: ClaimActionType.End, callId: call.id, result})
	}
}
