/** Bounds the log lines about faults; a fault may recur at each request. */
import {messageOf} from "../utils/common.js"

/** Begins what standard error says of a fault. */
export const faultEvent = "process.fault"
const burst = 10
const linesPerSecond = 1
/** Frames of a stack that are logged. */
const maxStackLines = 12

export interface FaultFields extends Record<string, unknown> {
	where: string
	error: string
	/** Faults of this process so far. */
	count: number
	stack: string | undefined
}

export class FaultRate {
	private tokens = burst
	private refilledAt: number
	private count = 0

	constructor(private readonly now: () => number) {
		this.refilledAt = now()
	}

	/** Counts a fault; returns what to log of it, or undefined above the rate. */
	admit(where: string, err: unknown): FaultFields | undefined {
		this.count += 1
		const now = this.now()
		const refill = ((now - this.refilledAt) * linesPerSecond) / 1000
		this.tokens = Math.min(burst, this.tokens + refill)
		this.refilledAt = now
		if (this.tokens < 1) return undefined
		this.tokens -= 1
		const stack = err instanceof Error ? err.stack : undefined
		return {
			where,
			error: messageOf(err),
			count: this.count,
			stack: stack?.split("\n").slice(0, maxStackLines).join("\n")
		}
	}
}
