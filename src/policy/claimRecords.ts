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

interface Waiter {
	call: KeyedCall
	/** When the wait for the claim ends. */
	giveUpAt: number
	isSender: boolean
}

/** An entry that is not yet part of a batch. */
export interface QueuedEntry {
	entry: ClaimEntry
	/** Time by which it should be written. */
	dueAt: number
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
	queue: QueuedEntry[] = []
	/** True when an attempt waits for the newest state of the log. */
	wantsRead = false
	/** True while claims of others may be in the log that were not read. */
	isInDoubt = true

	private readonly records = new Map<string, KeyRecord>()
	private readonly waiting = new Map<string, Waiter[]>()
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
		return this.waiting.size > 0
	}

	/** Takes an attempt; `outageMs` is set while the platform is down. */
	addCall(call: KeyedCall, now: number, outageMs?: number): void {
		const record = this.currentRecord(call.key, now)
		if (record === undefined) {
			this.startClaim(call, now, outageMs)
			return
		}
		if (record.bodyHash !== call.bodyHash) {
			this.endNotRun(call, ClaimRefusal.KeyReused, "key used with another body")
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
				this.endFromRecord(call, record)
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
		const waiters = this.takeWaiters(key)
		switch (outcome.end) {
			case SendEnd.Answered:
				this.recordAnswer(key, record, outcome.answer, now)
				for (const waiter of waiters) {
					this.endAnswered(waiter.call, outcome.answer, !waiter.isSender)
				}
				return
			case SendEnd.NotStarted:
				this.release(key, record, now)
				for (const {call} of waiters) {
					const {detail, retryAfterMs} = outcome
					const reason = ClaimRefusal.EndpointRefused
					this.endNotRun(call, reason, detail, retryAfterMs)
				}
				return
			case SendEnd.Unknown:
				record.state = RecordState.Uncertain
				this.enqueueLater({type: ClaimEntryType.Uncertain, key, attempt}, now)
				for (const {call} of waiters) {
					this.endUnknown(call, outcome.step, outcome.detail)
				}
		}
	}

	/** Ends attempts whose time is up. */
	expireWaiters(now: number): void {
		for (const [key, waiters] of this.waiting) {
			const record = this.records.get(key)
			if (record === undefined) continue
			if (record.state === RecordState.Running) {
				this.expireRunning(key, waiters, now)
			} else if (record.state === RecordState.Claiming) {
				this.expireClaiming(key, waiters, now)
			} else if (waiters.some(waiter => waiter.giveUpAt <= now)) {
				this.endForeign(key, record)
			}
		}
		this.dropUnwantedClaims()
	}

	/** Ends every attempt that waits for the platform. */
	refuseUnclaimed(outageMs: number): void {
		for (const [key, waiters] of this.waiting) {
			const record = this.records.get(key)
			if (record?.state === RecordState.Claiming) {
				this.waiting.delete(key)
				for (const {call} of waiters) this.endInOutage(call, outageMs)
			}
		}
		this.endAllForeign()
		this.dropUnwantedClaims()
	}

	/** Ends attempts at keys of other owners, from the newest state known. */
	endAllForeign(): void {
		this.wantsRead = false
		for (const key of [...this.waiting.keys()]) {
			const record = this.records.get(key)
			if (record?.state === RecordState.Foreign) this.endForeign(key, record)
		}
	}

	/** Puts entries whose batch did not land back in front of the queue. */
	requeue(queued: readonly QueuedEntry[]): void {
		const kept = queued.filter(
			({entry}) =>
				entry.type !== ClaimEntryType.Claim ||
				this.records.get(entry.key)?.attempt === entry.attempt
		)
		this.queue.unshift(...kept)
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
		let earliest = Infinity
		for (const [key, waiters] of this.waiting) {
			const isRunning = this.records.get(key)?.state === RecordState.Running
			for (const waiter of waiters) {
				const at = isRunning ? waiter.call.deadline : waiter.giveUpAt
				earliest = Math.min(earliest, at)
			}
		}
		return earliest
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
		return !this.waiting.has(key)
	}

	private startClaim(call: KeyedCall, now: number, outageMs?: number): void {
		if (call.deadline <= now) {
			this.endUnclaimed(call, ClaimRefusal.Deadline, 0)
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
		this.queue.push({entry, dueAt: now + this.options.groupMs})
		this.addWaiter(call, now)
	}

	private applyOwnClaim(entry: ClaimMadeEntry, now: number): void {
		const {key, attempt} = entry
		const record = this.records.get(key)
		if (record?.attempt !== attempt) return
		if (record.state !== RecordState.Claiming) return
		const waiters = this.takeWaiters(key)
		const ready = waiters.filter(({call}) => call.deadline > now)
		for (const waiter of waiters) {
			if (ready.includes(waiter)) continue
			this.endUnclaimed(waiter.call, ClaimRefusal.Deadline, 0)
		}
		const sender = latestOf(ready)
		if (sender === undefined) {
			this.release(key, record, now)
			return
		}
		record.state = RecordState.Running
		sender.isSender = true
		this.waiting.set(key, ready)
		const callId = sender.call.id
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
		if (known !== undefined) this.dropQueuedClaim(known.attempt)
		const {owner, at} = batch
		const state = RecordState.Foreign
		this.records.set(key, {state, attempt, bodyHash, at, owner})
		const waiters = this.takeWaiters(key)
		for (const {call} of waiters) this.addCall(call, now)
	}

	private applyOutcome(entry: OutcomeEntry): void {
		const record = this.records.get(entry.key)
		if (record?.attempt !== entry.attempt) return
		if (record.state !== RecordState.Foreign) return
		record.state = RecordState.Answered
		record.answer = entry.answer
		this.endAllFromRecord(entry.key, record)
	}

	private applyReleased(entry: ClaimEntry, now: number): void {
		const record = this.records.get(entry.key)
		if (record?.attempt !== entry.attempt) return
		this.records.delete(entry.key)
		const waiters = this.takeWaiters(entry.key)
		for (const {call} of waiters) this.addCall(call, now)
	}

	private applyUncertain(entry: ClaimEntry): void {
		const record = this.records.get(entry.key)
		if (record?.attempt !== entry.attempt) return
		if (record.state !== RecordState.Foreign) return
		record.state = RecordState.Uncertain
		this.endAllFromRecord(entry.key, record)
	}

	private recordAnswer(
		key: string,
		record: KeyRecord,
		answer: StoredAnswer,
		now: number
	): void {
		const stored = this.trimAnswer(answer)
		record.state = RecordState.Answered
		record.answer = stored
		const {attempt} = record
		const type = ClaimEntryType.Outcome
		this.enqueueLater({type, key, attempt, answer: stored}, now)
	}

	/** Bodies past the limit are not kept, here or in the log. */
	private trimAnswer(answer: StoredAnswer): StoredAnswer {
		if (answer.size <= this.options.maxAnswerChars) return answer
		const {status, contentType, encoding, size} = answer
		return {status, contentType, encoding, size}
	}

	private release(key: string, record: KeyRecord, now: number): void {
		record.state = RecordState.Releasing
		const {attempt} = record
		this.enqueueLater({type: ClaimEntryType.Released, key, attempt}, now)
	}

	private enqueueLater(entry: ClaimEntry, now: number): void {
		this.queue.push({entry, dueAt: now + this.options.outcomeDelayMs})
	}

	private dropQueuedClaim(attempt: string): void {
		this.queue = this.queue.filter(
			({entry}) =>
				entry.type !== ClaimEntryType.Claim || entry.attempt !== attempt
		)
	}

	/** Takes back queued claims that nobody waits for any more. */
	private dropUnwantedClaims(): void {
		this.queue = this.queue.filter(({entry}) => {
			if (entry.type !== ClaimEntryType.Claim) return true
			if (this.waiting.has(entry.key)) return true
			this.records.delete(entry.key)
			return false
		})
	}

	private addWaiter(call: KeyedCall, now: number): void {
		const waiters = this.waiting.get(call.key) ?? []
		const giveUpAt = Math.min(call.deadline, now + this.options.claimWaitMs)
		waiters.push({call, giveUpAt, isSender: false})
		this.waiting.set(call.key, waiters)
	}

	private takeWaiters(key: string): Waiter[] {
		const waiters = this.waiting.get(key) ?? []
		this.waiting.delete(key)
		return waiters
	}

	private expireRunning(key: string, waiters: Waiter[], now: number): void {
		const late = waiters.filter(({call}) => call.deadline <= now)
		this.keepWaiters(key, waiters, late)
		for (const {call} of late) {
			this.endUnknown(call, Step.Answer, "the call still runs at the deadline")
		}
	}

	private expireClaiming(key: string, waiters: Waiter[], now: number): void {
		const late = waiters.filter(waiter => waiter.giveUpAt <= now)
		this.keepWaiters(key, waiters, late)
		for (const {call} of late) {
			if (call.deadline <= now) {
				this.endUnclaimed(call, ClaimRefusal.Deadline, 0)
			} else {
				this.endInOutage(call, this.options.claimWaitMs)
			}
		}
	}

	private keepWaiters(key: string, waiters: Waiter[], late: Waiter[]): void {
		const kept = waiters.filter(waiter => !late.includes(waiter))
		if (kept.length === 0) this.waiting.delete(key)
		else this.waiting.set(key, kept)
	}

	private endForeign(key: string, record: KeyRecord): void {
		const {owner} = record
		for (const {call} of this.takeWaiters(key)) {
			if (owner === undefined || this.isGone(owner)) {
				this.endUnknown(call, Step.Claim, "the owner of the claim is gone")
			} else {
				const type = ClaimResultType.Redirect
				this.end(call, {type, ...owner})
			}
		}
	}

	/** A process that holds our address or id now has replaced its forerunner. */
	private isGone(owner: ClaimOwner): boolean {
		const self = this.options.owner
		const isSamePlace =
			owner.address === self.address || owner.hostId === self.hostId
		if (isSamePlace && owner.incarnation <= self.incarnation) return true
		const gone = this.goneOwners.get(owner.hostId)
		return gone !== undefined && owner.incarnation <= gone
	}

	private endAllFromRecord(key: string, record: KeyRecord): void {
		for (const {call} of this.takeWaiters(key)) {
			this.endFromRecord(call, record)
		}
	}

	private endFromRecord(call: KeyedCall, record: KeyRecord): void {
		const {answer} = record
		if (answer === undefined) {
			this.endUnknown(call, Step.Send, "an earlier attempt may have run")
		} else if (answer.body === undefined) {
			const {status, size} = answer
			const detail = `answered ${status}; its ${size} characters are not kept`
			this.endUnknown(call, Step.Answer, detail)
		} else {
			this.endAnswered(call, answer, true)
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
		retryAfterMs: number
	): void {
		const isDoubtful = this.isInDoubt && !call.isFirstAttempt
		if (call.mayHaveBeenSent || isDoubtful) {
			const detail = "an earlier attempt may have run; its claim was not read"
			this.endUnknown(call, Step.Claim, detail)
			return
		}
		this.endNotRun(call, reason, "no claim was made", retryAfterMs)
	}

	private endNotRun(
		call: KeyedCall,
		reason: ClaimRefusal,
		detail: string,
		retryAfterMs = 0
	): void {
		const type = ClaimResultType.NotRun
		this.end(call, {type, reason, detail, retryAfterMs})
	}

	private endUnknown(call: KeyedCall, step: Step, detail: string): void {
		this.end(call, {type: ClaimResultType.Unknown, step, detail})
	}

	private endAnswered(
		call: KeyedCall,
		answer: StoredAnswer,
		replayed: boolean
	): void {
		this.end(call, {type: ClaimResultType.Answered, answer, replayed})
	}

	private end(call: KeyedCall, result: LogResult): void {
		this.emit({type: ClaimActionType.End, callId: call.id, result})
	}
}

function latestOf(waiters: readonly Waiter[]): Waiter | undefined {
	let latest: Waiter | undefined
	for (const waiter of waiters) {
		const deadline = latest?.call.deadline ?? -Infinity
		if (waiter.call.deadline > deadline) latest = waiter
	}
	return latest
}
