/**
 * Counts of good and bad requests, by service level and Member, from which the
 * burn rate of an error budget is computed. The error budget of a service level
 * is the share of bad requests that it permits; the burn rate is how fast that
 * share is spent.
 *
 * Requests are counted in one-minute buckets. The counts of one recorder never
 * decrease, so copies of its part are merged by the maximum of each count. A
 * merge is therefore idempotent, and an older copy does not undo a newer one.
 */

/**
 * Why a request was not answered completely, once, and within the `windowMs` of
 * its service level.
 */
export enum BurnCause {
	/**
	 * The adapter's load failed, or the answer was late and more than half of the
	 * request's time was spent waiting for the adapter.
	 */
	LoadStall = "loadStall",
	/** Answered late for any other reason. */
	Queue = "queue",
	/** Not run, other than for a failed load or a refusal by the endpoint. */
	Refused = "refused",
	/** The endpoint refused the call. */
	EndpointError = "endpointError",
	/** It is not known whether the request ran. */
	Unknown = "unknown"
}

export const burnCauses: readonly BurnCause[] = Object.values(BurnCause)

/** One ended request, as counted by a service level. */
export interface BurnSample {
	serviceLevel: string
	member: string
	good: boolean
	/** Ignored for a good request. */
	cause: BurnCause
	at: number
}

export type CauseCounts = Partial<Record<BurnCause, number>>

/** Counts of one minute. Each bad request is counted under one cause. */
export interface MinuteCounts {
	/** Minutes since the Unix epoch. */
	minute: number
	good: number
	bad: CauseCounts
}

/** Counts of one Member in one service level. */
export interface BurnSeries {
	serviceLevel: string
	member: string
	minutes: Map<number, MinuteCounts>
}

/** Counts of one recorder in one hour. */
export interface BurnPart {
	/** Id that is unique to one incarnation of a process. */
	recorder: string
	/** Hours since the Unix epoch. */
	hour: number
	series: Map<string, BurnSeries>
}

/** Merged counts of all recorders, one part for each recorder and hour. */
export interface BurnLedger {
	parts: Map<string, BurnPart>
}

export const minuteMs = 60_000
export const hourMs = 60 * minuteMs

/** Replaces the names of Members that have no series in a full part. */
export const otherMember = "(other)"
/** In characters; longer Member names are cut. */
const maxMemberLength = 128
/** Series of one part, apart from those of `otherMember`. */
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
 * Counts a sample in a part. Once the part has `maxSeries` series, Members that
 * have none in it are counted together as `otherMember`.
 */
export function recordSample(
	part: BurnPart,
	sample: BurnSample,
	maxSeries = defaultMaxSeries
): void {
	const series = getOrAddSeries(part, sample, maxSeries)
	const counts = getOrAddMinute(series, minuteOf(sample.at))
	if (sample.good) {
		counts.good += 1
		return
	}
	counts.bad[sample.cause] = (counts.bad[sample.cause] ?? 0) + 1
}

/** Raises each count of `target` to at least that of `source`. */
export function mergePart(target: BurnPart, source: BurnPart): void {
	for (const [key, series] of source.series) {
		const targetSeries = target.series.get(key)
		if (targetSeries === undefined) {
			target.series.set(key, copySeries(series))
			continue
		}
		for (const counts of series.minutes.values()) {
			raiseMinuteCounts(getOrAddMinute(targetSeries, counts.minute), counts)
		}
	}
}

export function createLedger(): BurnLedger {
	return {parts: new Map()}
}

/** Merges a copy of a part; copies may arrive repeatedly and in any order. */
export function mergeIntoLedger(ledger: BurnLedger, part: BurnPart): void {
	const key = `${part.hour}/${part.recorder}`
	const merged = ledger.parts.get(key) ?? createPart(part.recorder, part.hour)
	mergePart(merged, part)
	ledger.parts.set(key, merged)
}

/** Selects the series to sum. */
export interface SumFilter {
	serviceLevel: string
	/** All Members when absent. */
	member?: string | undefined
}

/** Sums of the counts in a time window. */
export interface WindowCounts {
	good: number
	bad: number
	causes: CauseCounts
}

/**
 * Sums the counts of the `windowMs` up to and including the whole minute that
 * contains `at`.
 */
export function sumWindow(
	ledger: BurnLedger,
	filter: SumFilter,
	at: number,
	windowMs: number
): WindowCounts {
	const lastMinute = minuteOf(at)
	const firstMinute = lastMinute - Math.round(windowMs / minuteMs) + 1
	const sum: WindowCounts = {good: 0, bad: 0, causes: {}}
	for (const part of ledger.parts.values()) {
		if (isOutside(part, firstMinute, lastMinute)) continue
		addPartToSum(sum, part, filter, firstMinute, lastMinute)
	}
	return sum
}

/** Lists the Members with counts in a service level, sorted by name. */
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

/** Returns the cause with the highest count; undefined if all counts are 0. */
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

function getOrAddSeries(
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

function getOrAddMinute(series: BurnSeries, minute: number): MinuteCounts {
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

function raiseMinuteCounts(target: MinuteCounts, source: MinuteCounts): void {
	target.good = Math.max(target.good, source.good)
	for (const cause of burnCauses) {
		const count = source.bad[cause] ?? 0
		if (count > (target.bad[cause] ?? 0)) target.bad[cause] = count
	}
}

const minutesPerHour = hourMs / minuteMs

function isOutside(
	part: BurnPart,
	firstMinute: number,
	lastMinute: number
): boolean {
	const start = part.hour * minutesPerHour
	return start > lastMinute || start + minutesPerHour <= firstMinute
}

function addPartToSum(
	sum: WindowCounts,
	part: BurnPart,
	filter: SumFilter,
	firstMinute: number,
	lastMinute: number
): void {
	for (const series of part.series.values()) {
		if (series.serviceLevel !== filter.serviceLevel) continue
		if (filter.member !== undefined && series.member !== filter.member) continue
		for (const counts of series.minutes.values()) {
			if (counts.minute < firstMinute || counts.minute > lastMinute) continue
			addMinuteToSum(sum, counts)
		}
	}
}

function addMinuteToSum(sum: WindowCounts, counts: MinuteCounts): void {
	sum.good += counts.good
	for (const cause of burnCauses) {
		const count = counts.bad[cause] ?? 0
		if (count === 0) continue
		sum.bad += count
		sum.causes[cause] = (sum.causes[cause] ?? 0) + count
	}
}
