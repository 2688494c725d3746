/**
 * Keeps loads within this process's share of the weight store: a token bucket
 * for the rate, and a bound on the loads in flight. A share of less than one
 * load in flight is met by spacing the starts.
 */
import type {LoadShare} from "./types.js"

export interface LoadBudgetOptions {
	share: LoadShare
	/** Expected time of one load. */
	loadMs: number
	/** Tokens that an idle bucket keeps. */
	burst?: number
}

const defaultBurst = 2
const minLoadsPerSecond = 0.01
const minInFlight = 0.01
/** Lets a wake-up at a rounded time find its whole token. */
const tokenRounding = 1e-6

export class LoadBudget {
	private share: LoadShare
	private readonly loadMs: number
	private readonly burst: number
	private tokens: number
	private filledAt: number | undefined
	private nextStartAt = 0
	private inFlight = 0

	constructor(options: LoadBudgetOptions) {
		this.share = options.share
		this.loadMs = options.loadMs
		this.burst = options.burst ?? defaultBurst
		this.tokens = this.burst
	}

	get loadsPerSecond(): number {
		return Math.max(minLoadsPerSecond, this.share.loadsPerSecond)
	}

	setShare(share: LoadShare, now: number): void {
		this.fill(now)
		this.share = share
	}

	canStart(now: number): boolean {
		if (!this.hasFreeFlight()) return false
		this.fill(now)
		return now >= this.nextStartAt && this.tokens >= 1 - tokenRounding
	}

	/** True when the share has stood unused, so that optional loads may use it. */
	isIdle(now: number): boolean {
		return (
			this.inFlight === 0 &&
			this.canStart(now) &&
			this.tokens >= this.burst - tokenRounding
		)
	}

	/** Time at which a load may start; undefined while flights are full. */
	nextAt(now: number): number | undefined {
		return this.hasFreeFlight() ? this.getTimeOf(1, now) : undefined
	}

	/** Time at which the share will have stood unused. */
	nextIdleAt(now: number): number | undefined {
		return this.inFlight === 0 ? this.getTimeOf(this.burst, now) : undefined
	}

	start(now: number): void {
		this.fill(now)
		this.tokens -= 1
		this.inFlight += 1
		const share = Math.max(minInFlight, this.share.inFlight)
		if (share < 1) this.nextStartAt = now + Math.ceil(this.loadMs / share)
	}

	end(): void {
		this.inFlight = Math.max(0, this.inFlight - 1)
	}

	private getTimeOf(tokens: number, now: number): number {
		this.fill(now)
		const missing = Math.max(0, tokens - this.tokens)
		const tokenAt = now + Math.ceil((missing * 1000) / this.loadsPerSecond)
		return Math.max(tokenAt, this.nextStartAt)
	}

	private hasFreeFlight(): boolean {
		return this.inFlight < Math.max(1, Math.floor(this.share.inFlight))
	}

	private fill(now: number): void {
		const since = this.filledAt ?? now
		const gained = (Math.max(0, now - since) * this.loadsPerSecond) / 1000
		this.tokens = Math.min(this.burst, this.tokens + gained)
		this.filledAt = Math.max(now, since)
	}
}
