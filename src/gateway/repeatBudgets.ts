/**
 * The share of the fleet's repeats that one gateway may spend, for each pool. A
 * send beyond a request's first is a repeat, also when the endpoint rejects it.
 */
import {RetryBudget} from "../policy/retryBudget.js"

export interface RepeatBudgetsOptions {
	/** Repeats permitted for each request. */
	ratio: number
	/** Repeats permitted besides in each window, over all gateways. */
	extra: number
	windowMs: number
	now: () => number
}

/** Left for what gateways can't see of each other within a window. */
const safeShare = 0.6
/** Gateways assumed until agents tell how many there are. */
const assumedGateways = 8

export class RepeatBudgets {
	private readonly budgets = new Map<string, RetryBudget>()
	private gateways = assumedGateways

	constructor(private readonly options: RepeatBudgetsOptions) {}

	setGateways(count: number): void {
		if (count === this.gateways) return
		this.gateways = Math.max(1, count)
		const {perSecond, burst} = this.getAllowance()
		for (const budget of this.budgets.values()) budget.adjust(perSecond, burst)
	}

	addRequest(pool: string): void {
		this.get(pool).addRequest(this.options.now())
	}

	tryRepeat(pool: string): boolean {
		return this.get(pool).tryRetry(this.options.now())
	}

	private get(pool: string): RetryBudget {
		let budget = this.budgets.get(pool)
		if (budget === undefined) {
			const {perSecond, burst} = this.getAllowance()
			budget = new RetryBudget({
				ratio: this.options.ratio * safeShare,
				minPerSecond: perSecond,
				burst
			})
			this.budgets.set(pool, budget)
		}
		return budget
	}

	/** Half of a window's extra repeats at once, the other half as it passes. */
	private getAllowance(): {perSecond: number; burst: number} {
		const {extra, windowMs} = this.options
		const burst = (extra * safeShare) / this.gateways / 2
		return {perSecond: (burst * 1000) / windowMs, burst}
	}
}
