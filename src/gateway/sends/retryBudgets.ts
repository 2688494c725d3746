/**
 * One gateway's share of the fleet's retry budget, for each pool. Each send of a
 * request after its first counts as a retry, also one that the endpoint rejects
 * without running it.
 */
import {RetryBudget} from "../../policy/retryBudget.js"

export interface RetryBudgetsOptions {
	/** Retries permitted for each request. */
	ratio: number
	/** Additional retries permitted in each window, over all gateways. */
	extra: number
	windowMs: number
	/** Monotonic milliseconds. */
	now: () => number
}

/**
 * Share of the budget that gateways may use. The rest is a margin, since gateways
 * don't see each other's retries within a window.
 */
const usableShare = 0.6
/** Number of gateways assumed until the first call of `setGateways`. */
const assumedGateways = 8

export class RetryBudgets {
	private readonly budgets = new Map<string, RetryBudget>()
	private gateways = assumedGateways

	constructor(private readonly options: RetryBudgetsOptions) {}

	/** Divides the extra retries between `count` gateways. */
	setGateways(count: number): void {
		if (count === this.gateways) return
		this.gateways = Math.max(1, count)
		const {perSecond, burst} = this.getExtraShare()
		for (const budget of this.budgets.values()) budget.adjust(perSecond, burst)
	}

	addRequest(pool: string): void {
		this.getBudget(pool).addRequest(this.options.now())
	}

	/** Takes one retry from the pool's budget; returns false if none is left. */
	tryRetry(pool: string): boolean {
		return this.getBudget(pool).tryRetry(this.options.now())
	}

	private getBudget(pool: string): RetryBudget {
		let budget = this.budgets.get(pool)
		if (budget === undefined) {
			const {perSecond, burst} = this.getExtraShare()
			budget = new RetryBudget({
				ratio: this.options.ratio * usableShare,
				minPerSecond: perSecond,
				burst
			})
			this.budgets.set(pool, budget)
		}
		return budget
	}

	/** Half of a window's extra retries as a burst, half at a constant rate. */
	private getExtraShare(): {perSecond: number; burst: number} {
		const {extra, windowMs} = this.options
		const burst = (extra * usableShare) / this.gateways / 2
		return {perSecond: (burst * 1000) / windowMs, burst}
	}
}
