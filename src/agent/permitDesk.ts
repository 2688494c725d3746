/**
 * Gives gateways permits for requests to plain endpoints that state limits. For each
 * pool one agent of the fleet does so, the one that holds the pool's lease; the
 * others name it to gateways that ask them.
 */
import {create} from "@bufbuild/protobuf"
import {
	type LimitNotice,
	type PermitAnswer,
	PermitAnswerSchema,
	type PermitAsk
} from "../contract/gen/grants_pb.js"
import {
	LeaseStep,
	PermitIssuer,
	PermitLease,
	type StatedLimits
} from "../policy/limits/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {getSuspendedMs, messageOf, type Moment} from "../utils/index.js"
import type {LeaseStore} from "./leaseStore.js"

export interface PermitDeskOptions {
	leases: LeaseStore
	/** Unique to this process. */
	owner: string
	getEngineId: () => string
	/** Limits of endpoints, as gateways heard them. */
	limits: StatedLimits
	/** Answers a gateway; `to` is the connection that asked. */
	reply: (to: string, answer: PermitAnswer) => void
	log: Pick<DecisionLog, "decide">
	/** Monotonic milliseconds. */
	now: () => number
	/** Time of day in milliseconds, to notice that the host was suspended. */
	wallNow?: () => number
	random: () => number
}

/** A pool of endpoints for which gateways have asked. */
interface Desk {
	pool: string
	lease: PermitLease
	issuer: PermitIssuer
	wasHeld: boolean
	/** Asks that wait until it is known who holds the lease. */
	waiting: {to: string; ask: PermitAsk}[]
	isBusy: boolean
	askedAt: number
	/** Time before which the store is not called again, after it failed. */
	retryAt: number
	timer: NodeJS.Timeout | undefined
}

const leaseTtlMs = 2000
/** Longest time that an answer of the holder is on its way to be of use. */
const leaseMarginMs = 500
const leaseRenewMs = 700
const leaseRereadMs = 300
const storeRetryMs = 300
/** A holder that nobody has asked for this long releases the lease. */
const idleReleaseMs = 10_000
/** A caller that no holder can be found for returns after this, or up to twice it. */
const noHolderRetryMs = 500

export class PermitDesk {
	private readonly desks = new Map<string, Desk>()
	private readonly wallNow: () => number
	private checkedAt: Moment
	private isStopped = false

	constructor(private readonly options: PermitDeskOptions) {
		this.wallNow = options.wallNow ?? Date.now
		this.checkedAt = {at: options.now(), wallAt: this.wallNow()}
	}

	handleAsk(to: string, ask: PermitAsk): void {
		const now = this.options.now()
		this.dropAfterSuspension()
		const desk = this.getDesk(ask.pool)
		desk.askedAt = now
		const {lease, isBusy, retryAt} = desk
		const isSettled = lease.plan(now) === LeaseStep.None || now < retryAt
		if (lease.isHeld(now) || (isSettled && !isBusy)) {
			this.answer(desk, to, ask)
			return
		}
		desk.waiting.push({to, ask})
		void this.settle(desk)
	}

	stop(): void {
		this.isStopped = true
		for (const {timer} of this.desks.values()) clearTimeout(timer)
	}

	private getDesk(pool: string): Desk {
		let desk = this.desks.get(pool)
		if (desk === undefined) {
			const lease = new PermitLease({
				owner: this.options.owner,
				ttlMs: leaseTtlMs,
				marginMs: leaseMarginMs,
				renewMs: leaseRenewMs,
				rereadMs: leaseRereadMs
			})
			desk = {
				pool,
				lease,
				issuer: new PermitIssuer(),
				wasHeld: false,
				waiting: [],
				isBusy: false,
				askedAt: 0,
				retryAt: 0,
				timer: undefined
			}
			this.desks.set(pool, desk)
		}
		return desk
	}

	/** Gets or renews the lease if that is possible, then answers those who wait. */
	private async settle(desk: Desk): Promise<void> {
		if (desk.isBusy) return
		desk.isBusy = true
		try {
			for (;;) {
				const step = desk.lease.plan(this.options.now())
				if (step === LeaseStep.None || this.isStopped) break
				if (step === LeaseStep.Read) await this.read(desk)
				else await this.write(desk)
			}
		} catch (err) {
			desk.retryAt = this.options.now() + storeRetryMs
			this.options.log.decide("permits.storeFailed", {
				pool: desk.pool,
				error: messageOf(err)
			})
		} finally {
			desk.isBusy = false
		}
		for (const {to, ask} of desk.waiting.splice(0)) this.answer(desk, to, ask)
		this.scheduleRenewal(desk)
	}

