/**
 * Chooses the incarnation of an endpoint process. The incarnation is the
 * fencing token of the orders (requests with an `x-fencing-number`) that the
 * process sends to its endpoints, so each new process of an endpoint takes a
 * higher number than its predecessors.
 *
 * The number is above all that are known to have been used: the one stored in
 * the platform and the highest ones that the process's engines report. It is
 * also at least the present time, so that a process that starts during a
 * platform outage, when the stored number can't be read, still exceeds a
 * predecessor of which no report exists. The same rule applies with and without
 * the platform, which keeps the numbers in one sequence: after a number taken
 * in an outage, each further one is again at least the present time and at least
 * one above every number known to be used.
 *
 * The time alone is not enough, because clocks differ: a predecessor whose
 * clock was ahead has used a number in the future. Reports of used numbers
 * cover this. If none reaches the new process, its number may be too low. The
 * process then finds out that it is superseded when it records the number after
 * the outage, or when an order is refused. A running process never raises its
 * number, because it can't tell whether the number was too low or the process
 * was paused and replaced: the stored number and the refusal look the same. In
 * both cases the process stops, and its successor reads the stored number first.
 *
 * The lowest bits are random, so that two processes that start at the same time
 * without the platform do not take the same number.
 */
import {WriteOutcome, absentVersion} from "../link/platform.js"

/** Kind of the objects that store the last incarnation, by endpoint address. */
export const incarnationKind = "incarnations"

/** Numbers per millisecond of time; a random one of them is chosen. */
const numbersPerMs = 1_024

/** The object that the platform stores. */
export interface StoredIncarnation {
	incarnation: number
	/** Id of the process that took the number; a restart has another id. */
	processId: string
}

export interface IncarnationEvidence {
	/** Numbers known to have been used, from all sources. */
	used: readonly number[]
	now: number
	/** A number in [0, 1). */
	random: number
}

export function chooseIncarnation(evidence: IncarnationEvidence): number {
	const {used, now, random} = evidence
	const offset = Math.floor(random * numbersPerMs)
	const highest = used.reduce((most, number) => Math.max(most, number), 0)
	const number = Math.max(highest + 1, Math.floor(now) * numbersPerMs) + offset
	if (!Number.isSafeInteger(number)) {
		throw new RangeError(
			`incarnation ${number} exceeds the largest safe integer`
		)
	}
	return number
}

/** True when another process of the same endpoint has taken a higher number. */
export function isSuperseded(own: number, observed: number): boolean {
	return observed > own
}

export enum FencingEventType {
	/** The process starts; its engines reported the numbers in `used`. */
	Start = "start",
	Read = "read",
	ReadFailed = "readFailed",
	WriteEnded = "writeEnded",
	Tick = "tick"
}

export type FencingEvent =
	| {type: FencingEventType.Start; used: readonly number[]}
	| {
			type: FencingEventType.Read
			/** Undefined when no process of this endpoint has stored one yet. */
			stored: StoredIncarnation | undefined
			version: number
	  }
	| {type: FencingEventType.ReadFailed}
	| {
			type: FencingEventType.WriteEnded
			outcome: WriteOutcome
			version: number
	  }
	| {type: FencingEventType.Tick}

export enum FencingActionType {
	ReadStored = "readStored",
	WriteStored = "writeStored",
	/** The process may send orders with this number. */
	Use = "use",
	/** Another process took a higher number: stop, and start as a new process. */
	Stop = "stop"
}

export type FencingAction =
	| {type: FencingActionType.ReadStored}
	| {
			type: FencingActionType.WriteStored
			value: StoredIncarnation
			expected: number
	  }
	| {
			type: FencingActionType.Use
			incarnation: number
			/**
			 * False when the start deadline passed before the platform confirmed a
			 * write; recording is retried.
			 */
			isRecorded: boolean
	  }
	| {type: FencingActionType.Stop; observed: number}

export interface IncarnationAllocatorOptions {
	processId: string
	/** A number in [0, 1). */
	random: number
	/**
	 * When the process starts with an unrecorded number, unless the platform has
	 * recorded one before.
	 */
	startDeadline: number
	retryMs?: number
}

enum IoState {
	Idle,
	Busy
}

const defaultRetryMs = 500

/**
 * Reads and writes the stored incarnation until the platform has recorded this
 * process's number. At the start deadline the process starts with an unrecorded
 * number.
 */
