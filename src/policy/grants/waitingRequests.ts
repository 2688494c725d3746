/**
 * The requests that wait for a grant, in the order of service: requests that can
 * still meet their objective go before those that can't; within each group the
 * earliest objective goes first, after adding `priorityStepMs` per priority step.
 * Without the first rule, late requests in a backlog delay the others until every
 * answer is late.
 */
import type {GrantRequest} from "./types.js"

/** Each step below the most urgent priority ranks a request as if its objective
 * were this much later. */
const priorityStepMs = 300
/** Ranks a late request behind every request that can still be on time. */
const latePenaltyMs = 1e9

export class WaitingRequests {
	private readonly requests = new Map<string, GrantRequest>()

	/** `getPrefillMs` returns the expected prefill time of a request's prompt. */
	constructor(
		private readonly getPrefillMs: (request: GrantRequest) => number
	) {}

	get size(): number {
		return this.requests.size
	}

	has(key: string): boolean {
		return this.requests.has(key)
	}

	add(request: GrantRequest): void {
		this.requests.set(request.key, request)
	}

	delete(key: string): void {
		this.requests.delete(key)
	}

	deleteByOwner(owner: string): void {
		for (const [key, request] of this.requests) {
			if (request.owner === owner) this.requests.delete(key)
		}
	}

	list(): GrantRequest[] {
		return [...this.requests.values()]
	}

	/** All requests in the order of service. */
	rank(now: number): GrantRequest[] {
		const ranked = this.list().map(request => ({
			request,
			rank: this.getRankMs(request, now)
		}))
		ranked.sort((a, b) => a.rank - b.rank)
		return ranked.map(({request}) => request)
	}

	/** The waiting requests that would be served before this one. */
	listAhead(request: GrantRequest, now: number): GrantRequest[] {
		const rank = this.getRankMs(request, now)
		return this.list().filter(other => this.getRankMs(other, now) <= rank)
	}

	private getRankMs(request: GrantRequest, now: number): number {
		const isLate = now + this.getPrefillMs(request) > request.objectiveAt
		const rank = request.objectiveAt + request.priority * priorityStepMs
		return isLate ? rank + latePenaltyMs : rank
	}
}
