/**
 * Gateways, agents and the platform's store in virtual time, with the leases, the
 * parts of quotas and the order of asks that the programs use. Tests drive it with
 * faults; the benchmark compares designs with it.
 */
import {
	type LeaseRecord,
	LeaseStep,
	type LeaseValue,
	PermitLease
} from "../../src/policy/limits/index.js"
import {
	amountValidMs,
	getPartName,
	orderParts,
	placeParts,
	type QuotaBounds,
	QuotaPart,
	quotaPartCount,
	type QuotaTerms,
	RefusalMemory
} from "../../src/policy/quotas/index.js"
import type {VirtualClock} from "../policy/virtualClock.js"

const leaseTimes = {ttlMs: 5000, marginMs: 500, renewMs: 1500, rereadMs: 300}
const agentStepMs = 50
const renewAheadMs = 500
/** Time for which an agent goes on to seek a lease that it was asked about. */
const interestMs = 2000

/** The platform's store, with outages, lost answers and returns from a copy. */
export class FleetStore {
	calls = 0
	era = 1
	isAway = false
	private revision = 0
	private records = new Map<string, LeaseRecord>()
	private copy = {records: new Map<string, LeaseRecord>(), revision: 0}

	read(name: string): LeaseRecord | undefined {
		const record = this.records.get(name)
		return record && {...record, era: this.era}
	}

	write(
		name: string,
		value: LeaseValue,
		expected: number
	): LeaseRecord | undefined {
		if ((this.records.get(name)?.revision ?? 0) !== expected) return undefined
		this.revision += 1
		const record = {...value, era: this.era, revision: this.revision}
		this.records.set(name, record)
		return record
	}

	saveCopy(): void {
		this.copy = {records: new Map(this.records), revision: this.revision}
	}

	returnToCopy(): void {
		this.era += 1
		this.records = new Map(this.copy.records)
		this.revision = this.copy.revision
	}
}

interface HeldPart {
	lease: PermitLease
	term: number
	part: QuotaPart | undefined
	askedAt: number
	isBusy: boolean
}

export interface FleetOptions {
	clock: VirtualClock
	random: () => number
	bounds: QuotaBounds
	agents: number
	/** Failure domains over which gateways and agents are spread. */
	domains: number
	/** Time of a call to the store, one way. */
	storeMs?: number
}

/** An agent process; a restart on its host is another one. */
export class FleetAgent {
	frozenUntil = 0
	isAlive = true
	isCutFromStore = false
	/** Whether the answers to its next writes are lost. */
	losesAnswers = false
	private eraSeen = 0
	private eraSince = Number.NEGATIVE_INFINITY
	private readonly parts = new Map<string, HeldPart>()

	constructor(
		readonly owner: string,
		readonly host: string,
		readonly domain: number,
		private readonly store: FleetStore,
		private readonly options: FleetOptions,
		isFirst: boolean
	) {
		if (!isFirst) this.eraSince = Number.POSITIVE_INFINITY
		else this.eraSeen = store.era
		this.scheduleStep()
	}

	get isFrozen(): boolean {
		return this.options.clock.now < this.frozenUntil
	}

	/** Whether this agent holds a part. */
	get isHolder(): boolean {
		const {now} = this.options.clock
		return [...this.parts.values()].some(({lease}) => lease.isHeld(now))
	}

	/** The part if this agent holds it. */
	getHeld(name: string): QuotaPart | undefined {
		const {now} = this.options.clock
		const held = this.getPart(name)
		if (!held.lease.isHeld(now)) return undefined
		if (held.part === undefined || held.term !== held.lease.term) {
			const {heldSince, hasPredecessor} = held.lease
			const {bounds} = this.options
			held.part = new QuotaPart({bounds, heldSince, hasPredecessor})
			held.term = held.lease.term
		}
		return held.part
	}

	/** Host of the holder as this agent knows it; seeks the lease from now on. */
	seek(name: string): string | undefined {
		const held = this.getPart(name)
		held.askedAt = this.options.clock.now
		return held.lease.otherHolder
	}

	private getPart(name: string): HeldPart {
		let held = this.parts.get(name)
		if (held === undefined) {
			const {owner, host} = this
			const lease = new PermitLease({...leaseTimes, owner, host})
			const askedAt = Number.NEGATIVE_INFINITY
			held = {lease, term: 0, part: undefined, askedAt, isBusy: false}
			this.parts.set(name, held)
		}
		return held
	}

	private scheduleStep(): void {
		const {clock} = this.options
		clock.schedule(clock.now + agentStepMs, () => {
			if (!this.isAlive) return
			if (!this.isFrozen)
				for (const [name, held] of this.parts) this.step(name, held)
			this.scheduleStep()
		})
	}

	private step(name: string, held: HeldPart): void {
		const {store, options} = this
		const {clock, storeMs = 4} = options
		const {lease} = held
		const {now} = clock
		const isWanted = lease.isOwner || now - held.askedAt < interestMs
		if (held.isBusy || !isWanted || this.isCutFromStore || store.isAway) return
		const step = lease.plan(now)
		if (step === LeaseStep.None) return
		held.isBusy = true
		store.calls += 1
		const isLost = this.losesAnswers && step === LeaseStep.Write
		clock.schedule(now + storeMs, () => {
			const apply = this.call(step, name, lease, now, isLost)
			this.receive(clock.now + storeMs, () => {
				held.isBusy = false
				apply()
			})
		})
	}