	private async read({pool, lease}: Desk): Promise<void> {
		const record = await this.options.leases.read(pool)
		lease.applyRead(record, this.options.now())
	}

	private async write({pool, lease}: Desk): Promise<void> {
		const {leases, owner, now, getEngineId} = this.options
		const sentAt = now()
		const engineId = getEngineId()
		try {
			const value = {owner, engineId}
			const written = await leases.write(pool, value, lease.expectedRevision)
			if (this.dropAfterSuspension()) lease.failWrite()
			else if (written === undefined) lease.applyConflict()
			else lease.applyWrite(written, engineId, sentAt, now())
		} catch (err) {
			lease.failWrite()
			throw err
		}
	}

	private answer(desk: Desk, to: string, ask: PermitAsk): void {
		const {log, now, random, reply} = this.options
		const {pool, lease} = desk
		const isHeld = lease.isHeld(now())
		if (isHeld !== desk.wasHeld) {
			desk.wasHeld = isHeld
			// What the holder before has permitted is not known: the pace begins anew.
			if (isHeld) desk.issuer = new PermitIssuer()
			log.decide(isHeld ? "permits.held" : "permits.lost", {pool})
		}
		const {key} = ask
		if (isHeld) {
			reply(to, this.issue(desk, ask))
			return
		}
		const waitMs = lease.getStartMs(now())
		reply(
			to,
			create(PermitAnswerSchema, {
				key,
				holderId: lease.otherHolder ?? "",
				retryAfterMs: Math.round(waitMs + noHolderRetryMs * (1 + random()))
			})
		)
	}

	private issue({issuer}: Desk, ask: PermitAsk): PermitAnswer {
		const now = this.options.now()
		const {key, limits, maxWaitMs, deadlineLeftMs} = ask
		const candidates = limits.map(limit => this.toCandidate(limit, now))
		const deadline = now + deadlineLeftMs
		const permit = issuer.issue({candidates, maxWaitMs, deadline}, now)
		if ("retryAfterMs" in permit) {
			const retryAfterMs = Math.round(permit.retryAfterMs)
			return create(PermitAnswerSchema, {key, retryAfterMs})
		}
		const {endpointId} = permit
		const waitMs = Math.round(permit.waitMs)
		return create(PermitAnswerSchema, {key, endpointId, waitMs})
	}

	/** The endpoint with the limit that any gateway heard last. */
	private toCandidate(
		{endpointId: id, bornAt, perSecond, ageMs}: LimitNotice,
		now: number
	): {id: string; bornAt: number; perSecond: number | undefined} {
		const {limits} = this.options
		limits.apply(id, {bornAt, perSecond, statedAt: now - ageMs})
		return {id, bornAt, perSecond: limits.get(id, bornAt)?.perSecond}
	}

	private scheduleRenewal(desk: Desk): void {
		clearTimeout(desk.timer)
		if (this.isStopped || !desk.lease.isOwner) return
		desk.timer = setTimeout(() => {
			this.dropAfterSuspension()
			const isIdle = this.options.now() - desk.askedAt > idleReleaseMs
			void (isIdle ? this.release(desk) : this.settle(desk))
		}, leaseRenewMs)
	}

	/** Lets the next agent that is asked take the lease without a wait. */
	private async release(desk: Desk): Promise<void> {
		const {pool, lease} = desk
		if (desk.isBusy) return
		desk.isBusy = true
		lease.drop()
		desk.wasHeld = false
		const value = {owner: "", engineId: ""}
		try {
			const {leases, log} = this.options
			lease.endRelease(await leases.write(pool, value, lease.expectedRevision))
			log.decide("permits.released", {pool})
		} catch (err) {
			lease.endRelease(undefined)
			const error = messageOf(err)
			this.options.log.decide("permits.storeFailed", {pool, error})
		}
		desk.isBusy = false
		if (desk.waiting.length > 0) await this.settle(desk)
	}

	/**
	 * Stops acting on all leases if the host seems to have been suspended, since
	 * another process may have taken them. Returns whether it did.
	 */
	private dropAfterSuspension(): boolean {
		const now = {at: this.options.now(), wallAt: this.wallNow()}
		const suspendedMs = getSuspendedMs(this.checkedAt, now)
		this.checkedAt = now
		if (suspendedMs === 0) return false
		for (const {lease} of this.desks.values()) lease.drop()
		const stepMs = Math.round(suspendedMs)
		this.options.log.decide("clock.stepped", {stepMs})
		return true
	}
}
