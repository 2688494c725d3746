/**
 * Records service-level burn at an entry and writes it to the platform.
 *
 * Each write carries all counts of its hour, so that a write repeated after a
 * lost answer, a conflict or an outage counts nothing twice.
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
import {burnKind, burnName, decodePart, encodePart} from "./burnObject.js"

export const burnFlushIntervalMs = 30_000
/** Hours kept in memory while the platform does not take writes. */
const maxOpenHours = 8

export interface BurnRecorderOptions {
	entryId: string
	/** Unique to this start of the entry. */
	incarnation: number
	serviceLevels?: readonly ServiceLevel[]
	clock?: () => number
}

/** One request as an entry saw it end. */
export interface BurnRecord {
	route: string
	member: string
	/** Answered complete, once, within the agreed window. */
	good: boolean
	cause: BurnCause
	at: number
}

export interface FlushResult {
	written: number
	/** Hours with counts that the platform does not hold yet. */
	pending: number
}

interface OpenHour {
	part: BurnPart
	/** Version of the stored object as far as known. */
	version: number
	isDirty: boolean
}

export class BurnRecorder {
	private readonly recorder: string
	private readonly clock: () => number
	private readonly hours = new Map<number, OpenHour>()
	private readonly flushes = new PQueue({concurrency: 1})
	private readonly expiry = new BurnExpiry()
	private levelsByRoute = new Map<string, string[]>()
	/** Hours before this one are written and final. */
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

	/** Takes the service levels of a new configuration. */
	setServiceLevels(serviceLevels: readonly ServiceLevel[]): void {
		const levels = new Map<string, string[]>()
		for (const {name, routes} of serviceLevels) {
			for (const route of routes) {
				levels.set(route, [...(levels.get(route) ?? []), name])
			}
		}
		this.levelsByRoute = levels
	}

	/** Counts a request in every service level that has its route. */
	record({route, member, good, cause, at}: BurnRecord): void {
		const levels = this.levelsByRoute.get(route)
		if (levels === undefined) return
		const open = this.openHour(hourOf(at))
		const time = Math.max(at, open.part.hour * hourMs)
		for (const serviceLevel of levels) {
			recordSample(open.part, {serviceLevel, member, good, cause, at: time})
		}
		open.isDirty = true
	}

	/** Flushes every `burnFlushIntervalMs` until `stop`. */
	start(platform: Platform): void {
		this.timer ??= setInterval(() => {
			if (this.flushes.size > 0) return
			void this.flush(platform)
		}, burnFlushIntervalMs)
		this.timer.unref()
	}

	/** Ends the periodic flush and writes what is left. */
	async stop(platform: Platform): Promise<FlushResult> {
		clearInterval(this.timer)
		this.timer = undefined
		return this.flush(platform)
	}

	/** Writes the hours that changed. Never rejects: a failure stays pending. */
	async flush(platform: Platform): Promise<FlushResult> {
		return this.flushes.add(() => this.flushNow(platform))
	}

	private async flushNow(platform: Platform): Promise<FlushResult> {
		const now = this.clock()
		let written = 0
		for (const open of [...this.hours.values()]) {
			if (!open.isDirty) continue
			if (!(await this.writeHour(platform, open))) break
			written += 1
		}
		this.releaseHours(hourOf(now))
		const pending = [...this.hours.values()].filter(open => open.isDirty).length
		if (pending === 0) await this.expiry.sweep(platform, now)
		return {written, pending}
	}

	private async writeHour(
		platform: Platform,
		open: OpenHour
	): Promise<boolean> {
		const outcome = await this.writeOnce(platform, open)
		if (outcome === WriteOutcome.Written) return true
		if (outcome !== WriteOutcome.Conflict) return false
		if (!(await this.readBack(platform, open))) return false
		const again = await this.writeOnce(platform, open)
		return again === WriteOutcome.Written
	}

	private async writeOnce(
		platform: Platform,
		open: OpenHour
	): Promise<WriteOutcome> {
		const name = burnName(open.part.hour, this.recorder)
		const value = encodePart(open.part)
		open.isDirty = false
		const result = await platform.write(burnKind, name, value, open.version)
		if (result.outcome === WriteOutcome.Written) open.version = result.version
		else open.isDirty = true
		return result.outcome
	}

	/** Learns the stored version after a write whose answer was lost. */
	private async readBack(platform: Platform, open: OpenHour): Promise<boolean> {
		try {
			const name = burnName(open.part.hour, this.recorder)
			const stored = await platform.read(burnKind, name)
			open.version = stored?.version ?? absentVersion
			const part = decodePart(stored?.value)
			if (part !== undefined) mergePart(open.part, part)
			return true
		} catch {
			return false
		}
	}

	/** A record that comes after its hour was released counts in the next. */
	private openHour(hourOfRecord: number): OpenHour {
		const hour = Math.max(hourOfRecord, this.oldestHour)
		const known = this.hours.get(hour)
		if (known !== undefined) return known
		const part = createPart(this.recorder, hour)
		const open = {part, version: absentVersion, isDirty: false}
		this.hours.set(hour, open)
		return open
	}

	private releaseHours(current: number): void {
		for (const [hour, open] of this.hours) {
			const isFinal = hour < current && !open.isDirty
			const isTooOld = hour < current - maxOpenHours
			if (!isFinal && !isTooOld) continue
			this.hours.delete(hour)
			this.oldestHour = Math.max(this.oldestHour, hour + 1)
		}
	}
}
