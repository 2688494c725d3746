/**
 * The requests that wait for a grant, in the order in which an engine serves
 * them: those that can still be on time before those that are late already, then
 * the earliest objective (a backlog: without this every answer is late).
 */
import type {GrantRequest} from "./types.js"

/** Lead of each step of priority in the order of objectives. */
const priorityLeadMs = 300
/** Puts a late request behind every one that can be on time. */
const lateRank = 1e9

export class WaitingRequests {
	private readonly requests = new Map<string, GrantRequest>()

	/** `getReadMs` tells how long the engine reads a request's prompt. */
	constructor(private readonly getReadMs: (request: GrantRequest) => number) {}

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

	deleteOf(owner: string): void {
		for (const [key, request] of this.requests) {
			if (request.owner === owner) this.requests.delete(key)
		}
	}

	list(): GrantRequest[] {
		return [...this.requests.values()]
	}

	/** All requests, the next one first. */
	rank(now: number): GrantRequest[] {
		const ranked = this.list().map(request => ({
			request,
			rank: this.getRank(request, now)
		}))
		ranked.sort((a, b) => a.rank - b.rank)
		return ranked.map(({request}) => request)
	}

	/** The requests that would be served before this one. */
	listAhead(request: GrantRequest, now: number): GrantRequest[] {
		const rank = this.getRank(request, now)
		return this.list().filter(each => this.getRank(each, now) <= rank)
	}

	private getRank(request: GrantRequest, now: number): number {
		const isLate = now + this.getReadMs(request) > request.objectiveAt
		const rank = request.objectiveAt + request.priority * priorityLeadMs
		return isLate ? rank + lateRank : rank
	}
}
