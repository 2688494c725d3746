/**
 * Counts good and bad requests at an entry and writes the counts to the platform,
 * in one object per hour.
 *
 * Each write contains all counts of its hour. A write that is repeated after a
 * lost answer, a conflict or an outage therefore counts no request twice.
 */
import PQueue from "p-queue"
import type {ServiceLevel} from "../contract/config/types.js"
import {absentVersion, type Platform, WriteOutcome} from "../link/platform.js"
import {
	type BurnCause,
	type BurnPart,
	createPart,
	hourMs,
	hourOf,
	mergePart,
	recordSample
} from "../policy/burn.js"
import {BurnExpiry} from "./burnExpiry.js"
import {
	burnKind,
	burnObjectName,
	decodeBurnPart,
	encodeBurnPart
} from "./burnObject.js"

export const burnFlushIntervalMs = 30_000
/**
 * While the platform accepts no writes, counts of this many past hours are
 * buffered; older counts are dropped unwritten.
 */
const maxBufferedHours = 8

export interface BurnRecorderOptions {
	entryId: string
	/** Number unique to this start of the entry's process. */
	incarnation: number
	serviceLevels?: readonly ServiceLevel[]
	clock?: () => number
}

/** The outcome of one request at an entry. */
export interface BurnRecord {
	route: string
	member: string
	/**
	 * Answered completely, once, and within the shortest window of the service levels
	 * that cover the route.
	 */
	good: boolean
	/** Ignored for a good request. */
	cause: BurnCause
	/** When the request ended, in ms since the Unix epoch. */
	at: number
}

export interface FlushResult {
	/** Hours written. */
	written: number
	/** Hours that still have unwritten counts. */
	pending: number
}

/** Counts of one hour that may still change or be unwritten. */
interface HourBuffer {
	part: BurnPart
	/** Last known version of the stored object; expected by the next write. */
	version: number
	/** Whether there are counts that no successful write contains. */
	isDirty: boolean
}

export class BurnRecorder {
	private readonly recorder: string
	private readonly clock: () => number
	private readonly hours = new Map<number, HourBuffer>()
	private readonly flushQueue = new PQueue({concurrency: 1})
	private readonly expiry = new BurnExpiry()
	private levelsByRoute = new Map<string, string[]>()
	/** Earliest hour that takes counts; earlier ones were dropped from memory. */
	private oldestHour = 0
	private timer: NodeJS.Timeout | undefined

	constructor({
		entryId,
		incarnation,
		serviceLevels = [],
		clock = Date.now
	}: BurnRecorderOptions) {
		this.recorder = `${entryId}.${incarnation}`
		this.clock = clock
		this.setServiceLevels(serviceLevels)
	}

	/** Replaces the service levels, after a change of the configuration. */
	setServiceLevels(serviceLevels: readonly ServiceLevel[]): void {
		const levels = new Map<string, string[]>()
		for (const {name, routes} of serviceLevels) {
			for (const route of routes) {
				levels.set(route, [...(levels.get(route) ?? []), name])
			}
		}
		this.levelsByRoute = levels
	}

	/**
	 * Counts a request in every service level that covers its route. If the
	 * request's hour was dropped from memory, it counts in the earliest hour that
	 * still takes counts: a new buffer of its own hour would lack the stored counts and
	 * be merged with them by maximum, which could lose the request.
	 */
	record({route, member, good, cause, at}: BurnRecord): void {
		const levels = this.levelsByRoute.get(route)
		if (levels === undefined) return
		const buffer = this.getOrCreateHour(hourOf(at))
		const time = Math.max(at, buffer.part.hour * hourMs)
		for (const serviceLevel of levels) {
			recordSample(buffer.part, {serviceLevel, member, good, cause, at: time})
		}
		buffer.isDirty = true
	}

	/** Flushes every `burnFlushIntervalMs` until `stop`. */
	start(platform: Platform): void {
		this.timer ??= setInterval(() => {
			if (this.flushQueue.size > 0) return
			void this.flush(platform)
		}, burnFlushIntervalMs)
		this.timer.unref()
	}

	/** Stops the periodic flush and flushes once more. */
	async stop(platform: Platform): Promise<FlushResult> {
		clearInterval(this.timer)
		this.timer = undefined
		return this.flush(platform)
	}

	/**
	 * Writes the hours with unwritten counts, one flush at a time. Never rejects:
	 * hours that could not be written stay pending for the next flush.
	 */
	async flush(platform: Platform): Promise<FlushResult> {
		return this.flushQueue.add(() => this.writeChangedHours(platform))
	}

	private async writeChangedHours(platform: Platform): Promise<FlushResult> {
		const now = this.clock()
		let written = 0
		for (const buffer of [...this.hours.values()]) {
			if (!buffer.isDirty) continue
			if (!(await this.writeHour(platform, buffer))) break
			written += 1
		}
		this.dropHours(hourOf(now))
		const pending = [...this.hours.values()].filter(
			buffer => buffer.isDirty
		).length
		if (pending === 0) await this.expiry.sweep(platform, now)
		return {written, pending}
	}

	/** Writes an hour; after a conflict, reads the stored version and retries once. */
	private async writeHour(
		platform: Platform,
		buffer: HourBuffer
	): Promise<boolean> {
		const outcome = await this.writeOnce(platform, buffer)
		if (outcome === WriteOutcome.Written) return true
		if (outcome !== WriteOutcome.Conflict) return false
		if (!(await this.mergeStoredPart(platform, buffer))) return false
		const again = await this.writeOnce(platform, buffer)
		return again === WriteOutcome.Written
	}

	private async writeOnce(
		platform: Platform,
		buffer: HourBuffer
	): Promise<WriteOutcome> {
		const name = burnObjectName(buffer.part.hour, this.recorder)
		const value = encodeBurnPart(buffer.part)
		buffer.isDirty = false
		const result = await platform.write(burnKind, name, value, buffer.version)
		if (result.outcome === WriteOutcome.Written) buffer.version = result.version
		else buffer.isDirty = true
		return result.outcome
	}

	/**
	 * Reads the stored object, takes its version and raises each count to at least
	 * the stored one. Returns false if the read fails. A conflict means that an earlier
	 * write took effect although its answer was lost: no other process writes this
	 * object.
	 */
	private async mergeStoredPart(
		platform: Platform,
		buffer: HourBuffer
	): Promise<boolean> {
		try {
			const name = burnObjectName(buffer.part.hour, this.recorder)
			const stored = await platform.read(burnKind, name)
			buffer.version = stored?.version ?? absentVersion
			const part = decodeBurnPart(stored?.value)
			if (part !== undefined) mergePart(buffer.part, part)
			return true
		} catch {
			return false
		}
	}

	/** Returns the buffer of an hour, or of the earliest hour if it was dropped. */
	private getOrCreateHour(hourOfRecord: number): HourBuffer {
		const hour = Math.max(hourOfRecord, this.oldestHour)
		const known = this.hours.get(hour)
		if (known !== undefined) return known
		const part = createPart(this.recorder, hour)
		const buffer = {part, version: absentVersion, isDirty: false}
		this.hours.set(hour, buffer)
		return buffer
	}

	/** Drops past hours once written, and unwritten ones when they are too old. */
	private dropHours(current: number): void {
		for (const [hour, buffer] of this.hours) {
			const isFinished = hour < current && !buffer.isDirty
			const isTooOld = hour < current - maxBufferedHours
			if (!isFinished && !isTooOld) continue
			this.hours.delete(hour)
			this.oldestHour = Math.max(this.oldestHour, hour + 1)
		}
	}
}
