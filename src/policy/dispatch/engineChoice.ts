/**
 * Chooses the engine that a generation asks first: least expected time to the
 * first event, from what the engine's agent last said, the gateway's own asks
 * since then, where the adapter is, and failures.
 *
 * - Adapter affinity: an engine that holds the adapter, or kept it at hand, is
 *   preferred by the time a load costs. Where none does, weighted rendezvous
 *   gives all gateways the same home (rare adapters asked for at once).
 * - Spill: a wait longer than the cost of a load elsewhere moves the request
 *   and thereby gives a hot adapter a second copy (the traffic jumps).
 */
import {
	getRendezvousScore,
	hashString,
	type RendezvousItem
} from "../rendezvous.js"
import {EndpointTrust} from "./endpointTrust.js"

/** An adapter at hand beside the engine takes this long to place. */
const recentLoadMs = 40
/** From the weight store, which all engines share: slow, and dear to others. */
const storeLoadMs = 700
/** Added when the engine has no place that can be had at once. */
const noPlaceMs = 350
/** Steers each adapter to the same engine while all are idle. */
const homeStepMs = 25
const maxHomeSteps = 6
/** An agent that does not answer leaves only what the engine held last. */
const unlinkedMs = 300
const unlinkedOutstandingMs = 60
/** Beyond one's own failure domain a call takes longer, and costs. */
const farMs = 5

export interface EngineCandidate {
	id: string
	isNear: boolean
}

export interface EngineView {
	isUsable: boolean
	waitMs: number
	tokensPerMs: number
	openPlaces: number
}

export interface EngineQuery {
	/** `model/adapter`. */
	placeKey: string
	promptTokens: number
	/** Whether the request names an adapter at all. */
	hasAdapter: boolean
}

interface Known {
	view: EngineView | undefined
	residents: ReadonlySet<string>
	recents: ReadonlySet<string>
	/** Tokens asked for since the view. */
	askedTokens: number
	/** Own requests that run at the engine. */
	outstanding: number
	trust: EndpointTrust
	hash: number
}

export interface EngineRating {
	id: string
	expectedMs: number
	isLinked: boolean
}

export class EngineChoice {
	private readonly known = new Map<string, Known>()

	/** Takes in what the engine's agent says; resets the count of own asks. */
	applyView(id: string, view: EngineView): void {
		const known = this.get(id)
		known.view = view
		known.askedTokens = 0
	}

	applyResidency(
		id: string,
		residents: Iterable<string>,
		recents: Iterable<string>
	): void {
		const known = this.get(id)
		known.residents = new Set(residents)
		known.recents = new Set(recents)
	}

	/** The agent is gone; what the engine held last stays believed. */
	dropView(id: string): void {
		this.get(id).view = undefined
	}

	isLinked(id: string): boolean {
		return this.get(id).view !== undefined
	}

	addAsk(id: string, tokens: number): void {
		this.get(id).askedTokens += tokens
	}

	begin(id: string): void {
		this.get(id).outstanding += 1
	}

	end(id: string): void {
		this.get(id).outstanding -= 1
	}

	addSuccess(id: string, now: number): void {
		this.get(id).trust.addSuccess(now)
	}

	addFailure(id: string, now: number, weight = 1): void {
		this.get(id).trust.addFailure(now, weight)
	}

	retain(ids: ReadonlySet<string>): void {
		for (const [id, known] of this.known) {
			if (!ids.has(id) && known.outstanding <= 0) this.known.delete(id)
		}
	}

	/** Engines in order of expected time to the first event. */
	rate(
		query: EngineQuery,
		candidates: readonly EngineCandidate[],
		now: number
	): EngineRating[] {
		const homes = this.rankHomes(query.placeKey, candidates)
		const ratings: EngineRating[] = []
		for (const {id, isNear} of candidates) {
			const known = this.get(id)
			const homeMs = Math.min(maxHomeSteps, homes.get(id) ?? 0) * homeStepMs
			const waitMs = this.getWaitMs(known, query)
			if (waitMs === undefined) continue
			const expectedMs =
				waitMs + known.trust.getPenaltyMs(now) + homeMs + (isNear ? 0 : farMs)
			ratings.push({id, expectedMs, isLinked: known.view !== undefined})
		}
		ratings.sort((a, b) => a.expectedMs - b.expectedMs)
		return ratings
	}

	private getWaitMs(known: Known, query: EngineQuery): number | undefined {
		const {view} = known
		const isResident = known.residents.has(query.placeKey)
		if (view === undefined) {
			if (query.hasAdapter && !isResident) return undefined
			return unlinkedMs + known.outstanding * unlinkedOutstandingMs
		}
		if (!view.isUsable) return undefined
		const askedMs = known.askedTokens / view.tokensPerMs
		const readMs = query.promptTokens / view.tokensPerMs
		const waitMs = view.waitMs + askedMs + readMs
		if (!query.hasAdapter || isResident) return waitMs
		const placeMs = view.openPlaces > 0 ? 0 : noPlaceMs
		const isRecent = known.recents.has(query.placeKey)
		return waitMs + placeMs + (isRecent ? recentLoadMs : storeLoadMs)
	}

	private rankHomes(
		key: string,
		candidates: readonly EngineCandidate[]
	): Map<string, number> {
		const keyHash = hashString(key)
		const items: RendezvousItem[] = candidates.map(({id}) => ({
			id,
			weight: getRendezvousScore(keyHash, this.get(id).hash, 1)
		}))
		items.sort((a, b) => b.weight - a.weight)
		return new Map(items.map(({id}, index) => [id, index]))
	}

	private get(id: string): Known {
		let known = this.known.get(id)
		if (known === undefined) {
			known = {
				view: undefined,
				residents: new Set(),
				recents: new Set(),
				askedTokens: 0,
				outstanding: 0,
				trust: new EndpointTrust(),
				hash: hashString(id)
			}
			this.known.set(id, known)
		}
		return known
	}
}
