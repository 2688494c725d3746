/**
 * The order where no request carries a Member: requests that can still meet their
 * objective go before those that can't; within each group the earliest objective
 * goes first, after adding `priorityStepMs` per priority step. Without the first
 * rule, late requests in a backlog delay the others until every answer is late.
 *
 * A request is refused on arrival if its expected first event is later than its
 * `startBy`.
 */
import type {FirstEventEstimate} from "./firstEventEstimate.js"
import type {AdapterDemand} from "./orderPlan.js"
import {type QueueContext, QueueOrder, type Refusal} from "./queueOrder.js"
import {GrantRefusalReason, type GrantRequest} from "./types.js"

/** Each step below the most urgent priority ranks a request as if its objective
 * were this much later. */
const priorityStepMs = 300
/** Ranks a late request behind every request that can still be on time. */
const latePenaltyMs = 1e9
const minRetryAfterMs = 150

export class ObjectiveOrder extends QueueOrder {
	readonly holdsRoom = false

	constructor(
		context: QueueContext,
		private readonly estimate: FirstEventEstimate
	) {
		super(context)
	}

	rank(now: number): GrantRequest[] {
		const ranked = this.context.waiting.list().map(request => ({
			request,
			rank: this.getRankMs(request, now)
		}))
		ranked.sort((a, b) => a.rank - b.rank)
		return ranked.map(({request}) => request)
	}

	admit(request: GrantRequest, now: number): Refusal[] {
		const {pace, waiting} = this.context
		const ahead = this.listAhead(request, now)
		const expectedMs = this.estimate.getFirstEventMs(request, ahead, now)
		if (now + expectedMs > request.startBy) {
			return [{request, reason: GrantRefusalReason.Overloaded, expectedMs}]
		}
		const limitedMs = expectedMs + pace.getWaitMs(now, waiting.size)
		if (now + limitedMs <= request.startBy) return []
		const reason = GrantRefusalReason.Limit
		return [{request, reason, expectedMs: limitedMs}]
	}

	listHopeless(): Refusal[] {
		return []
	}

	leavesReserve(): boolean {
		return true
	}

	listDemands(now: number): AdapterDemand[] {
		return this.rank(now)
	}

	/** The excess of the expected time over the time left, with jitter against retry
	 * bursts. */
	getRetryAfterMs(
		request: GrantRequest,
		expectedMs: number,
		now: number
	): number {
		const affordableMs = request.startBy - now
		const excessMs = Math.max(minRetryAfterMs, expectedMs - affordableMs)
		return excessMs * (1 + this.context.random())
	}

	describe(): undefined {
		return undefined
	}

	addGrant(): void {
		return
	}

	/** The waiting requests that would be served before this one. */
	private listAhead(request: GrantRequest, now: number): GrantRequest[] {
		const rank = this.getRankMs(request, now)
		return this.context.waiting
			.list()
			.filter(other => this.getRankMs(other, now) <= rank)
	}

	private getRankMs(request: GrantRequest, now: number): number {
		const {prefillRate, countPrefillTokens} = this.context
		const prefillMs = prefillRate.getPrefillMs(countPrefillTokens(request))
		const isLate = now + prefillMs > request.objectiveAt
		const rank = request.objectiveAt + request.priority * priorityStepMs
		return isLate ? rank + latePenaltyMs : rank
	}
}
