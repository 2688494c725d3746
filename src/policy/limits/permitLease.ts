/**
 * A lease on the right to decide for all hosts, as to give permits for a pool or the
 * tokens of a part of the quotas, held as one record in the platform's store.
 * Hosts share no clock, so each counts from its own observations: a holder may act
 * until `ttlMs` after it sent its last successful write, and another host may take
 * over once it has known the same record for `ttlMs + marginMs`. The store replaces
 * a record only if it is the one expected, so that one host at most succeeds.
 */
import {compareRevisions, type StoreRevision} from "../registrations/index.js"

export interface LeaseRecord extends StoreRevision {
	/** Identifies the process that holds it; empty once it was released. */
	owner: string
	/** Engine whose agent that process is. */
	engineId: string
	/**
	 * Host of that process; empty if it stated none. A process that starts on the same
	 * host has the listening port of the one before, which is therefore gone.
	 */
	host: string
	/**
	 * Era of the store in which the lease was in force as the record was written, so
	 * that no holder of an earlier era acts any more; 0 if it was not in force.
	 */
	settledEra: number
}

/** What a process writes into the record. */
export type LeaseValue = Omit<LeaseRecord, keyof StoreRevision>

/** Result of a write that replaced the record. */
export interface LeaseWritten extends StoreRevision {
	/**
	 * Time at which this process first heard of the store's era; negative infinity for
	 * the first era, before which there can't have been another holder.
	 */
	eraSince: number
}

export enum LeaseStep {
	None = "none",
	Read = "read",
	/** Write the record if its revision is `expectedRevision`. */
	Write = "write"
}

export interface PermitLeaseOptions {
	/** Unique among processes, also those that started on the same host before. */
	owner: string
	/** Host name of this process; empty to wait for predecessors on the same host. */
	host?: string
	/** Time for which a write gives the lease. */
	ttlMs: number
	/** Covers the time that a message of the holder may take. */
	marginMs: number
	/** Time after a write at which the next one is due. */
	renewMs: number
	/** Shortest time between two reads of another holder's record. */
	rereadMs: number
}

const firstEraSince = Number.NEGATIVE_INFINITY

export class PermitLease {
	/** Record in the store as this process knows it; undefined if it has to read. */
	private known: LeaseRecord | undefined
	/** Whether `known` is current, also if it is absent from the store. */
	private isRead = false
	/** Whether `known` is the result of this process's last write. */
	private isWritten = false
	/** Time since which this process has known the record's revision. */
	private knownSince = 0
	private readAt = Number.NEGATIVE_INFINITY
	private heldFrom = Number.POSITIVE_INFINITY
	private heldUntil = Number.NEGATIVE_INFINITY
	private writtenAt = Number.NEGATIVE_INFINITY
	private lastTerm = 0
	private isSuccessor = true

	constructor(private readonly options: PermitLeaseOptions) {}

	/** Whether this process may give permits. */
	isHeld(now: number): boolean {
		return now >= this.heldFrom && now < this.heldUntil
	}

	/**
	 * Counts the times that this process took the lease from another one or from
	 * nobody. Within one term no other process has held it.
	 */
	get term(): number {
		return this.lastTerm
	}

	/** Time from which the lease is in force. */
	get heldSince(): number {
		return this.heldFrom
	}

	/**
	 * Whether another process may have acted shortly before the term began. False if
	 * the holder before released the lease unused.
	 */
	get hasPredecessor(): boolean {
		return this.isSuccessor
	}

	/** The value of the record that this process writes next. */
	createValue(engineId: string, now: number): LeaseValue {
		const {owner, host = ""} = this.options
		const settledEra = this.isHeld(now) ? (this.known?.era ?? 0) : 0
		return {owner, engineId, host, settledEra}
	}

	/** The value of the record with which this process releases the lease. */
	createReleaseValue(now: number): LeaseValue {
		return {...this.createValue("", now), owner: "", host: ""}
	}

	/** Time until the lease that this process has written is in force; 0 if none. */
	getStartMs(now: number): number {
		return now < this.heldUntil ? Math.max(0, this.heldFrom - now) : 0
	}

