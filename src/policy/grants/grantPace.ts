/**
 * Keeps the grants of an engine to the limit that the engine states, in its reports
 * or in its answers to requests. Without a limit it changes nothing.
 */
import {RequestPacer, ReturnSchedule} from "../limits/index.js"

/** Where the engine stated its limit. */
export enum LimitSource {
	Report = "report",
	Answer = "answer"
}

export class GrantPace {
	private readonly limits = new Map<LimitSource, number>()
	private pacer: RequestPacer | undefined
	private returns = new ReturnSchedule()

	/** Sets what the engine stated there last; undefined if it stated no limit. */
	setLimit(
		source: LimitSource,
		perSecond: number | undefined,
		now: number
	): void {
		if (perSecond === undefined) this.limits.delete(source)
		else this.limits.set(source, perSecond)
		if (this.limits.size === 0) {
			this.pacer = undefined
			return
		}
		const lowest = Math.min(...this.limits.values())
		this.pacer ??= new RequestPacer(lowest, now)
		this.pacer.setRate(lowest)
	}

	reset(): void {
		this.limits.clear()
		this.pacer = undefined
		this.returns = new ReturnSchedule()
	}

	/** Takes the right to give one grant; false if the limit permits none now. */
	tryTake(now: number): boolean {
		return this.pacer === undefined || this.pacer.take(now) !== undefined
	}

	/** Time until a grant is permitted that is behind `queued` others. */
	getWaitMs(now: number, queued: number): number {
		return this.pacer?.getWaitMs(now, queued) ?? 0
	}

	/** After what time a refused caller may return; undefined without a limit. */
	assignReturn(
		deadline: number,
		now: number,
		queued: number
	): number | undefined {
		const {pacer, returns} = this
		if (pacer === undefined) return undefined
		const waitMs = pacer.getWaitMs(now, queued)
		const {intervalMs} = pacer
		return returns.assign({waitMs, intervalMs, deadline}, now)
	}
}
