/** Grants that have not ended, with the prefill work and KV cache they take up. */
import type {EngineReport, GrantRequest} from "./types.js"

export interface ActiveGrant {
	request: GrantRequest
	grantedAt: number
	/** Prompt tokens that were not in the prefix cache at the time of the grant. */
	prefillTokens: number
	/** Whether the prefill no longer counts as pending, see `endPrefill`. */
	isPrefillEnded: boolean
	/** When the gateway connection was lost; the engine may still run the request. */
	orphanedAt?: number
}

/** A gateway sends a granted request at once and stops trying to connect after
 * 400 ms (`defaultConnectMs` in gateway/endpointCall.ts). A report that arrives
 * more than `orphanGraceMs` after the gateway was lost therefore lists every
 * request that did reach the engine; an orphan missing from it has ended. */
const orphanGraceMs = 600

export class GrantTable {
	private readonly grants = new Map<string, ActiveGrant>()
	private prefillTokenSum = 0
	private reservedTokens = 0

	get size(): number {
		return this.grants.size
	}

	/** Uncached prompt tokens of the grants whose prefill counts as pending. */
	get pendingPrefillTokens(): number {
		return this.prefillTokenSum
	}

	/** KV cache, in tokens, that the granted requests may occupy. */
	get memoryTokens(): number {
		return this.reservedTokens
	}

	has(key: string): boolean {
		return this.grants.has(key)
	}

	get(key: string): ActiveGrant | undefined {
		return this.grants.get(key)
	}

	add(request: GrantRequest, prefillTokens: number, now: number): void {
		this.grants.set(request.key, {
			request,
			grantedAt: now,
			prefillTokens,
			isPrefillEnded: false
		})
		this.prefillTokenSum += prefillTokens
		this.reservedTokens += countReservedTokens(request)
	}

	/**
	 * Stops counting the prefill as pending: at the first event, or when the gateway
	 * is lost. Returns undefined if there is no grant or its prefill had ended.
	 */
	endPrefill(key: string): ActiveGrant | undefined {
		const grant = this.grants.get(key)
		if (grant === undefined || grant.isPrefillEnded) return undefined
		grant.isPrefillEnded = true
		this.prefillTokenSum -= grant.prefillTokens
		return grant
	}

	remove(key: string): ActiveGrant | undefined {
		const grant = this.grants.get(key)
		if (grant === undefined) return undefined
		this.grants.delete(key)
		if (!grant.isPrefillEnded) this.prefillTokenSum -= grant.prefillTokens
		this.reservedTokens -= countReservedTokens(grant.request)
		return grant
	}

	listKeysOfOwner(owner: string): string[] {
		return [...this.grants.values()]
			.filter(({request}) => request.owner === owner)
			.map(({request}) => request.key)
	}

	/**
	 * Marks the grant of a lost gateway connection. It keeps its reservations until
	 * `listEndedOrphans` finds that the engine no longer runs the request.
	 */
	markOrphaned(key: string, now: number): void {
		const grant = this.grants.get(key)
		if (grant !== undefined) grant.orphanedAt = now
	}

	/**
	 * Keys of orphans that have ended: those missing from a report that lists ids
	 * and arrives more than the grace period after the gateway was lost, and those
	 * whose deadline passed more than the grace period ago.
	 */
	listEndedOrphans({runIds}: EngineReport, now: number): string[] {
		const running = new Set(runIds)
		const ended: string[] = []
		for (const {request, orphanedAt} of this.grants.values()) {
			if (orphanedAt === undefined) continue
			const isMissingFromReport =
				runIds !== undefined &&
				now > orphanedAt + orphanGraceMs &&
				!running.has(request.requestId)
			if (isMissingFromReport || now > request.deadline + orphanGraceMs) {
				ended.push(request.key)
			}
		}
		return ended
	}

	get hasOrphans(): boolean {
		for (const {orphanedAt} of this.grants.values()) {
			if (orphanedAt !== undefined) return true
		}
		return false
	}

	clear(): void {
		this.grants.clear()
		this.prefillTokenSum = 0
		this.reservedTokens = 0
	}

	/**
	 * Reported runs that match no grant in this table: they were granted by an
	 * earlier agent process, or sent by a gateway without a grant. If the report
	 * lists no ids, only the runs in excess of the grants count.
	 */
	countUntrackedRuns({running, runIds}: EngineReport): number {
		if (runIds === undefined) return Math.max(0, running - this.grants.size)
		const requestIds = new Set<string>()
		for (const {request} of this.grants.values())
			requestIds.add(request.requestId)
		return runIds.filter(id => !requestIds.has(id)).length
	}
}

/** KV cache, in tokens, that a request may occupy at its end. */
export function countReservedTokens(request: GrantRequest): number {
	return request.promptTokens + request.outputTokens
}
