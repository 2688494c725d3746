/**
 * Encodes burn counts for storage in the platform: one object per recorder and
 * hour. Each series stores its minutes and counts as aligned columns, with one
 * column per cause, which keeps the object small.
 */
import {z} from "zod"
import {
	addSeries,
	type BurnCause,
	burnCauses,
	type BurnPart,
	type BurnSeries,
	createPart,
	hourMs,
	minuteMs
} from "../policy/burn.js"

/** Kind of the platform objects with burn counts. */
export const burnKind = "burn"

const minutesPerHour = hourMs / minuteMs

const countColumn = z.array(z.number().int().nonnegative()).max(minutesPerHour)

const seriesSchema = z.object({
	serviceLevel: z.string(),
	member: z.string(),
	/** Minutes within the hour, one for each index of the other columns. */
	minutes: countColumn,
	good: countColumn,
	/** Columns by cause; a cause without counts has none. */
	bad: z.record(z.string(), countColumn)
})

const objectSchema = z.object({
	recorder: z.string(),
	hour: z.number().int(),
	series: z.array(seriesSchema)
})

export type BurnObject = z.infer<typeof objectSchema>
type StoredSeries = z.infer<typeof seriesSchema>

/** Prefix of the names of all objects of one hour. */
export function burnObjectPrefix(hour: number): string {
	return `${hour}.`
}

export function burnObjectName(hour: number, recorder: string): string {
	return burnObjectPrefix(hour) + recorder
}

export function encodeBurnPart(part: BurnPart): BurnObject {
	const series: StoredSeries[] = []
	for (const burnSeries of part.series.values())
		series.push(encodeSeries(burnSeries, part))
	return {recorder: part.recorder, hour: part.hour, series}
}

/** Decodes a stored value; returns undefined if it is not a burn object. */
export function decodeBurnPart(value: unknown): BurnPart | undefined {
	const result = objectSchema.safeParse(value)
	if (!result.success) return undefined
	const {recorder, hour, series} = result.data
	const part = createPart(recorder, hour)
	for (const stored of series) decodeSeries(stored, part)
	return part
}

function encodeSeries(series: BurnSeries, part: BurnPart): StoredSeries {
	const counts = [...series.minutes.values()]
	const firstMinute = part.hour * minutesPerHour
	const bad: Record<string, number[]> = {}
	for (const cause of burnCauses) {
		const column = counts.map(minuteCounts => minuteCounts.bad[cause] ?? 0)
		if (column.some(count => count > 0)) bad[cause] = column
	}
	return {
		serviceLevel: series.serviceLevel,
		member: series.member,
		minutes: counts.map(minuteCounts => minuteCounts.minute - firstMinute),
		good: counts.map(minuteCounts => minuteCounts.good),
		bad
	}
}

function decodeSeries(stored: StoredSeries, part: BurnPart): void {
	const series = addSeries(part, stored.serviceLevel, stored.member)
	const firstMinute = part.hour * minutesPerHour
	for (const [index, offset] of stored.minutes.entries()) {
		const minute = firstMinute + offset
		const good = stored.good[index] ?? 0
		const bad = decodeCauses(stored.bad, index)
		series.minutes.set(minute, {minute, good, bad})
	}
}

function decodeCauses(
	columns: StoredSeries["bad"],
	index: number
): Partial<Record<BurnCause, number>> {
	const bad: Partial<Record<BurnCause, number>> = {}
	for (const cause of burnCauses) {
		const count = columns[cause]?.[index] ?? 0
		if (count > 0) bad[cause] = count
	}
	return bad
}
