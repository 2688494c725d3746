/**
 * Gives permits for requests to the endpoints of one pool that state limits. The one
 * process that holds the pool's lease runs it, so that the permits of all hosts
 * together keep to the limits, however many hosts there are.
 */
import {RequestPacer} from "./requestPacer.js"
import {ReturnSchedule} from "./returnSchedule.js"

/** An endpoint that may serve the request. */
export interface PermitCandidate {
	id: string
	bornAt: number
	/** Undefined if it states no limit any more. */
	perSecond: number | undefined
}

export interface PermitQuery {
	candidates: readonly PermitCandidate[]
	/** Longest time for which the request may wait for its turn. */
	maxWaitMs: number
	deadline: number
}

export interface Permit {
	endpointId: string
	/** Time after which the request may be sent. */
	waitMs: number
}

/** Endpoints whose pace is remembered; those used longest ago are forgotten first. */
const maxPaced = 10_000
const msPerSecond = 1000

export class PermitIssuer {
	private readonly pacers = new Map<string, RequestPacer>()
	private readonly returns = new ReturnSchedule()

	/** Returns a permit, or after what time the caller may return. */
	issue(query: PermitQuery, now: number): Permit | {retryAfterMs: number} {
		const {candidates, maxWaitMs, deadline} = query
		let best: {id: string; pacer: RequestPacer; waitMs: number} | undefined
		let perSecond = 0
		for (const candidate of candidates) {
			const {id} = candidate
			if (candidate.perSecond === undefined) return {endpointId: id, waitMs: 0}
			perSecond += candidate.perSecond
			const pacer = this.getPacer(candidate, candidate.perSecond, now)
			const waitMs = pacer.getWaitMs(now)
			if (best === undefined || waitMs < best.waitMs) best = {id, pacer, waitMs}
		}
		if (best?.pacer.take(now, maxWaitMs) !== undefined)
			return {endpointId: best.id, waitMs: best.waitMs}
		const intervalMs = msPerSecond / perSecond
		const waitMs = best?.waitMs ?? 0
		const refused = {waitMs, intervalMs, deadline}
		return {retryAfterMs: this.returns.assign(refused, now)}
	}

	private getPacer(
		{id, bornAt}: PermitCandidate,
		perSecond: number,
		now: number
	): RequestPacer {
		const key = `${id}@${bornAt}`
		const pacer = this.pacers.get(key) ?? new RequestPacer(perSecond, now)
		pacer.setRate(perSecond)
		this.pacers.delete(key)
		this.pacers.set(key, pacer)
		const [oldest] = this.pacers.keys()
		if (this.pacers.size > maxPaced && oldest !== undefined)
			this.pacers.delete(oldest)
		return pacer
	}
}
