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

/** An adapter at hand beside the engine takes this long to load. */
const recentLoadMs = 40
const storeLoadMs = 270
/** Makes a load from the weight store, which all engines share, a last resort. */
const storeBiasMs = 430
/** Steers each adapter to the same engine while all are idle. */
const homeStepMs = 25
const maxHomeSteps = 6
/** An agent that does not answer leaves only what the engine held last. */
const unlinkedMs = 300
const unlinkedOutstandingMs = 60
/** An agent whose state has changed tells so within this time; an ask that did
 * not change it was served at once. */
const askShownMs = 200
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
	/** Slots that can be had, less the adapters that wait for one. */
	freeSlots: number
	/** Expected time between slots becoming free. */
	slotStepMs: number
}

export interface EngineQuery {
	/** `model/adapter`. */
	slotKey: string
	promptTokens: number
	/** Whether the request names an adapter at all. */
	hasAdapter: boolean
}

interface Ask {
	at: number
	tokens: number
	needsSlot: boolean
}

interface Known {
	view: EngineView | undefined
	residents: ReadonlySet<string>
	recents: ReadonlySet<string>
	/** Own asks that the view may not show yet. */
	asks: Ask[]
	/** Own requests that run at the engine. */
	outstanding: number
	trust: EndpointTrust
	hash: number
}

export interface EngineRating {
	id: string
	/** Expected time to the first event. */
	expectedMs: number
	/** What engines are ordered by: the time, and what should tip the choice. */
	cost: number
	isLinked: boolean
}

export class EngineChoice {
	private readonly known = new Map<string, Known>()

	/** Takes in what the engine's agent says; resets the count of own asks. */
	applyView(id: string, view: EngineView): void {
		const known = this.get(id)
		known.view = view
		known.asks.length = 0
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

	addAsk(id: string, query: EngineQuery, now: number): void {
		const {slotKey, hasAdapter, promptTokens: tokens} = query
		const known = this.get(id)
		const needsSlot = hasAdapter && !known.residents.has(slotKey)
		known.asks.push({at: now, tokens, needsSlot})
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
		const homes = this.rankHomes(query.slotKey, candidates)
		const ratings: EngineRating[] = []
		for (const {id, isNear} of candidates) {
			const known = this.get(id)
			const homeMs = Math.min(maxHomeSteps, homes.get(id) ?? 0) * homeStepMs
			const expected = this.getExpected(known, query, now)
			if (expected === undefined) continue
			const {expectedMs, biasMs} = expected
			const doubtMs = known.trust.getPenaltyMs(now)
			const cost = expectedMs + biasMs + doubtMs + homeMs + (isNear ? 0 : farMs)
			const isLinked = known.view !== undefined
			ratings.push({id, expectedMs, cost, isLinked})
		}
		ratings.sort((a, b) => a.cost - b.cost)
		return ratings
	}

	private getExpected(
		known: Known,
		query: EngineQuery,
		now: number
	): {expectedMs: number; biasMs: number} | undefined {
		const {view} = known
		const isResident = known.residents.has(query.slotKey)
		if (view === undefined) {
			if (query.hasAdapter && !isResident) return undefined
			const expectedMs = unlinkedMs + known.outstanding * unlinkedOutstandingMs
			return {expectedMs, biasMs: 0}
		}
		if (!view.isUsable) return undefined
		known.asks = known.asks.filter(({at}) => now - at < askShownMs)
		const asked = known.asks.reduce((sum, ask) => sum + ask.tokens, 0)
		const tokens = asked + query.promptTokens
		const waitMs = view.waitMs + tokens / view.tokensPerMs
		if (!query.hasAdapter || isResident) return {expectedMs: waitMs, biasMs: 0}
		const askedSlots = known.asks.filter(ask => ask.needsSlot).length
		const missing = Math.max(0, askedSlots + 1 - view.freeSlots)
		const slotMs = missing * view.slotStepMs
		const isRecent = known.recents.has(query.slotKey)
		const loadMs = isRecent ? recentLoadMs : storeLoadMs
		const biasMs = isRecent ? 0 : storeBiasMs
		return {expectedMs: waitMs + slotMs + loadMs, biasMs}
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
				asks: [],
				outstanding: 0,
				trust: new EndpointTrust(),
				hash: hashString(id)
			}
			this.known.set(id, known)
		}
		return known
	}
}