export class IncarnationAllocator {
	private used: readonly number[] = []
	/** The number that `Use` handed out; undefined before. */
	private own: number | undefined
	private version = absentVersion
	private pendingWrite: StoredIncarnation | undefined
	private ioState = IoState.Idle
	private retryAt = -Infinity
	private isFinished = false
	private actions: FencingAction[] = []

	constructor(private readonly options: IncarnationAllocatorOptions) {}

	/** Applies an event and returns the actions to execute, in order. */
	step(event: FencingEvent, now: number): FencingAction[] {
		this.handleEvent(event, now)
		if (!this.isFinished) this.startNextIo(now)
		const {actions} = this
		this.actions = []
		return actions
	}

	/** When to send the next tick; infinite when none is needed. */
	nextTickAt(): number {
		if (this.isFinished) return Infinity
		const startAt =
			this.own === undefined ? this.options.startDeadline : Infinity
		const retryAt = this.ioState === IoState.Idle ? this.retryAt : Infinity
		return Math.min(startAt, retryAt)
	}

	private handleEvent(event: FencingEvent, now: number): void {
		switch (event.type) {
			case FencingEventType.Start:
				this.used = event.used
				return
			case FencingEventType.Read:
				this.ioState = IoState.Idle
				this.version = event.version
				this.handleStored(event.stored, now)
				return
			case FencingEventType.ReadFailed:
				this.ioState = IoState.Idle
				this.delayRetry(now)
				return
			case FencingEventType.WriteEnded:
				this.ioState = IoState.Idle
				this.handleWriteOutcome(event.outcome, now)
				return
			case FencingEventType.Tick:
		}
	}

	private handleStored(
		stored: StoredIncarnation | undefined,
		now: number
	): void {
		const {processId} = this.options
		if (stored?.processId === processId) {
			this.confirm(stored.incarnation)
			return
		}
		const last = stored?.incarnation ?? 0
		this.used = [...this.used, last]
		if (this.own !== undefined && last >= this.own) {
			this.isFinished = true
			this.actions.push({type: FencingActionType.Stop, observed: last})
			return
		}
		const incarnation = this.own ?? this.chooseNumber(now)
		this.used = [...this.used, incarnation]
		this.pendingWrite = {incarnation, processId}
	}

	/**
	 * An unconfirmed write is followed by a read: at once after a conflict, and
	 * when the retry is due after a lost or refused write.
	 */
	private handleWriteOutcome(outcome: WriteOutcome, now: number): void {
		const {pendingWrite} = this
		this.pendingWrite = undefined
		if (pendingWrite === undefined) return
		if (outcome === WriteOutcome.Written) this.confirm(pendingWrite.incarnation)
		else if (outcome !== WriteOutcome.Conflict) this.delayRetry(now)
	}

	/**
	 * Handles a number of this process that the platform has stored. A write whose
	 * answer was lost may have stored a lower one than the number in use; then the
	 * number in use is written.
	 */
	private confirm(incarnation: number): void {
		if (this.own !== undefined && incarnation < this.own) {
			const {processId} = this.options
			this.pendingWrite = {incarnation: this.own, processId}
			return
		}
		this.isFinished = true
		if (this.own !== undefined) return
		this.own = incarnation
		const type = FencingActionType.Use
		this.actions.push({type, incarnation, isRecorded: true})
	}

	private startNextIo(now: number): void {
		this.startWithoutPlatform(now)
		if (this.ioState === IoState.Busy || now < this.retryAt) return
		this.ioState = IoState.Busy
		if (this.pendingWrite === undefined) {
			this.actions.push({type: FencingActionType.ReadStored})
			return
		}
		const {pendingWrite: value, version: expected} = this
		this.actions.push({type: FencingActionType.WriteStored, value, expected})
	}

	private startWithoutPlatform(now: number): void {
		if (this.own !== undefined || now < this.options.startDeadline) return
		this.own = this.chooseNumber(now)
		const type = FencingActionType.Use
		this.actions.push({type, incarnation: this.own, isRecorded: false})
	}

	private chooseNumber(now: number): number {
		const {random} = this.options
		return chooseIncarnation({used: this.used, now, random})
	}

	private delayRetry(now: number): void {
		this.retryAt = now + (this.options.retryMs ?? defaultRetryMs)
	}
}
