/**
 * Chooses the endpoint of a plain service: least expected wait from the
 * gateway's own requests, what the endpoint last said of its load, its observed
 * time and its failures. Requests that other gateways send in between are
 * unknown, so near-ties are broken at random and gateways do not herd.
 */
import {EndpointTrust} from "./endpointTrust.js"

/** Time of a request assumed before the first answer. */
const initialServiceMs = 40
const sampleWeight = 0.2
/** Time for which a load that an endpoint stated says something. */
const loadFreshMs = 400
/** Waits that differ by less are as good as equal. */
const tieMs = 8

export interface ServiceEndpoint {
	id: string
	seats: number
	isNear: boolean
}

interface Known {
	outstanding: number
	serviceMs: number
	statedLoad: number
	statedAt: number
	trust: EndpointTrust
}

export class ServiceChoice {
	private readonly known = new Map<string, Known>()

	/** The endpoint to try next, or undefined when all were tried. */
	choose(
		endpoints: readonly ServiceEndpoint[],
		tried: ReadonlySet<string>,
		now: number,
		random: () => number
	): string | undefined {
		let best: string | undefined
		let least = Number.POSITIVE_INFINITY
		for (const endpoint of endpoints) {
			if (tried.has(endpoint.id)) continue
			const cost = this.getCost(endpoint, now) + random() * tieMs
			if (cost >= least) continue
			least = cost
			best = endpoint.id
		}
		return best
	}

	begin(id: string): void {
		this.get(id).outstanding += 1
	}

	/** Takes in the end of a request that the endpoint answered. */
	succeed(id: string, elapsedMs: number, now: number): void {
		const known = this.get(id)
		known.outstanding -= 1
		known.serviceMs += sampleWeight * (elapsedMs - known.serviceMs)
		known.trust.addSuccess(now)
	}

	fail(id: string, now: number, weight = 1): void {
		const known = this.get(id)
		known.outstanding -= 1
		known.trust.addFailure(now, weight)
	}

	/** The request ended without saying anything of the endpoint. */
	release(id: string): void {
		this.get(id).outstanding -= 1
	}

	addLoad(id: string, load: number, now: number): void {
		const known = this.get(id)
		known.statedLoad = load
		known.statedAt = now
	}

	/** Drops what is known of endpoints that are gone. */
	retain(ids: ReadonlySet<string>): void {
		for (const [id, known] of this.known) {
			if (!ids.has(id) && known.outstanding <= 0) this.known.delete(id)
		}
	}

	private getCost(endpoint: ServiceEndpoint, now: number): number {
		const known = this.get(endpoint.id)
		const isFresh = now - known.statedAt < loadFreshMs
		const stated = isFresh ? known.statedLoad : 0
		const ahead = Math.max(known.outstanding, stated)
		const rounds = (ahead + 1) / Math.max(1, endpoint.seats)
		const waitMs = known.serviceMs * Math.max(1, rounds + 0.5 * rounds)
		const farMs = endpoint.isNear ? 0 : 3
		return waitMs + known.trust.getPenaltyMs(now) + farMs + ahead * 2
	}

	private get(id: string): Known {
		let known = this.known.get(id)
		if (known === undefined) {
			known = {
				outstanding: 0,
				serviceMs: initialServiceMs,
				statedLoad: 0,
				statedAt: Number.NEGATIVE_INFINITY,
				trust: new EndpointTrust()
			}
			this.known.set(id, known)
		}
		return known
	}
}
