/**
 * Base of what one agent of the fleet decides for all gateways, the one that holds a
 * lease: takes, renews and releases the leases, has asks wait until it is known who
 * holds the lease, and stops acting after the host was suspended. Permits for plain
 * endpoints and the tokens of quotas are its two uses.
 */
import {LeaseStep, PermitLease} from "../policy/limits/index.js"
import type {DecisionLog} from "../program/decisionLog.js"
import {getSuspendedMs, messageOf, type Moment} from "../utils/index.js"
import type {LeaseStore} from "./leaseStore.js"

export interface LeaseDeskOptions {
	leases: LeaseStore
	/** Unique to this process. */
	owner: string
	/** Host name of this process; see `PermitLeaseOptions`. */
	host?: string | undefined
	getEngineId: () => string
	log: Pick<DecisionLog, "decide">
	/** Monotonic milliseconds. */
	now: () => number
	/** Time of day in milliseconds, to notice that the host was suspended. */
	wallNow?: () => number
	random: () => number
}

export interface LeaseTimes {
	ttlMs: number
	/** Longest time that an answer of the holder is on its way to be of use. */
	marginMs: number
	renewMs: number
	rereadMs: number
	/** A holder that nobody has asked for this long releases the lease. */
	idleReleaseMs: number
}

/** Names used in log lines. */
export interface LeaseLogNames {
	/** First part of the names of events, as `permits` in `permits.held`. */
	event: string
	/** Field that holds the name of the lease. */
	field: string
}

/** What the holder of a lease decides with, for as long as nobody else held it. */
interface HeldState<State> {
	term: number
	state: State
}

interface Desk<Ask, State> {
	name: string
	lease: PermitLease
	held: HeldState<State> | undefined
	/** Whether the last log line said that it is held. */
	wasHeld: boolean
	/** Asks that wait until it is known who holds the lease. */
	waiting: {to: string; ask: Ask}[]
	isBusy: boolean
	askedAt: number
	/** Time before which the store is not called again, after it failed. */
	retryAt: number
	timer: NodeJS.Timeout | undefined
}

/** What to tell a gateway that asked a process without the lease. */
export interface NotHeld {
	/** Engine whose agent holds the lease; empty if none is known. */
	holderId: string
	/** Time after which asking again may help. */
	retryAfterMs: number
}

const storeRetryMs = 300
/** A caller that no holder can be found for returns after this, or up to twice it. */
const noHolderRetryMs = 500

export abstract class LeaseDesk<Ask, State> {
	private readonly desks = new Map<string, Desk<Ask, State>>()
	private readonly wallNow: () => number
	private checkedAt: Moment
	private isStopped = false

	constructor(
		protected readonly options: LeaseDeskOptions,
		private readonly times: LeaseTimes,
		private readonly logNames: LeaseLogNames
	) {
		this.wallNow = options.wallNow ?? Date.now
		this.checkedAt = {at: options.now(), wallAt: this.wallNow()}
	}

	/** State of a holder that takes the lease, which may have had another holder. */
	protected abstract createState(name: string, lease: PermitLease): State

	/** Answers an ask as the holder of the lease; `to` is the connection that asked. */
	protected abstract answerHeld(to: string, ask: Ask, state: State): void

	protected abstract answerNotHeld(to: string, ask: Ask, reply: NotHeld): void

	stop(): void {
		this.isStopped = true
		for (const {timer} of this.desks.values()) clearTimeout(timer)
	}

