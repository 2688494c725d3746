/**
 * Chooses the endpoint of a plain service with the least expected wait. The
 * estimate uses this gateway's requests in flight, the load that the endpoint
 * reported last, its observed service time and its failures. Requests sent by
 * other gateways since that report are unknown, so near-ties are broken at
 * random; otherwise all gateways would pick the same endpoint.
 *
 * An endpoint may state its pace, by which its service time is scaled while that is
 * fresh, and learned times are those at the usual pace.
 */
import {FailurePenalty} from "./failurePenalty.js"

/** Service time assumed before the first answer. */
const initialServiceMs = 40
const serviceTimeSampleWeight = 0.2
/** Age after which a reported load is ignored. */
const reportedLoadTtlMs = 400
/** A stated pace loses its weight over this time; it changes many times a second. */
const paceTtlMs = 200
const paceSampleWeight = 0.05
/** Range of the random cost: it may reorder costs that differ by less. */
const tieBreakMs = 8

export interface ServiceEndpoint {
	id: string
	seats: number
	/** Whether the endpoint is in the gateway's own failure domain. */
	isNear: boolean
}

interface ServiceRecord {
	/** Requests of this gateway that are in flight at the endpoint. */
	inFlight: number
	/** Moving average of the time from sending a request to its answer. */
	serviceMs: number
	reportedLoad: number
	reportedAt: number
	/** How long work takes there, 1 as usual, as it stated last. */
	pace: number
	paceAt: number
	/** Moving average of the stated paces. */
	lastingPace: number
	failurePenalty: FailurePenalty
}

export class ServiceChoice {
	private readonly records = new Map<string, ServiceRecord>()

	/** The endpoint to try next, or undefined if all were tried. */
	choose(
		endpoints: readonly ServiceEndpoint[],
		tried: ReadonlySet<string>,
		now: number,
		random: () => number
	): string | undefined {
		let best: string | undefined
		let lowestCost = Number.POSITIVE_INFINITY
		for (const endpoint of endpoints) {
			if (tried.has(endpoint.id)) continue
			const cost = this.getCost(endpoint, now) + random() * tieBreakMs
			if (cost >= lowestCost) continue
			lowestCost = cost
			best = endpoint.id
		}
		return best
	}

	begin(id: string): void {
		this.getRecord(id).inFlight += 1
	}

	/** Records that the endpoint answered a request. */
	succeed(id: string, elapsedMs: number, now: number): void {
		const record = this.getRecord(id)
		record.inFlight -= 1
		const usualMs = elapsedMs / getPace(record, now)
		record.serviceMs += serviceTimeSampleWeight * (usualMs - record.serviceMs)
		record.failurePenalty.addSuccess(now)
	}

	/** Records that a request failed at the endpoint. */
	fail(id: string, now: number, weight = 1): void {
		const record = this.getRecord(id)
		record.inFlight -= 1
		record.failurePenalty.addFailure(now, weight)
	}

	/** Records that an endpoint has not answered a request that is still open. */
	addSilence(id: string, now: number): void {
		this.getRecord(id).failurePenalty.addFailure(now, 1)
	}

	/** Records the end of a request that was cancelled, which counts neither as a
	 * success nor as a failure. */
	release(id: string): void {
		this.getRecord(id).inFlight -= 1
	}

	/** Stores the running and waiting requests that the endpoint reported. */
	setReportedLoad(id: string, load: number, now: number): void {
		const record = this.getRecord(id)
		record.reportedLoad = load
		record.reportedAt = now
	}

	/** Stores the pace that the endpoint stated in an answer, before its time counts. */
	setPace(id: string, pace: number, now: number): void {
		const record = this.getRecord(id)
		if (!(pace > 0)) return
		record.pace = pace
		record.paceAt = now
		record.lastingPace += paceSampleWeight * (pace - record.lastingPace)
	}

	/** Drops the records of endpoints not in `ids` that have no request in flight. */
	retain(ids: ReadonlySet<string>): void {
		for (const [id, record] of this.records) {
			if (!ids.has(id) && record.inFlight <= 0) this.records.delete(id)
		}
	}

	private getCost(endpoint: ServiceEndpoint, now: number): number {
		const record = this.getRecord(endpoint.id)
		const isFresh = now - record.reportedAt < reportedLoadTtlMs
		const reported = isFresh ? record.reportedLoad : 0
		const ahead = Math.max(record.inFlight, reported)
		const rounds = (ahead + 1) / Math.max(1, endpoint.seats)
		const serviceMs = record.serviceMs * getPace(record, now)
		const waitMs = serviceMs * Math.max(1, rounds + 0.5 * rounds)
		const remoteDomainMs = endpoint.isNear ? 0 : 3
		// The last term prefers fewer requests ahead where the waits are equal.
		return (
			waitMs +
			record.failurePenalty.getPenaltyMs(now) +
			remoteDomainMs +
			ahead * 2
		)
	}

	private getRecord(id: string): ServiceRecord {
		let record = this.records.get(id)
		if (record === undefined) {
			record = {
				inFlight: 0,
				serviceMs: initialServiceMs,
				reportedLoad: 0,
				reportedAt: Number.NEGATIVE_INFINITY,
				pace: 1,
				paceAt: Number.NEGATIVE_INFINITY,
				lastingPace: 1,
				failurePenalty: new FailurePenalty()
			}
			this.records.set(id, record)
		}
		return record
	}
}

/** Expected pace: the one stated last, and the usual one of the endpoint as that ages. */
function getPace(
	{pace, paceAt, lastingPace}: ServiceRecord,
	now: number
): number {
	const weight = Math.max(0, 1 - (now - paceAt) / paceTtlMs)
	return weight === 0
		? lastingPace
		: lastingPace + weight * (pace - lastingPace)
}
