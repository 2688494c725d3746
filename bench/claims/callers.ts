/**
 * Simulated entries, each with its own, possibly outdated set of live hosts, and
 * callers that send a booking through random entries and retry it. Every
 * attempt's result is recorded.
 */
import {Step} from "../../src/contract/errors.js"
import type {ClaimCall, ClaimResult} from "../../src/endpoint/claims/index.js"
import {computeBucket, rankHomes} from "../../src/policy/claimHome.js"
import {
	ClaimRefusal,
	ClaimResultType,
	type NotRunResult,
	type UnknownResult
} from "../../src/policy/claimTypes.js"
import {parseTicket} from "../../src/policy/tickets.js"
import {type FakeFleet, type FakeHost, pool, Way} from "./fleet.js"

const scope = {member: "hillside-college", route: "book-chamber"}
const maxHopsPerAttempt = 3
const minRetryDelayMs = 100

export class FakeEntry {
	/** Hosts that this entry regards as live; may be outdated. */
	readonly liveHostIds: Set<string>

	constructor(private readonly fleet: FakeFleet) {
		this.liveHostIds = new Set(fleet.ids)
	}

	async mintTicket(): Promise<string | undefined> {
		const {random} = this.fleet.options
		const hosts = [...this.liveHostIds]
		const id = hosts[Math.floor(random() * hosts.length)]
		const host = id === undefined ? undefined : this.fleet.hosts.get(id)
		await this.simulateLatency()
		if (host?.process.isRunning !== true) return undefined
		return host.task?.mintTicket(scope).ticket
	}

	/**
	 * Runs one attempt. A killed host is skipped in favour of the next in rank,
	 * unless the key is a ticket, which names its host; redirects are followed.
	 * Returns "unknown" for a redirect to another incarnation. When no host is left
	 * or the hops are used up, returns "unknown" after a redirect or an earlier
	 * attempt that may have been sent, else "not run".
	 */
	async run(call: ClaimCall, booking: string): Promise<ClaimResult> {
		let mayHaveReachedHost = call.mayHaveBeenSent === true
		const others = this.rankHosts(call)
		let next = others.shift()
		for (let hop = 0; hop < maxHopsPerAttempt && next !== undefined; hop++) {
			const host = this.fleet.hosts.get(next)
			await this.simulateLatency()
			if (host === undefined || host.process.isKilled) {
				next = call.ticket === true ? undefined : others.shift()
				continue
			}
			const sent = {...call, mayHaveBeenSent: mayHaveReachedHost}
			const result = await this.callHost(host, sent, booking)
			if (result.type !== ClaimResultType.Redirect) return result
			const target = this.fleet.hosts.get(result.hostId)
			if (target?.incarnation !== result.incarnation) return unknownResult
			mayHaveReachedHost = true
			next = target.id
		}
		return mayHaveReachedHost ? unknownResult : unreachableResult
	}

	private rankHosts(call: ClaimCall): string[] {
		const {buckets} = this.fleet.options
		if (call.ticket === true) {
			const hostId = parseTicket(call.key)?.hostId
			return hostId === undefined ? [] : [hostId]
		}
		const bucket = computeBucket(scope, call.key, buckets)
		return rankHomes(pool, bucket, [...this.liveHostIds])
	}

	private async callHost(
		host: FakeHost,
		call: ClaimCall,
		booking: string
	): Promise<ClaimResult> {
		const {clock} = this.fleet.options
		const result = await new Promise<ClaimResult>(resolve => {
			const resolveUnknown = (): void => {
				resolve(unknownResult)
			}
			host.process.onKill(resolveUnknown)
			const cancel = clock.setTimer(resolveUnknown, call.deadline)
			host.process.runWhenRunning(() => {
				const send = this.fleet.createSend(host, booking)
				const run = host.run(call, send)
				void host.process.deliver(run).then(ended => {
					cancel()
					resolve(ended)
				})
			})
		})
		await this.simulateLatency()
		return result
	}