	/** Answers the ask once it is known who holds the lease of that name. */
	protected receiveAsk(name: string, to: string, ask: Ask): void {
		const now = this.options.now()
		this.dropAfterSuspension()
		const desk = this.getDesk(name)
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

	/** States of the leases that are held now. */
	protected listHeld(): State[] {
		this.dropAfterSuspension()
		return [...this.desks.values()].flatMap(desk => {
			const state = this.getHeldState(desk)
			return state === undefined ? [] : [state]
		})
	}

	private getDesk(name: string): Desk<Ask, State> {
		let desk = this.desks.get(name)
		if (desk === undefined) {
			const {owner, host = ""} = this.options
			desk = {
				name,
				lease: new PermitLease({...this.times, owner, host}),
				held: undefined,
				wasHeld: false,
				waiting: [],
				isBusy: false,
				askedAt: 0,
				retryAt: 0,
				timer: undefined
			}
			this.desks.set(name, desk)
		}
		return desk
	}

	/** Gets or renews the lease if that is possible, then answers those who wait. */
	private async settle(desk: Desk<Ask, State>): Promise<void> {
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
			this.logStoreFailure(desk, err)
		} finally {
			desk.isBusy = false
		}
		for (const {to, ask} of desk.waiting.splice(0)) this.answer(desk, to, ask)
		this.scheduleRenewal(desk)
	}

	private async read({name, lease}: Desk<Ask, State>): Promise<void> {
		const record = await this.options.leases.read(name)
		lease.applyRead(record, this.options.now())
	}

	private async write({name, lease}: Desk<Ask, State>): Promise<void> {
		const {leases, now, getEngineId} = this.options
		const sentAt = now()
		try {
			const value = lease.createValue(getEngineId(), sentAt)
			const written = await leases.write(name, value, lease.expectedRevision)
			if (this.dropAfterSuspension()) lease.failWrite()
			else if (written === undefined) lease.applyConflict()
			else lease.applyWrite(written, value, sentAt, now())
		} catch (err) {
			lease.failWrite()
			throw err
		}
	}

	private answer(desk: Desk<Ask, State>, to: string, ask: Ask): void {
		const {now, random} = this.options
		const {lease} = desk
		const state = this.getHeldState(desk)
		if (state !== undefined) {
			this.answerHeld(to, ask, state)
			return
		}
		const waitMs = lease.getStartMs(now()) + noHolderRetryMs * (1 + random())
		this.answerNotHeld(to, ask, {
			holderId: lease.otherHolder ?? "",
			retryAfterMs: Math.round(waitMs)
		})
	}

	/** The state if the lease is held now; a new one if others may have held it. */
	private getHeldState(desk: Desk<Ask, State>): State | undefined {
		const {name, lease} = desk
		const isHeld = lease.isHeld(this.options.now())
		if (isHeld !== desk.wasHeld) {
			desk.wasHeld = isHeld
			this.logState(desk, isHeld ? "held" : "lost")
		}
		if (!isHeld) return undefined
		const {term} = lease
		if (desk.held?.term !== term)
			desk.held = {term, state: this.createState(name, lease)}
		return desk.held.state
	}

	private scheduleRenewal(desk: Desk<Ask, State>): void {
		clearTimeout(desk.timer)
		if (this.isStopped || !desk.lease.isOwner) return
		const {renewMs, idleReleaseMs} = this.times
		desk.timer = setTimeout(() => {
			this.dropAfterSuspension()
			const isIdle = this.options.now() - desk.askedAt > idleReleaseMs
			void (isIdle ? this.release(desk) : this.settle(desk))
		}, renewMs)
	}

	/** Lets the next agent that is asked take the lease without a wait. */
	private async release(desk: Desk<Ask, State>): Promise<void> {
		const {name, lease} = desk
		if (desk.isBusy) return
		desk.isBusy = true
		const value = lease.createReleaseValue(this.options.now())
		lease.drop()
		desk.wasHeld = false
		try {
			const {leases} = this.options
			lease.endRelease(await leases.write(name, value, lease.expectedRevision))
			this.logState(desk, "released")
		} catch (err) {
			lease.endRelease(undefined)
			this.logStoreFailure(desk, err)
		}
		desk.isBusy = false
		if (desk.waiting.length > 0) await this.settle(desk)
	}

	private logState({name}: Desk<Ask, State>, state: string): void {
		const {event, field} = this.logNames
		this.options.log.decide(`${event}.${state}`, {[field]: name})
	}

	private logStoreFailure({name}: Desk<Ask, State>, err: unknown): void {
		const {event, field} = this.logNames
		const error = messageOf(err)
		this.options.log.decide(`${event}.storeFailed`, {[field]: name, error})
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
