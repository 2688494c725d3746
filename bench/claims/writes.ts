/** Measures the platform calls of claims at several rates and write intervals. */
import {ClaimResultType} from "../../src/policy/claimTypes.js"
import type {BookingRecord} from "./callers.js"
import {Way} from "./fleet.js"
import {printTable} from "./table.js"
import {World} from "./world.js"

interface ClaimLoad {
	hosts: number
	buckets: number
	bookingsPerSecond: number
	writeIntervalMs: number
}

const claimLoads: ClaimLoad[] = [
	{hosts: 4, buckets: 4, bookingsPerSecond: 2, writeIntervalMs: 20},
	{hosts: 4, buckets: 4, bookingsPerSecond: 20, writeIntervalMs: 20},
	{hosts: 4, buckets: 4, bookingsPerSecond: 140, writeIntervalMs: 20},
	{hosts: 4, buckets: 16, bookingsPerSecond: 140, writeIntervalMs: 20},
	{hosts: 4, buckets: 64, bookingsPerSecond: 140, writeIntervalMs: 20},
	{hosts: 4, buckets: 64, bookingsPerSecond: 140, writeIntervalMs: 250},
	{hosts: 16, buckets: 64, bookingsPerSecond: 140, writeIntervalMs: 250},
	{hosts: 64, buckets: 64, bookingsPerSecond: 140, writeIntervalMs: 250},
	{hosts: 64, buckets: 64, bookingsPerSecond: 140, writeIntervalMs: 1_000}
]

const bookingMs = 60_000
const drainMs = 12_000

export async function measureWrites(seed: number): Promise<void> {
	const rows: (string | number)[][] = []
	for (const load of claimLoads) rows.push(await measureLoad(load, seed))
	printTable(
		`claims without faults for ${bookingMs / 1_000} s`,
		[
			"processes",
			"buckets",
			"bookings/s",
			"write interval ms",
			"answered",
			"writes/s",
			"writes/booking",
			"reads/s",
			"chars/write",
			"median ms",
			"95% ms"
		],
		rows
	)
}

async function measureLoad(
	{hosts, buckets, bookingsPerSecond, writeIntervalMs}: ClaimLoad,
	seed: number
): Promise<(string | number)[]> {
	const claims = {writeIntervalMs, claimWaitMs: 2 * writeIntervalMs + 1_000}
	const way = Way.Claims
	const world = new World({seed, way, hosts, buckets, claims})
	await world.run(1_000)
	const {platform} = world
	const {reads: readsBefore, writes: writesBefore} = platform
	world.bookAtRate(bookingsPerSecond, 0, bookingMs)
	await world.run(bookingMs + drainMs)
	const {answered, bookings} = world.count()
	const writes = platform.writes - writesBefore
	const reads = platform.reads - readsBefore
	const times = world.records.map(getAnswerMs).toSorted((a, b) => a - b)
	return [
		hosts,
		buckets,
		bookingsPerSecond,
		writeIntervalMs,
		`${answered}/${bookings}`,
		((writes * 1_000) / bookingMs).toFixed(1),
		(writes / bookings).toFixed(2),
		((reads * 1_000) / bookingMs).toFixed(1),
		Math.round(platform.writtenChars / platform.writes),
		Math.round(getQuantile(times, 0.5)),
		Math.round(getQuantile(times, 0.95))
	]
}

/** Time from the caller's start to the first answer. */
function getAnswerMs({results, startedAt}: BookingRecord): number {
	const answered = results.find(
		({result}) => result.type === ClaimResultType.Answered
	)
	return (answered?.at ?? Infinity) - startedAt
}

function getQuantile(sorted: readonly number[], share: number): number {
	return sorted[Math.floor(sorted.length * share)] ?? NaN
}