	/** Carries out a call at the store; returns what its answer does here. */
	private call(
		step: LeaseStep,
		name: string,
		lease: PermitLease,
		sentAt: number,
		isLost: boolean
	): () => void {
		const {store} = this
		const {era} = store
		const {clock} = this.options
		if (step === LeaseStep.Read) {
			const record = store.read(name)
			return () => {
				this.noteEra(era)
				lease.applyRead(record, clock.now)
			}
		}
		const value = lease.createValue(this.host, sentAt)
		const written = store.write(name, value, lease.expectedRevision)
		return () => {
			if (isLost || era < this.eraSeen) {
				lease.failWrite()
				return
			}
			this.noteEra(era)
			if (written === undefined) lease.applyConflict()
			else {
				const stamped = {...written, eraSince: this.eraSince}
				lease.applyWrite(stamped, value, sentAt, clock.now)
			}
		}
	}

	/** An answer that arrives at a frozen process is read as it goes on. */
	private receive(at: number, apply: () => void): void {
		const {clock} = this.options
		clock.schedule(Math.max(at, this.frozenUntil), () => {
			if (!this.isAlive) return
			if (this.isFrozen) this.receive(this.frozenUntil, apply)
			else apply()
		})
	}

	private noteEra(era: number): void {
		if (era <= this.eraSeen) return
		this.eraSeen = era
		this.eraSince = this.options.clock.now
	}
}

/** A request's amount at a gateway. */
export interface HeldAmount {
	key: string
	part: number
	agent: FleetAgent
	member: string
	validUntil: number
}

export interface FleetRequest {
	member: string
	tokens: number
	terms: QuotaTerms
	/** Time that the request waits for an endpoint. */
	waitMs: number
	/** Whether it ends without having reached one. */
	isReturned?: boolean
	/** Time until the holder hears of the send; undefined if it never does. */
	reportMs?: number | undefined
}

export interface Sent {
	member: string
	at: number
	amount: number
}

export interface AskResult {
	amount: HeldAmount | undefined
	refusals: number
	retryAfterMs: number
}

export class FleetGateway {
	isAlive = true
	/** Whether it is cut off from agents in other failure domains. */
	isCutOff = false
	messages = 0
	private readonly holders = new Map<number, string>()
	private readonly refusals = new RefusalMemory()
	private lastKey = 0

	constructor(
		readonly name: string,
		readonly domain: number,
		private readonly fleet: QuotaFleet
	) {}

	/** Finds the holders of the parts ahead of requests. */
	search(): void {
		for (let part = 0; part < quotaPartCount; part += 1) this.findHolder(part)
	}

	/** Takes the request's amount and sends it after its wait. */
	serve(request: FleetRequest): AskResult {
		const result = this.take(request)
		const {clock} = this.fleet.options
		if (result.amount !== undefined)
			this.hold(request, result.amount, clock.now + request.waitMs)
		return result
	}

	private take(request: FleetRequest): AskResult {
		const {options} = this.fleet
		const {now} = options.clock
		const {member, tokens: cost, terms} = request
		const remembered = Array.from({length: quotaPartCount}, (_, part) =>
			this.refusals.getWaitMs({member, part, cost, version: terms.version}, now)
		)
		const {parts, waits} = orderParts(remembered, options.random)
		let retryAfterMs = Math.min(...waits)
		let refusals = waits.length
		for (const [index, part] of parts.entries()) {
			const agent = this.findHolder(part)
			const held = agent?.getHeld(getPartName(part))
			if (agent === undefined || held === undefined) continue
			this.messages += 1
			this.lastKey += 1
			const key = `${this.name}-${this.lastKey}`
			const {refusal} = held.take(
				{
					key,
					member,
					terms,
					tokens: cost,
					deadline: now + 4000,
					isRenewal: false,
					isLast: index === parts.length - 1,
					otherWaitMs: retryAfterMs
				},
				now
			)
			if (refusal === undefined) {
				const validUntil = now + amountValidMs
				const amount = {key, part, agent, member, validUntil}
				return {amount, refusals, retryAfterMs}
			}
			refusals += 1
			retryAfterMs = Math.min(retryAfterMs, refusal.retryAfterMs)
			const refused = {member, part, cost, version: terms.version}
			this.refusals.add(refused, refusal.waitMs, now)
		}
		return {amount: undefined, refusals, retryAfterMs}
	}

	/** Waits until the request is sent, and renews its amount meanwhile. */
	private hold(
		request: FleetRequest,
		amount: HeldAmount,
		sendAt: number
	): void {
		const {clock} = this.fleet.options
		const renewAt = amount.validUntil - renewAheadMs
		if (sendAt <= renewAt) {
			clock.schedule(sendAt, () => {
				this.send(request, amount)
			})
			return
		}
		clock.schedule(renewAt, () => {
			if (!this.isAlive) return
			const renewed = this.renew(request, amount)
			if (renewed !== undefined) this.hold(request, renewed, sendAt)
		})
	}

