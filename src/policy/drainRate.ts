/**
 * Measures the rate at which a queue drains, and derives from it the time after
 * which a refused caller should retry.
 */
import {clampRetryAfterMs} from "./admission.js"

export interface DrainRateOptions {
	/** Time constant of the exponential average. */
	windowMs?: number
	/** Rate assumed before any request has ended. */
	initialPerSecond?: number
}

const defaultWindowMs = 10_000
const defaultInitialPerSecond = 1

export class DrainRate {
	private readonly windowMs: number
	private readonly initialPerSecond: number
	/** Count of ended requests that decays with `windowMs`. */
	private decayedEnds = 0
	private totalEnds = 0
	private updatedAt: number | undefined
	private startedAt: number | undefined

	constructor(options: DrainRateOptions = {}) {
		this.windowMs = options.windowMs ?? defaultWindowMs
		this.initialPerSecond = options.initialPerSecond ?? defaultInitialPerSecond
	}

	/** Records that a request ended. */
	add(now: number): void {
		this.decay(now)
		this.decayedEnds += 1
		this.totalEnds += 1
	}

	getPerSecond(now: number): number {
		if (this.totalEnds === 0) return this.initialPerSecond
		this.decay(now)
		const sinceMs = Math.max(0, now - (this.startedAt ?? now))
		const observedMs = this.windowMs * (1 - Math.exp(-sinceMs / this.windowMs))
		const isWarmingUp = observedMs < this.windowMs / 10
		return isWarmingUp
			? this.initialPerSecond
			: (this.decayedEnds * 1000) / observedMs
	}

	/** Expected wait behind `ahead` requests, within the limits of a retry time. */
	getRetryAfterMs(ahead: number, now: number): number {
		const perSecond = Math.max(1e-3, this.getPerSecond(now))
		return clampRetryAfterMs((ahead * 1000) / perSecond)
	}

	private decay(now: number): void {
		this.startedAt ??= now
		const elapsedMs = Math.max(0, now - (this.updatedAt ?? now))
		this.decayedEnds *= Math.exp(-elapsedMs / this.windowMs)
		this.updatedAt = Math.max(now, this.updatedAt ?? now)
	}
}
