/** Measures the platform calls of claims and of burn counts. */
import {BurnCause} from "../../src/policy/burn.js"
import {BurnRecorder} from "../../src/report/index.js"
import {Way} from "../claims/fleet.js"
import {World} from "../claims/world.js"
import {IdlePlatform} from "./idlePlatform.js"
import {type Cell, printTable} from "./print.js"

interface ClaimLoad {
	bookingsPerSecond: number
	writeIntervalMs: number
	buckets: number
}

const endpointProcesses = 16
const claimLoads: ClaimLoad[] = [
	{bookingsPerSecond: 14, writeIntervalMs: 20, buckets: 64},
	{bookingsPerSecond: 140, writeIntervalMs: 20, buckets: 64},
	{bookingsPerSecond: 560, writeIntervalMs: 20, buckets: 64},
	{bookingsPerSecond: 140, writeIntervalMs: 250, buckets: 64},
	{bookingsPerSecond: 140, writeIntervalMs: 250, buckets: 16},
	{bookingsPerSecond: 560, writeIntervalMs: 250, buckets: 16}
]
const bookingMs = 30_000
const drainMs = 6000
const msPerSecond = 1000
const seed = 1
const memberCounts = [50, 200, 1000]
const minutesPerHour = 60
const minuteMs = 60_000
/** At the interval of burnFlushIntervalMs, 30 s. */
const flushesPerMinute = 2
const hourStartAt = 1_800_000_000_000 - (1_800_000_000_000 % 3_600_000)

export async function measureClaims(): Promise<void> {
	const rows: Cell[][] = []
	for (const load of claimLoads) rows.push(await measureClaimLoad(load))
	printTable(
		`claims, ${endpointProcesses} endpoint processes, ` + "in virtual time",
		[
			"bookings/s",
			"write interval ms",
			"buckets",
			"answered",
			"writes/s",
			"writes per booking",
			"reads/s",
			"reads per booking",
			"characters per write"
		],
		rows
	)
}

async function measureClaimLoad({
	bookingsPerSecond,
	writeIntervalMs,
	buckets
}: ClaimLoad): Promise<Cell[]> {
	const world = new World({
		seed,
		way: Way.Claims,
		hosts: endpointProcesses,
		buckets,
		claims: {writeIntervalMs, claimWaitMs: 2 * writeIntervalMs + msPerSecond}
	})
	await world.run(msPerSecond)
	const {platform} = world
	const {reads, writes, writtenChars} = platform
	world.bookAtRate(bookingsPerSecond, 0, bookingMs)
	await world.run(bookingMs + drainMs)
	const {answered, bookings} = world.count()
	const newWrites = platform.writes - writes
	const newReads = platform.reads - reads
	const seconds = bookingMs / msPerSecond
	return [
		String(bookingsPerSecond),
		String(writeIntervalMs),
		String(buckets),
		`${answered} of ${bookings}`,
		newWrites / seconds,
		newWrites / bookings,
		newReads / seconds,
		newReads / bookings,
		(platform.writtenChars - writtenChars) / newWrites
	]
}

/** Measures one entry that records a request of every Member before each flush. */
export async function measureBurn(): Promise<void> {
	const rows: Cell[][] = []
	for (const members of memberCounts) {
		const {platform, lastWriteBytes} = await recordHour(members)
		const seconds = minutesPerHour * 60
		rows.push([
			String(members),
			platform.writes / seconds,
			platform.reads / seconds,
			lastWriteBytes / 1000,
			platform.writtenBytes / 1000 / seconds
		])
	}
	printTable(
		"burn counts of one entry in an hour with a request of every Member before each flush",
		["Members", "writes/s", "reads/s", "KB of the hour's last value", "KB/s"],
		rows
	)
}

interface RecordedHour {
	platform: IdlePlatform
	lastWriteBytes: number
}

async function recordHour(members: number): Promise<RecordedHour> {
	let now = hourStartAt
	const platform = new IdlePlatform()
	const recorder = new BurnRecorder({
		entryId: "entry-01",
		incarnation: 1,
		serviceLevels: [
			{name: "drafts", routes: ["drafts"], target: 0.999, windowMs: 30_000}
		],
		clock: () => now
	})
	let lastWriteBytes = 0
	for (let minute = 0; minute < minutesPerHour; minute++) {
		for (let flush = 0; flush < flushesPerMinute; flush++) {
			for (let index = 0; index < members; index++) {
				const member = `member-${String(index).padStart(5, "0")}`
				const cause = BurnCause.Unknown
				recorder.record({route: "drafts", member, good: true, cause, at: now})
			}
			const before = platform.writtenBytes
			await recorder.flush(platform)
			lastWriteBytes = platform.writtenBytes - before
			now += minuteMs / flushesPerMinute
		}
	}
	return {platform, lastWriteBytes}
}