	private renew(
		request: FleetRequest,
		amount: HeldAmount
	): HeldAmount | undefined {
		const {options} = this.fleet
		const {now} = options.clock
		const {agent, part, key} = amount
		const {member, tokens, terms} = request
		const isReachable = this.canReach(agent)
		const held = isReachable ? agent.getHeld(getPartName(part)) : undefined
		const asked = {key, member, terms, tokens, deadline: now, isRenewal: true}
		const others = {isLast: false, otherWaitMs: 0}
		const refusal = held?.take({...asked, ...others}, now).refusal
		if (held !== undefined && refusal === undefined)
			return {...amount, validUntil: now + amountValidMs}
		if (isReachable) held?.giveBack(key, now)
		return this.take(request).amount
	}

	private send(request: FleetRequest, amount: HeldAmount): void {
		const {clock} = this.fleet.options
		const {now} = clock
		if (!this.isAlive || now >= amount.validUntil) return
		const {reportMs, isReturned = false, tokens} = request
		const {key, agent, part, member} = amount
		const name = getPartName(part)
		if (!isReturned) this.fleet.sent.push({member, at: now, amount: tokens})
		if (reportMs === undefined) return
		clock.schedule(now + reportMs, () => {
			if (!this.canReach(agent)) return
			const held = agent.getHeld(name)
			if (isReturned) {
				held?.giveBack(key, clock.now)
				held?.giveBack(key, clock.now)
			} else held?.markSent(key, reportMs, clock.now)
		})
	}

	/** The part's holder if it can be reached, by way of another agent if need be. */
	private findHolder(part: number): FleetAgent | undefined {
		const {fleet} = this
		const name = getPartName(part)
		const known = fleet.findAgent(this.holders.get(part))
		if (known !== undefined && this.canReach(known)) {
			if (known.getHeld(name) !== undefined) {
				known.seek(name)
				return known
			}
		}
		const candidates = fleet.agents
			.filter(agent => this.canReach(agent))
			.map(({host, domain}) => ({id: host, failureDomain: String(domain)}))
		const first = fleet.findAgent(placeParts(candidates)[part])
		if (first === undefined) return undefined
		this.messages += 1
		const other = first.seek(name)
		if (first.getHeld(name) !== undefined) {
			this.holders.set(part, first.host)
			return first
		}
		const holder = fleet.findAgent(other)
		if (holder === undefined || !this.canReach(holder)) return undefined
		this.holders.set(part, holder.host)
		return holder
	}

	private canReach(agent: FleetAgent): boolean {
		if (!agent.isAlive || agent.isFrozen) return false
		return !this.fleet.isPartitioned(this.domain, agent.domain)
	}
}

export class QuotaFleet {
	readonly store = new FleetStore()
	readonly agents: FleetAgent[] = []
	/** What reached endpoints. */
	readonly sent: Sent[] = []
	/** Failure domain that is cut off from the others and from the store. */
	cutDomain: number | undefined
	private restarts = 0

	constructor(readonly options: FleetOptions) {
		for (let n = 0; n < options.agents; n += 1)
			this.agents.push(this.createAgent(n, true))
	}

	createGateway(n: number): FleetGateway {
		return new FleetGateway(`g${n}`, n % this.options.domains, this)
	}

	isPartitioned(a: number, b: number): boolean {
		return a !== b && (a === this.cutDomain || b === this.cutDomain)
	}

	cut(domain: number | undefined): void {
		this.cutDomain = domain
		for (const agent of this.agents)
			agent.isCutFromStore = agent.domain === domain
	}

	findAgent(host: string | undefined): FleetAgent | undefined {
		return this.agents.find(agent => agent.host === host)
	}

	kill(n: number): void {
		const agent = this.agents[n]
		if (agent !== undefined) agent.isAlive = false
	}

	/** Starts a process in place of the one on the host, which ends. */
	restart(n: number): void {
		this.kill(n)
		this.agents[n] = this.createAgent(n, false)
	}

	private createAgent(n: number, isFirst: boolean): FleetAgent {
		this.restarts += 1
		const {options, store} = this
		const owner = `p${this.restarts}`
		const domain = n % options.domains
		return new FleetAgent(owner, `a${n}`, domain, store, options, isFirst)
	}
}

/** Largest sum of a Member's sends within any window. */
export function findBusiest(sent: readonly Sent[], windowMs: number): number {
	let sum = 0
	let busiest = 0
	let first = 0
	for (const {at, amount} of sent) {
		sum += amount
		for (;;) {
			const oldest = sent[first]
			if (oldest === undefined || oldest.at > at - windowMs) break
			sum -= oldest.amount
			first += 1
		}
		busiest = Math.max(busiest, sum)
	}
	return busiest
}

/** What quotas are judged by. */
export function getBound(
	{perSecond, burst}: QuotaTerms,
	{windowMs, overage, slack}: QuotaBounds
): number {
	return ((perSecond * windowMs) / 1000 + burst) * (1 + overage) + slack
}
