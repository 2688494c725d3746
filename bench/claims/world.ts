/**
 * A fleet, its entries and callers under one virtual clock and one seed, the
 * faults that befall them, and the checks against what truly ran.
 */
import {
	type ClaimAnswered,
	type ClaimTaskOptions
} from "../../src/endpoint/claims/index.js"
import {ClaimResultType} from "../../src/policy/claimTypes.js"
import {type BookingRecord, Caller, FakeEntry} from "./callers.js"
import {FakePlatform, makeRandom, type OutageType} from "./fakePlatform.js"
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
	/** Bookings that ran although the last open attempt was told "not run". */
	falselyNotRun: number
	/** Answers that are not the one the service gave. */
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
		this.random = makeRandom(seed)
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

	/** Starts one caller; it goes on as the clock advances. */
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

	/** Starts callers at random times, on average `perSecond`. */
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

	/** Puts the platform out for a while. */
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

	/** Kills a process and starts its successor after a while. */
	addRestart(id: string, fromMs: number, forMs: number): void {
		const {clock, fleet} = this
		clock.setTimer(() => {
			fleet.kill(id)
			this.changeViews(id, 3_000)
		}, clock.now + fromMs)
		clock.setTimer(
			() => {
				fleet.start(id)
				this.changeViews(id, 1_000)
			},
			clock.now + fromMs + forMs
		)
	}

	/** Pauses a process; entries suspect it after a few heartbeats. */
	addPause(id: string, fromMs: number, forMs: number): void {
		const {clock, fleet} = this
		clock.setTimer(() => {
			fleet.pause(id)
			this.changeViews(id, 3_000)
		}, clock.now + fromMs)
		clock.setTimer(
			() => {
				fleet.resume(id)
				this.changeViews(id, 1_000)
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
		for (const record of records) this.countOne(record, counts)
		return counts
	}

	private countOne(record: BookingRecord, counts: WorldCounts): void {
		const runs = this.service.runs.get(record.booking) ?? []
		if (runs.length > 1) counts.doubled += 1
		const types = record.results.map(({result}) => result.type)
		if (types.includes(ClaimResultType.Answered)) counts.answered += 1
		else if (types.includes(ClaimResultType.Unknown)) counts.unknown += 1
		else counts.notRun += 1
		const isFalse = record.results.some(
			({at, result, isAlone}) =>
				isAlone &&
				result.type === ClaimResultType.NotRun &&
				runs.some(ranAt => ranAt <= at)
		)
		if (isFalse) counts.falselyNotRun += 1
		const expected = FakeService.answerOf(record.booking)
		for (const {result} of record.results) {
			if (result.type !== ClaimResultType.Answered) continue
			if (runs.length !== 1 || bodyOf(result) !== expected) {
				counts.wrongAnswers += 1
			}
		}
	}

	/** Each entry learns at its own time whether the host runs by then. */
	private changeViews(id: string, lagMs: number): void {
		for (const {view} of this.entries) {
			const at = this.clock.now + this.random() * lagMs
			this.clock.setTimer(() => {
				const isRunning = this.fleet.hosts.get(id)?.gate.isRunning === true
				if (isRunning) view.add(id)
				else view.delete(id)
			}, at)
		}
	}
}

function bodyOf({body}: ClaimAnswered): string {
	return Buffer.from(body).toString()
}
