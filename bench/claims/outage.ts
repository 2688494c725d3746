/**
 * Measures for each mechanism how many bookings are answered during a long
 * platform outage, without process faults and with them.
 */
import {OutageType} from "./fakePlatform.js"
import {Way} from "./fleet.js"
import {printTable} from "./table.js"
import {World} from "./world.js"

const bookingsPerSecond = 20
const outageFromMs = 30_000
const outageMs = 120_000
const bookingMs = 180_000
const windowMs = 10_000
const buckets = 16
const callMs = 400

enum ProcessFaults {
	None = "none",
	/** During the outage, a process restarts and two others are paused. */
	Membership = "membership changes"
}

export async function measureOutage(seed: number): Promise<void> {
	const rows: (string | number)[][] = []
	for (const processFaults of Object.values(ProcessFaults)) {
		for (const way of Object.values(Way)) {
			rows.push(await measureMode(way, processFaults, seed))
		}
	}
	printTable(
		`platform outage of ${outageMs / 1_000} s in ${bookingMs / 1_000} s, ` +
			`${bookingsPerSecond} bookings/s, 4 processes`,
		[
			"mechanism",
			"process faults",
			"bookings",
			"answered",
			"bookings with window in outage",
			"of these, answered",
			"not run",
			"unknown",
			"run more than once",
			"falsely not run",
			"platform calls/s in outage"
		],
		rows
	)
}

async function measureMode(
	way: Way,
	processFaults: ProcessFaults,
	seed: number
): Promise<(string | number)[]> {
	const world = new World({
		seed,
		way,
		windowMs,
		buckets,
		callMs,
		impatient: 0.02
	})
	const startAt = world.clock.now
	world.service.faults = {refused: 0, lost: 0.002, vanished: 0.001}
	world.addOutage(OutageType.Silent, outageFromMs, outageMs)
	if (processFaults === ProcessFaults.Membership) {
		world.addRestart("host-1", outageFromMs + 20_000, 5_000)
		world.addPause("host-2", outageFromMs + 60_000, 8_000)
		world.addPause("host-3", outageFromMs + 80_000, 8_000)
	}
	world.bookAtRate(bookingsPerSecond, 0, bookingMs)
	const {platform} = world
	await world.run(outageFromMs)
	const callsBefore = platform.reads + platform.writes
	await world.run(outageMs)
	const outageCalls = platform.reads + platform.writes - callsBefore
	await world.run(bookingMs + 2 * windowMs - outageFromMs - outageMs)
	const runCounts = world.count()
	const outageAt = startAt + outageFromMs
	// Bookings whose whole window lies in the outage; none can be answered after it.
	const inOutage = world.records.filter(
		({startedAt}) =>
			startedAt >= outageAt && startedAt + windowMs < outageAt + outageMs
	)
	const outageCounts = world.count(inOutage)
	return [
		way,
		processFaults,
		runCounts.bookings,
		runCounts.answered,
		outageCounts.bookings,
		outageCounts.answered,
		runCounts.notRun,
		runCounts.unknown,
		runCounts.doubled,
		runCounts.falselyNotRun,
		((outageCalls * 1_000) / outageMs).toFixed(1)
	]
}
