/**
 * Simulates endpoint processes, entries, callers, platform and service on one
 * virtual clock and from one seed. Injects outages, restarts and pauses, and
 * compares the callers' results with the runs that the service recorded.
 */
import {
	type ClaimAnswered,
	type ClaimTaskOptions
} from "../../src/endpoint/claims/index.js"
import {ClaimResultType} from "../../src/policy/claimTypes.js"
import {type BookingRecord, Caller, FakeEntry} from "./callers.js"
import {FakePlatform, createRandom, type OutageType} from "./fakePlatform.js"
import {FakeService} from "./fakeService.js"
import {FakeFleet, type Way} from "./fleet.js"
import {VirtualClock} from "./virtualClock.js"

export interface WorldOptions {
	seed: number
	way: Way
	hosts?: number
	entries?: number
	buckets?: number
	callMs?: number
	windowMs?: number
	attemptMs?: number
	impatient?: number
	claims?: Partial<ClaimTaskOptions>
}

export interface WorldCounts {
	bookings: number
	answered: number
	notRun: number
	unknown: number
	/** Bookings that ran more than once. */
	doubled: number
	/** Bookings that had run when all of their attempts so far had ended as not run. */
	falselyNotRun: number
	/** Answers with another body than the service's, or to bookings not run exactly once. */
	wrongAnswers: number
}

const defaults = {
	hosts: 4,
	entries: 4,
	buckets: 4,
	callMs: 80,
	windowMs: 10_000,
	attemptMs: 3_000,
	impatient: 0
}

export class World {
	readonly clock = new VirtualClock()
	readonly random: () => number
	readonly platform: FakePlatform
	readonly service: FakeService
	readonly fleet: FakeFleet
	readonly entries: FakeEntry[]
	readonly records: BookingRecord[] = []
	private readonly options: WorldOptions & typeof defaults

	constructor(options: WorldOptions) {
		this.options = {...defaults, ...options}
		const {seed, way, hosts, buckets, callMs, claims = {}} = this.options
		const {clock} = this
		this.random = createRandom(seed)
		this.platform = new FakePlatform({clock, seed: seed + 1})
		this.service = new FakeService({clock, random: this.random, callMs})
		const {random, platform, service} = this
		this.fleet = new FakeFleet({
			clock,
			random,
			platform,
			service,
			way,
			hosts,
			buckets,
			claims
		})
		const entries = Array.from({length: this.options.entries})
		this.entries = entries.map(() => new FakeEntry(this.fleet))
	}

	/** Starts one caller, which proceeds as the clock advances. */
	book(booking: string): BookingRecord {
		const {clock, fleet, entries} = this
		const startedAt = clock.now
		const record = {booking, startedAt, endedAt: Infinity, results: []}
		this.records.push(record)
		const {windowMs, attemptMs, impatient} = this.options
		const options = {fleet, entries, windowMs, attemptMs, impatient}
		void new Caller(options, record).book()
		return record
	}

	/** Starts callers as a Poisson process with a mean of `perSecond`. */
	bookAtRate(perSecond: number, fromMs: number, forMs: number): void {
		const start = this.clock.now + fromMs
		const meanMs = 1_000 / perSecond
		let at = start
		let count = 0
		for (;;) {
			at -= Math.log(1 - this.random()) * meanMs
			if (at >= start + forMs) return
			count += 1
			const booking = `order-${start}-${count}`
			this.clock.setTimer(() => this.book(booking), at)
		}
	}

	/** Schedules an outage of the platform. */
	addOutage(type: OutageType, fromMs: number, forMs: number): void {
		const {clock, platform} = this
		clock.setTimer(() => {
			platform.outage = type
		}, clock.now + fromMs)
		clock.setTimer(
			() => {
				platform.outage = undefined
			},
			clock.now + fromMs + forMs
		)
	}

	/**
	 * Schedules the kill of a process and the start of its successor. Each entry
	 * checks once whether the host is running within 3 s of the kill, and once
	 * within 1 s of the start.
	 */
	addRestart(id: string, fromMs: number, forMs: number): void {
		const {clock, fleet} = this
		clock.setTimer(() => {
			fleet.kill(id)
			this.updateLiveHosts(id, 3_000)
		}, clock.now + fromMs)
		clock.setTimer(
			() => {
				fleet.start(id)
				this.updateLiveHosts(id, 1_000)
			},
			clock.now + fromMs + forMs
		)
	}

	/**
	 * Schedules a pause of a process. Each entry checks once whether the host is
	 * running within 3 s of the pause, the time of a few heartbeats, and once
	 * within 1 s of the resume.
	 */
	addPause(id: string, fromMs: number, forMs: number): void {
		const {clock, fleet} = this
		clock.setTimer(() => {
			fleet.pause(id)
			this.updateLiveHosts(id, 3_000)
		}, clock.now + fromMs)
		clock.setTimer(
			() => {
				fleet.resume(id)
				this.updateLiveHosts(id, 1_000)
			},
			clock.now + fromMs + forMs
		)
	}

	async run(ms: number): Promise<void> {
		await this.clock.runUntil(this.clock.now + ms)
	}

	count(records: readonly BookingRecord[] = this.records): WorldCounts {
		const counts: WorldCounts = {
			bookings: records.length,
			answered: 0,
			notRun: 0,
			unknown: 0,
			doubled: 0,
			falselyNotRun: 0,
			wrongAnswers: 0
		}
		for (const record of records) this.addToCounts(record, counts)
		return counts
	}

	private addToCounts(record: BookingRecord, counts: WorldCounts): void {
		const runs = this.service.runs.get(record.booking) ?? []
		if (runs.length > 1) counts.doubled += 1
		const types = record.results.map(({result}) => result.type)
		if (types.includes(ClaimResultType.Answered)) counts.answered += 1
		else if (types.includes(ClaimResultType.Unknown)) counts.unknown += 1
		else counts.notRun += 1
		const isFalselyNotRun = record.results.some(
			({at, result, isEveryAttemptNotRun}) =>
				isEveryAttemptNotRun &&
				result.type === ClaimResultType.NotRun &&
				runs.some(ranAt => ranAt <= at)
		)
		if (isFalselyNotRun) counts.falselyNotRun += 1
		const expected = FakeService.createAnswer(record.booking)
		for (const {result} of record.results) {
			if (result.type !== ClaimResultType.Answered) continue
			if (runs.length !== 1 || getBodyText(result) !== expected) {
				counts.wrongAnswers += 1
			}
		}
	}

	/**
	 * Makes each entry check, after a random time up to `lagMs`, whether the host
	 * is running, and update its set of live hosts.
	 */
	private updateLiveHosts(id: string, lagMs: number): void {
		for (const {liveHostIds} of this.entries) {
			const at = this.clock.now + this.random() * lagMs
			this.clock.setTimer(() => {
				const isRunning = this.fleet.hosts.get(id)?.process.isRunning === true
				if (isRunning) liveHostIds.add(id)
				else liveHostIds.delete(id)
			}, at)
		}
	}
}

function getBodyText({body}: ClaimAnswered): string {
	return Buffer.from(body).toString()
}
