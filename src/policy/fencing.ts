/**
 * The incarnation of an endpoint process, which is the fencing number of its
 * orders: each new process of an endpoint takes a higher one.
 *
 * A number is above everything known to have been used: the number stored in
 * the platform, the highest one the endpoint reports, and those that peers
 * report. It is also at least the present time, so that a process that starts
 * in an outage, when the stored number can't be read, is still above a
 * predecessor of which nobody reports anything. One rule for both cases keeps
 * them in one sequence: numbers taken in an outage do not overtake the later
 * stored ones, because those are taken from the same clock or one above.
 *
 * Clocks differ, so time alone could go back: a predecessor whose clock was
 * ahead left a number in the future. Reports cover that. Where none reaches the
 * new process, its number may be too low; then it learns so when it records it
 * after the outage, or when an order is refused, and counts as superseded. It
 * never raises its number while it runs, because a process that was paused and
 * replaced sees exactly the same: it stops, and its successor reads the stored
 * number first.
 *
 * The lowest bits are random, so that two processes that start at once, without
 * the platform, do not take the same number.
 */
import {WriteOutcome, absentVersion} from "../link/platform.js"

/** Kind of the objects that hold the last incarnation, by endpoint address. */
export const incarnationKind = "incarnations"

/** Random steps of the number within one millisecond. */
const stepsPerMs = 1_024

/** The stored object. */
export interface StoredIncarnation {
	incarnation: number
	/** Unique to the run of the process that took it. */
	processId: string
}

export interface IncarnationEvidence {
	/** Numbers known to have been used, from any source. */
	used: readonly number[]
	now: number
	/** A number in [0, 1). */
	random: number
}

/** A number above all that is known to have been used. */
export function chooseIncarnation(evidence: IncarnationEvidence): number {
	const {used, now, random} = evidence
	const step = Math.floor(random * stepsPerMs)
	const highest = used.reduce((most, number) => Math.max(most, number), 0)
	const number = Math.max(highest + 1, Math.floor(now) * stepsPerMs) + step
	if (!Number.isSafeInteger(number)) {
		throw new RangeError(`incarnation ${number} is not a safe integer`)
	}
	return number
}

/** True when another process of the same endpoint has taken a higher number. */
export function isSuperseded(own: number, observed: number): boolean {
	return observed > own
}

export enum FencingEventType {
	/** The process starts; `used` is what endpoint and peers reported. */
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
			/** Undefined when no process of this endpoint has started yet. */
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
	/** Work may begin under this number. */
	Use = "use",
	/** Another process took a higher number: stop, and start again. */
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
			/** False in an outage; recording goes on. */
			isRecorded: boolean
	  }
	| {type: FencingActionType.Stop; observed: number}

export interface IncarnationTakerOptions {
	processId: string
	/** A number in [0, 1). */
	random: number
	/** When to start without the platform. */
	startDeadline: number
	retryMs?: number
}

enum TakerIo {
	Idle,
	Busy
}

const defaultRetryMs = 500

/** Takes an incarnation from the platform, or without it past a deadline. */
export class IncarnationTaker {
	private used: readonly number[] = []
	private own: number | undefined
	private version = absentVersion
	private toWrite: StoredIncarnation | undefined
	private io = TakerIo.Idle
	private retryAt = -Infinity
	private isDone = false
	private actions: FencingAction[] = []

	constructor(private readonly options: IncarnationTakerOptions) {}

	/** Takes one event and returns what to do about it, in order. */
	step(event: FencingEvent, now: number): FencingAction[] {
		this.take(event, now)
		if (!this.isDone) this.pump(now)
		const {actions} = this
		this.actions = []
		return actions
	}

	/** When to send the next tick; infinite when none is needed. */
	nextTickAt(): number {
		if (this.isDone) return Infinity
		const startAt =
			this.own === undefined ? this.options.startDeadline : Infinity
		const retryAt = this.io === TakerIo.Idle ? this.retryAt : Infinity
		return Math.min(startAt, retryAt)
	}

	private take(event: FencingEvent, now: number): void {
		switch (event.type) {
			case FencingEventType.Start:
				this.used = event.used
				return
			case FencingEventType.Read:
				this.io = TakerIo.Idle
				this.version = event.version
				this.takeStored(event.stored, now)
				return
			case FencingEventType.ReadFailed:
				this.io = TakerIo.Idle
				this.delayRetry(now)
				return
			case FencingEventType.WriteEnded:
				this.io = TakerIo.Idle
				this.takeWrite(event.outcome, now)
				return
			case FencingEventType.Tick:
		}
	}

	private takeStored(stored: StoredIncarnation | undefined, now: number): void {
		const {processId} = this.options
		if (stored?.processId === processId) {
			this.finish(stored.incarnation)
			return
		}
		const last = stored?.incarnation ?? 0
		this.used = [...this.used, last]
		if (this.own !== undefined && last >= this.own) {
			this.isDone = true
			this.actions.push({type: FencingActionType.Stop, observed: last})
			return
		}
		const incarnation = this.own ?? this.choose(now)
		this.used = [...this.used, incarnation]
		this.toWrite = {incarnation, processId}
	}

	/** Whatever is not written for certain is read back. */
	private takeWrite(outcome: WriteOutcome, now: number): void {
		const {toWrite} = this
		this.toWrite = undefined
		if (toWrite === undefined) return
		if (outcome === WriteOutcome.Written) this.finish(toWrite.incarnation)
		else if (outcome !== WriteOutcome.Conflict) this.delayRetry(now)
	}

	/** A lost write may have stored a lower number than the one in use. */
	private finish(incarnation: number): void {
		if (this.own !== undefined && incarnation < this.own) {
			const {processId} = this.options
			this.toWrite = {incarnation: this.own, processId}
			return
		}
		this.isDone = true
		if (this.own !== undefined) return
		this.own = incarnation
		const type = FencingActionType.Use
		this.actions.push({type, incarnation, isRecorded: true})
	}

	private pump(now: number): void {
		this.startInOutage(now)
		if (this.io === TakerIo.Busy || now < this.retryAt) return
		this.io = TakerIo.Busy
		if (this.toWrite === undefined) {
			this.actions.push({type: FencingActionType.ReadStored})
			return
		}
		const {toWrite: value, version: expected} = this
		this.actions.push({type: FencingActionType.WriteStored, value, expected})
	}

	private startInOutage(now: number): void {
		if (this.own !== undefined || now < this.options.startDeadline) return
		this.own = this.choose(now)
		const type = FencingActionType.Use
		this.actions.push({type, incarnation: this.own, isRecorded: false})
	}

	private choose(now: number): number {
		const {random} = this.options
		return chooseIncarnation({used: this.used, now, random})
	}

	private delayRetry(now: number): void {
		this.retryAt = now + (this.options.retryMs ?? defaultRetryMs)
	}
}
