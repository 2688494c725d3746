/**
 * The rate at which a queue drains, and from it the time after which a refused
 * caller should try again.
 */
import {clampRetryAfterMs} from "./admission.js"

export interface DrainRateOptions {
	/** Time over which ends are averaged. */
	windowMs?: number
	/** Rate assumed before any request has ended. */
	initialPerSecond?: number
}

const defaultWindowMs = 10_000
const defaultInitialPerSecond = 1

export class DrainRate {
	private readonly windowMs: number
	private readonly initialPerSecond: number
	private ends = 0
	private total = 0
	private updatedAt: number | undefined
	private startedAt: number | undefined

	constructor(options: DrainRateOptions = {}) {
		this.windowMs = options.windowMs ?? defaultWindowMs
		this.initialPerSecond = options.initialPerSecond ?? defaultInitialPerSecond
	}

	/** Counts a request that ended. */
	add(now: number): void {
		this.decay(now)
		this.ends += 1
		this.total += 1
	}

	getPerSecond(now: number): number {
		if (this.total === 0) return this.initialPerSecond
		this.decay(now)
		const sinceMs = Math.max(0, now - (this.startedAt ?? now))
		const seenMs = this.windowMs * (1 - Math.exp(-sinceMs / this.windowMs))
		const isShort = seenMs < this.windowMs / 10
		return isShort ? this.initialPerSecond : (this.ends * 1000) / seenMs
	}

	/** Expected wait behind `ahead` requests, as an answer to a refused caller. */
	getRetryAfterMs(ahead: number, now: number): number {
		const perSecond = Math.max(1e-3, this.getPerSecond(now))
		return clampRetryAfterMs((ahead * 1000) / perSecond)
	}

	private decay(now: number): void {
		this.startedAt ??= now
		const elapsedMs = Math.max(0, now - (this.updatedAt ?? now))
		this.ends *= Math.exp(-elapsedMs / this.windowMs)
		this.updatedAt = Math.max(now, this.updatedAt ?? now)
	}
}