	private simulateLatency(): Promise<void> {
		const {clock, random} = this.fleet.options
		return clock.sleep(1 + random() * 2)
	}
}

/** The results of one booking's attempts, in the order of their ends. */
export interface BookingRecord {
	booking: string
	startedAt: number
	endedAt: number
	results: AttemptRecord[]
}

export interface AttemptRecord {
	at: number
	result: ClaimResult
	/** Whether every attempt so far, this one included, ended as not run. */
	isEveryAttemptNotRun: boolean
}

export interface CallerOptions {
	fleet: FakeFleet
	entries: readonly FakeEntry[]
	/** Time after which a caller stops retrying a booking. */
	windowMs: number
	attemptMs: number
	/** Share of attempts with a duplicate that the caller sends concurrently. */
	impatient?: number
}

/**
 * Sends one booking with one key, each attempt through a random entry, until it
 * is answered or its time is over.
 */
export class Caller {
	private key = ""
	/** Attempts that are running, or ended with another result than not run. */
	private possiblySentAttempts = 0

	constructor(
		private readonly options: CallerOptions,
		private readonly record: BookingRecord
	) {}

	async book(): Promise<void> {
		const {clock, random} = this.options.fleet.options
		const {windowMs, impatient = 0} = this.options
		const endAt = clock.now + windowMs
		while (clock.now < endAt) {
			if (random() < impatient) void this.attemptConcurrently(endAt)
			const result = await this.attempt(endAt)
			if (result.type === ClaimResultType.Answered) break
			await clock.sleep(retryDelayMs(result))
		}
		this.record.endedAt = clock.now
	}

	private async attemptConcurrently(endAt: number): Promise<void> {
		const {clock, random} = this.options.fleet.options
		await clock.sleep(random() * 500)
		if (clock.now < endAt && this.key !== "") await this.attempt(endAt)
	}

	private async attempt(endAt: number): Promise<ClaimResult> {
		const {fleet, entries, attemptMs} = this.options
		const {clock, random, way} = fleet.options
		const entry = entries[Math.floor(random() * entries.length)]
		if (entry === undefined) return unreachableResult
		if (!(await this.obtainKey(entry))) return unreachableResult
		const call: ClaimCall = {
			scope,
			key: this.key,
			bodyHash: this.record.booking,
			deadline: Math.min(endAt, clock.now + attemptMs),
			ticket: way === Way.Tickets,
			mayHaveBeenSent: this.possiblySentAttempts > 0,
			isFirstAttempt: this.possiblySentAttempts === 0
		}
		this.possiblySentAttempts += 1
		const result = await entry.run(call, this.record.booking)
		if (result.type === ClaimResultType.NotRun) this.possiblySentAttempts -= 1
		const isEveryAttemptNotRun = this.possiblySentAttempts === 0
		this.record.results.push({at: clock.now, result, isEveryAttemptNotRun})
		return result
	}

	/**
	 * Sets the key of the next attempt; false when no ticket could be minted. A
	 * ticket is replaced only while no attempt with it can have been sent, since
	 * a new ticket would allow a second run.
	 */
	private async obtainKey(entry: FakeEntry): Promise<boolean> {
		if (this.options.fleet.options.way !== Way.Tickets) {
			this.key = this.record.booking
			return true
		}
		if (this.possiblySentAttempts > 0) return true
		const ticket = await entry.mintTicket()
		if (ticket === undefined) return false
		if (this.possiblySentAttempts === 0) this.key = ticket
		return true
	}
}

function retryDelayMs(result: ClaimResult): number {
	if (result.type !== ClaimResultType.NotRun) return 300
	return Math.max(minRetryDelayMs, result.retryAfterMs)
}

const unknownResult: UnknownResult = {
	type: ClaimResultType.Unknown,
	step: Step.Forward,
	detail: "the endpoint process does not answer"
}

const unreachableResult: NotRunResult = {
	type: ClaimResultType.NotRun,
	reason: ClaimRefusal.EndpointRefused,
	detail: "no endpoint process is reachable",
	retryAfterMs: 100
}
