/** Bookings completed through a long outage, for each way. */
import {OutageType} from "./fakePlatform.js"
import {Way} from "./fleet.js"
import {printTable} from "./table.js"
import {World} from "./world.js"

const bookingsPerSecond = 20
const outageFromMs = 30_000
const outageMs = 120_000
const runMs = 180_000
const windowMs = 10_000
const buckets = 16
const callMs = 400

enum Trouble {
	None = "none",
	/** A process restarts and two others are paused during the outage. */
	Membership = "membership changes"
}

/** Prints one row for each way and trouble. */
export async function measureOutage(seed: number): Promise<void> {
	const rows: (string | number)[][] = []
	for (const trouble of Object.values(Trouble)) {
		for (const way of Object.values(Way)) {
			rows.push(await measureOne(way, trouble, seed))
		}
	}
	printTable(
		`platform out for ${outageMs / 1_000} s of ${runMs / 1_000} s, ` +
			`${bookingsPerSecond} bookings/s, 4 processes`,
		[
			"way",
			"trouble",
			"bookings",
			"answered",
			"in outage",
			"of them answered",
			"not run",
			"unknown",
			"doubled",
			"falsely not run",
			"platform calls/s in outage"
		],
		rows
	)
}

async function measureOne(
	way: Way,
	trouble: Trouble,
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
	if (trouble === Trouble.Membership) {
		world.addRestart("host-1", outageFromMs + 20_000, 5_000)
		world.addPause("host-2", outageFromMs + 60_000, 8_000)
		world.addPause("host-3", outageFromMs + 80_000, 8_000)
	}
	world.bookAtRate(bookingsPerSecond, 0, runMs)
	const {platform} = world
	await world.run(outageFromMs)
	const callsBefore = platform.reads + platform.writes
	await world.run(outageMs)
	const outageCalls = platform.reads + platform.writes - callsBefore
	await world.run(runMs + 2 * windowMs - outageFromMs - outageMs)
	const all = world.count()
	const outageAt = startAt + outageFromMs
	const inOutage = world.records.filter(
		({startedAt}) =>
			startedAt >= outageAt && startedAt + windowMs < outageAt + outageMs
	)
	const during = world.count(inOutage)
	return [
		way,
		trouble,
		all.bookings,
		all.answered,
		during.bookings,
		during.answered,
		all.notRun,
		all.unknown,
		all.doubled,
		all.falselyNotRun,
		((outageCalls * 1_000) / outageMs).toFixed(1)
	]
}
