/**
 * Service-level burn: how fast the share of failed requests that a service
 * level permits is being spent, by service level and by Member.
 *
 * Requests are counted in one-minute buckets. Each recorder's counts only
 * rise, so parts merge by the maximum of each count: merging a part twice, or
 * an older copy after a newer one, changes nothing.
 */

/** What kept a request from being answered complete, once, in its window. */
export enum BurnCause {
	LoadStall = "loadStall",
	Queue = "queue",
	Refused = "refused",
	EndpointError = "endpointError",
	Unknown = "unknown"
}

export const burnCauses: readonly BurnCause[] = Object.values(BurnCause)

/** One request as a service level counts it. */
export interface BurnSample {
	serviceLevel: string
	member: string
	good: boolean
	/** Leading cause; ignored for a good request. */
	cause: BurnCause
	at: number
}

export type CauseCounts = Partial<Record<BurnCause, number>>

/** Counts of one minute. Every bad request has exactly one cause. */
export interface MinuteCounts {
	/** Minutes since the Unix epoch. */
	minute: number
	good: number
	bad: CauseCounts
}

/** Counts of one service level and Member. */
export interface BurnSeries {
	serviceLevel: string
	member: string
	minutes: Map<number, MinuteCounts>
}

/** What one recorder counted within one hour. */
export interface BurnPart {
	/** Unique to one process incarnation. */
	recorder: string
	/** Hours since the Unix epoch. */
	hour: number
	series: Map<string, BurnSeries>
}

/** Parts by recorder and hour, each the newest known. */
export interface BurnLedger {
	parts: Map<string, BurnPart>
}

export const minuteMs = 60_000
export const hourMs = 60 * minuteMs

/** Stands for the Members beyond the cap of one part. */
export const otherMember = "(other)"
const maxMemberLength = 128
const defaultMaxSeries = 128

export function createPart(recorder: string, hour: number): BurnPart {
	return {recorder, hour, series: new Map()}
}

export function hourOf(at: number): number {
	return Math.floor(at / hourMs)
}

export function minuteOf(at: number): number {
	return Math.floor(at / minuteMs)
}

/**
 * Counts a sample in a part. Beyond `maxSeries` series, Members that are new
 * to the part are counted together as `otherMember`.
 */
export function recordSample(
	part: BurnPart,
	sample: BurnSample,
	maxSeries = defaultMaxSeries
): void {
	const series = findSeries(part, sample, maxSeries)
	const counts = findMinute(series, minuteOf(sample.at))
	if (sample.good) {
		counts.good += 1
		return
	}
	counts.bad[sample.cause] = (counts.bad[sample.cause] ?? 0) + 1
}

/** Raises each count of `target` to that of `source`. */
export function mergePart(target: BurnPart, source: BurnPart): void {
	for (const [key, series] of source.series) {
		const own = target.series.get(key)
		if (own === undefined) {
			target.series.set(key, copySeries(series))
			continue
		}
		for (const counts of series.minutes.values()) {
			raiseCounts(findMinute(own, counts.minute), counts)
		}
	}
}

export function createLedger(): BurnLedger {
	return {parts: new Map()}
}

/** Takes in a part, from any recorder and in any order. */
export function mergeIntoLedger(ledger: BurnLedger, part: BurnPart): void {
	const key = `${part.hour}/${part.recorder}`
	const own = ledger.parts.get(key) ?? createPart(part.recorder, part.hour)
	mergePart(own, part)
	ledger.parts.set(key, own)
}

/** Restricts a sum to some of the counts. */
export interface SumFilter {
	serviceLevel: string
	/** All Members when absent. */
	member?: string | undefined
}

/** Counts of a window. */
export interface WindowCounts {
	good: number
	bad: number
	causes: CauseCounts
}

/**
 * Sums the counts of the `windowMs` that end with the minute of `at`, that
 * minute included.
 */
