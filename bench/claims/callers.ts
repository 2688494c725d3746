/**
 * Entries with a lagging view of the fleet, and callers that retry through any
 * of them. Records what each booking was told.
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
const maxHops = 3
const ticketRetryMs = 100

/** One entry; `view` holds the hosts it takes for live. */
export class FakeEntry {
	readonly view: Set<string>

	constructor(private readonly fleet: FakeFleet) {
		this.view = new Set(fleet.ids)
	}

	async mintTicket(): Promise<string | undefined> {
		const {random} = this.fleet.options
		const hosts = [...this.view]
		const id = hosts[Math.floor(random() * hosts.length)]
		const host = id === undefined ? undefined : this.fleet.hosts.get(id)
		await this.travel()
		if (host?.gate.isRunning !== true) return undefined
		return host.task?.mintTicket(scope).ticket
	}

	/** Runs one attempt, following redirects. */
	async run(call: ClaimCall, booking: string): Promise<ClaimResult> {
		let isDoubtful = call.mayHaveBeenSent === true
		const others = this.route(call)
		let next = others.shift()
		for (let hop = 0; hop < maxHops && next !== undefined; hop++) {
			const host = this.fleet.hosts.get(next)
			await this.travel()
			if (host === undefined || host.gate.isKilled) {
				next = call.ticket === true ? undefined : others.shift()
				continue
			}
			const sent = {...call, mayHaveBeenSent: isDoubtful}
			const result = await this.hop(host, sent, booking)
			if (result.type !== ClaimResultType.Redirect) return result
			const target = this.fleet.hosts.get(result.hostId)
			if (target?.incarnation !== result.incarnation) return unknown
			isDoubtful = true
			next = target.id
		}
		return isDoubtful ? unknown : unreachable
	}

	private route(call: ClaimCall): string[] {
		const {buckets} = this.fleet.options
		if (call.ticket === true) {
			const hostId = parseTicket(call.key)?.hostId
			return hostId === undefined ? [] : [hostId]
		}
		const bucket = computeBucket(scope, call.key, buckets)
		return rankHomes(pool, bucket, [...this.view])
	}

	private async hop(
		host: FakeHost,
		call: ClaimCall,
		booking: string
	): Promise<ClaimResult> {
		const {clock} = this.fleet.options
		const result = await new Promise<ClaimResult>(resolve => {
			const giveUp = (): void => {
				resolve(unknown)
			}
			host.gate.whenKilled(giveUp)
			const cancel = clock.setTimer(giveUp, call.deadline)
			host.gate.enter(() => {
				const send = this.fleet.sendFrom(host, booking)
				const run = host.run(call, send)
				void host.gate.pass(run).then(ended => {
					cancel()
					resolve(ended)
				})
			})
		})
		await this.travel()
		return result
	}

	private travel(): Promise<void> {
		const {clock, random} = this.fleet.options
		return clock.sleep(1 + random() * 2)
	}
}

/** What one booking was told, in order. */
export interface BookingRecord {
	booking: string
	startedAt: number
	endedAt: number
	results: AttemptRecord[]
}

export interface AttemptRecord {
	at: number
	result: ClaimResult
	/** No other attempt of the booking can have been sent, says the caller. */
	isAlone: boolean
}

export interface CallerOptions {
	fleet: FakeFleet
	entries: readonly FakeEntry[]
	/** How long a caller goes on trying. */
	windowMs: number
	attemptMs: number
	/** Share of attempts that are doubled by an impatient caller. */
	impatient?: number
}

/** Books once, with one key, through whatever entry. */
export class Caller {
	private key = ""
	/** Attempts that did not end as not run, or have not ended yet. */
	private doubts = 0

	constructor(
		private readonly options: CallerOptions,
		private readonly record: BookingRecord
	) {}

	async book(): Promise<void> {
		const {clock, random} = this.options.fleet.options
		const {windowMs, impatient = 0} = this.options
		const endAt = clock.now + windowMs
		while (clock.now < endAt) {
			if (random() < impatient) void this.attemptLater(endAt)
			const result = await this.attempt(endAt)
			if (result.type === ClaimResultType.Answered) break
			await clock.sleep(retryDelayMs(result))
		}
		this.record.endedAt = clock.now
	}

	private async attemptLater(endAt: number): Promise<void> {
		const {clock, random} = this.options.fleet.options
		await clock.sleep(random() * 500)
		if (clock.now < endAt && this.key !== "") await this.attempt(endAt)
	}

	private async attempt(endAt: number): Promise<ClaimResult> {
		const {fleet, entries, attemptMs} = this.options
		const {clock, random, way} = fleet.options
		const entry = entries[Math.floor(random() * entries.length)]
		if (entry === undefined) return unreachable
		if (!(await this.takeKey(entry))) return unreachable
		const call: ClaimCall = {
			scope,
			key: this.key,
			bodyHash: this.record.booking,
			deadline: Math.min(endAt, clock.now + attemptMs),
			ticket: way === Way.Tickets,
			mayHaveBeenSent: this.doubts > 0,
			isFirstAttempt: this.doubts === 0
		}
		this.doubts += 1
		const result = await entry.run(call, this.record.booking)
		if (result.type === ClaimResultType.NotRun) this.doubts -= 1
		const isAlone = this.doubts === 0
		this.record.results.push({at: clock.now, result, isAlone})
		return result
	}

	/** A new ticket is taken only while nothing can have been sent. */
	private async takeKey(entry: FakeEntry): Promise<boolean> {
		if (this.options.fleet.options.way !== Way.Tickets) {
			this.key = this.record.booking
			return true
		}
		if (this.doubts > 0) return true
		const ticket = await entry.mintTicket()
		if (ticket === undefined) return false
		if (this.doubts === 0) this.key = ticket
		return true
	}
}

function retryDelayMs(result: ClaimResult): number {
	if (result.type !== ClaimResultType.NotRun) return 300
	return Math.max(ticketRetryMs, result.retryAfterMs)
}

const unknown: UnknownResult = {
	type: ClaimResultType.Unknown,
	step: Step.Forward,
	detail: "the endpoint process does not answer"
}

const unreachable: NotRunResult = {
	type: ClaimResultType.NotRun,
	reason: ClaimRefusal.EndpointRefused,
	detail: "no endpoint process is reachable",
	retryAfterMs: 100
}