	/** Engine whose agent holds the lease, if that is another one. */
	get otherHolder(): string | undefined {
		const {known} = this
		if (known === undefined || this.isOwn(known) || known.owner === "")
			return undefined
		return known.engineId
	}

	/** 0 if the record has to be created. */
	get expectedRevision(): number {
		return this.known?.revision ?? 0
	}

	/** Whether the record is this process's own, so that it has to renew it. */
	get isOwner(): boolean {
		return this.known !== undefined && this.isOwn(this.known)
	}

	/** What to do next in order to get or to keep the lease. */
	plan(now: number): LeaseStep {
		const {known, options} = this
		if (!this.isRead) return LeaseStep.Read
		if (known === undefined || known.owner === "") return LeaseStep.Write
		if (this.isOwn(known)) {
			const isDue = now >= this.writtenAt + options.renewMs
			return isDue || now >= this.heldUntil ? LeaseStep.Write : LeaseStep.None
		}
		if (this.isPredecessor(known)) return LeaseStep.Write
		if (now >= this.knownSince + options.ttlMs + options.marginMs)
			return LeaseStep.Write
		return now >= this.readAt + options.rereadMs
			? LeaseStep.Read
			: LeaseStep.None
	}

	applyRead(record: LeaseRecord | undefined, now: number): void {
		const {known} = this
		this.isRead = true
		this.readAt = now
		this.known = record
		const isSame =
			record !== undefined &&
			known !== undefined &&
			compareRevisions(record, known) === 0
		if (!isSame) this.knownSince = now
	}

	/** Applies a successful write of `value` that was sent at `sentAt`. */
	applyWrite(
		{era, revision, eraSince}: LeaseWritten,
		value: LeaseValue,
		sentAt: number,
		now: number
	): void {
		const {ttlMs, marginMs} = this.options
		const {known} = this
		const isSameEra = known?.era === era
		const isContinued = isSameEra && this.isOwn(known) && this.lastTerm > 0
		if (!isContinued) {
			const isFirst = known === undefined && eraSince === firstEraSince
			this.lastTerm += 1
			this.isSuccessor = !isFirst && !(isSameEra && isUnused(known))
		}
		// In a new era of the store, a holder whose record it lost may still act, and a
		// revision that is given out again may be that of another process's record.
		const isRenewal = this.isWritten && isSameEra
		if (!isRenewal || !Number.isFinite(this.heldFrom)) {
			const isSettled = isSameEra && known.settledEra === era
			const settledAt = isSettled ? now : eraSince + ttlMs + marginMs
			this.heldFrom = Math.max(now, settledAt)
		}
		this.isWritten = true
		this.known = {...value, era, revision}
		this.knownSince = now
		this.writtenAt = sentAt
		this.heldUntil = sentAt + ttlMs
	}

	/** Another process has replaced the record. */
	applyConflict(): void {
		this.drop()
		this.forget()
	}

	/** It is not known whether the last write was carried out. */
	failWrite(): void {
		this.forget()
	}

	/** Stops acting at once, as before the lease is released or after a pause. */
	drop(): void {
		this.heldFrom = Number.POSITIVE_INFINITY
		this.heldUntil = Number.NEGATIVE_INFINITY
	}

	/** Records that this process released the lease, or that it may not have. */
	endRelease(released: StoreRevision | undefined): void {
		this.forget()
		if (released !== undefined) this.known = undefined
	}

	private forget(): void {
		this.isRead = false
		this.isWritten = false
	}

	/** Whether the record is of a process on this host, which this one replaces. */
	private isPredecessor(known: LeaseRecord): boolean {
		const {host = ""} = this.options
		return host !== "" && known.host === host
	}

	private isOwn({owner}: LeaseRecord): boolean {
		return owner === this.options.owner
	}
}

/** Whether the only holder in the record's era has released it, after its idle time. */
function isUnused({owner, settledEra, era}: LeaseRecord): boolean {
	return owner === "" && settledEra === era
}