export function sumWindow(
	ledger: BurnLedger,
	filter: SumFilter,
	at: number,
	windowMs: number
): WindowCounts {
	const last = minuteOf(at)
	const first = last - Math.round(windowMs / minuteMs) + 1
	const sum: WindowCounts = {good: 0, bad: 0, causes: {}}
	for (const part of ledger.parts.values()) {
		if (isOutside(part, first, last)) continue
		addPart(sum, part, filter, first, last)
	}
	return sum
}

/** The Members that have counts for a service level, in order of name. */
export function listMembers(
	ledger: BurnLedger,
	serviceLevel: string
): string[] {
	const members = new Set<string>()
	for (const part of ledger.parts.values()) {
		for (const series of part.series.values()) {
			if (series.serviceLevel === serviceLevel) members.add(series.member)
		}
	}
	return [...members].sort()
}

/** The cause with the highest count; undefined when nothing failed. */
export function findLeadingCause(causes: CauseCounts): BurnCause | undefined {
	let leading: BurnCause | undefined
	for (const cause of burnCauses) {
		const count = causes[cause] ?? 0
		if (count === 0) continue
		if (leading === undefined || count > (causes[leading] ?? 0)) {
			leading = cause
		}
	}
	return leading
}

function seriesKey(serviceLevel: string, member: string): string {
	return `${serviceLevel}\n${member}`
}

function findSeries(
	part: BurnPart,
	sample: BurnSample,
	maxSeries: number
): BurnSeries {
	const {serviceLevel} = sample
	const member = sample.member.slice(0, maxMemberLength)
	const known = part.series.get(seriesKey(serviceLevel, member))
	if (known !== undefined) return known
	if (part.series.size < maxSeries) return addSeries(part, serviceLevel, member)
	const other = part.series.get(seriesKey(serviceLevel, otherMember))
	return other ?? addSeries(part, serviceLevel, otherMember)
}

/** Adds an empty series to a part. */
export function addSeries(
	part: BurnPart,
	serviceLevel: string,
	member: string
): BurnSeries {
	const series: BurnSeries = {serviceLevel, member, minutes: new Map()}
	part.series.set(seriesKey(serviceLevel, member), series)
	return series
}

function findMinute(series: BurnSeries, minute: number): MinuteCounts {
	const known = series.minutes.get(minute)
	if (known !== undefined) return known
	const counts: MinuteCounts = {minute, good: 0, bad: {}}
	series.minutes.set(minute, counts)
	return counts
}

function copySeries(series: BurnSeries): BurnSeries {
	const minutes = new Map<number, MinuteCounts>()
	for (const counts of series.minutes.values()) {
		minutes.set(counts.minute, {...counts, bad: {...counts.bad}})
	}
	return {...series, minutes}
}

function raiseCounts(own: MinuteCounts, other: MinuteCounts): void {
	own.good = Math.max(own.good, other.good)
	for (const cause of burnCauses) {
		const count = other.bad[cause] ?? 0
		if (count > (own.bad[cause] ?? 0)) own.bad[cause] = count
	}
}

const minutesPerHour = hourMs / minuteMs

function isOutside(part: BurnPart, first: number, last: number): boolean {
	const start = part.hour * minutesPerHour
	return start > last || start + minutesPerHour <= first
}

function addPart(
	sum: WindowCounts,
	part: BurnPart,
	filter: SumFilter,
	first: number,
	last: number
): void {
	for (const series of part.series.values()) {
		if (series.serviceLevel !== filter.serviceLevel) continue
		if (filter.member !== undefined && series.member !== filter.member) continue
		for (const counts of series.minutes.values()) {
			if (counts.minute < first || counts.minute > last) continue
			addCounts(sum, counts)
		}
	}
}

function addCounts(sum: WindowCounts, counts: MinuteCounts): void {
	sum.good += counts.good
	for (const cause of burnCauses) {
		const count = counts.bad[cause] ?? 0
		if (count === 0) continue
		sum.bad += count
		sum.causes[cause] = (sum.causes[cause] ?? 0) + count
	}
}
