/**
 * Limits loads to this process's share of the weight store: their rate by a
 * token bucket, and their number in flight. If the share is less than one load
 * in flight, the starts of loads are spaced accordingly.
 */
import type {LoadShare} from "./types.js"

export interface LoadBudgetOptions {
	share: LoadShare
	/** Expected duration of one load. */
	loadMs: number
	/** Capacity of the token bucket; each load takes one token. */
	burst?: number
}

const defaultBurstTokens = 2
/**
 * Lower bounds of the share, in loads per second and in loads in flight, so that
 * delays stay finite at a share of 0.
 */
const minLoadsPerSecond = 0.01
const minInFlight = 0.01
/** Part of a token that may be missing, as times of wake-ups are rounded. */
const tokenTolerance = 1e-6

export class LoadBudget {
	private share: LoadShare
	private readonly loadMs: number
	private readonly burst: number
	private tokens: number
	private refilledAt: number | undefined
	private nextStartAt = 0
	private inFlight = 0

	constructor(options: LoadBudgetOptions) {
		this.share = options.share
		this.loadMs = options.loadMs
		this.burst = options.burst ?? defaultBurstTokens
		this.tokens = this.burst
	}

	get loadsPerSecond(): number {
		return Math.max(minLoadsPerSecond, this.share.loadsPerSecond)
	}

	setShare(share: LoadShare, now: number): void {
		this.refill(now)
		this.share = share
	}

	canStart(now: number): boolean {
		if (!this.isBelowInFlightLimit()) return false
		this.refill(now)
		return now >= this.nextStartAt && this.tokens >= 1 - tokenTolerance
	}

	/**
	 * True when no load is in flight, the token bucket is full and a load may
	 * start. Lost adapters are reloaded only then; deferred ones may be loaded
	 * early then.
	 */
	isIdle(now: number): boolean {
		return (
			this.inFlight === 0 &&
			this.canStart(now) &&
			this.tokens >= this.burst - tokenTolerance
		)
	}

	/** Earliest start of a load; undefined at the limit of loads in flight. */
	nextAt(now: number): number | undefined {
		return this.isBelowInFlightLimit() ? this.getStartTime(1, now) : undefined
	}

	/** Time at which `isIdle` turns true; undefined while a load is in flight. */
	nextIdleAt(now: number): number | undefined {
		return this.inFlight === 0 ? this.getStartTime(this.burst, now) : undefined
	}

	start(now: number): void {
		this.refill(now)
		this.tokens -= 1
		this.inFlight += 1
		const share = Math.max(minInFlight, this.share.inFlight)
		if (share < 1) this.nextStartAt = now + Math.ceil(this.loadMs / share)
	}

	end(): void {
		this.inFlight = Math.max(0, this.inFlight - 1)
	}

	/** Earliest start of a load once the bucket holds `tokens`. */
	private getStartTime(tokens: number, now: number): number {
		this.refill(now)
		const missing = Math.max(0, tokens - this.tokens)
		const tokenAt = now + Math.ceil((missing * 1000) / this.loadsPerSecond)
		return Math.max(tokenAt, this.nextStartAt)
	}

	private isBelowInFlightLimit(): boolean {
		return this.inFlight < Math.max(1, Math.floor(this.share.inFlight))
	}

	private refill(now: number): void {
		const since = this.refilledAt ?? now
		const gained = (Math.max(0, now - since) * this.loadsPerSecond) / 1000
		this.tokens = Math.min(this.burst, this.tokens + gained)
		this.refilledAt = Math.max(now, since)
	}
}
