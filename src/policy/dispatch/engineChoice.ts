/**
 * Chooses the engine for a generation by the expected time to its first event.
 * The estimate uses the state that each engine's agent sent last, the gateway's
 * own asks (requests for a grant) since then, adapter residency and failures.
 *
 * - Adapter affinity: an engine without the adapter is charged the load time,
 *   which is short if its host has the adapter in a local cache. If no engine has
 *   it, rendezvous hashing makes all gateways prefer the same engine, as when
 *   several gateways request one rare adapter at once.
 * - Spill: if the wait at a resident engine exceeds the cost of a load elsewhere,
 *   the request goes elsewhere, which adds a replica of a hot adapter when its
 *   traffic jumps.
 *
 * A request whose output is predicted is rated by what it costs the engines, too:
 * waits for a seat and memory, the time of its answer, and bytes between failure
 * domains. Engines that hold its adapter and whose costs are nearly equal are chosen
 * from at random, and a load that this gateway has just asked for is shared.
 */
import {getRendezvousScore, hashString} from "../rendezvous.js"
import {
	createRecord,
	type EngineCandidate,
	type EngineQuery,
	type EngineRating,
	type EngineRecord,
	type EngineView,
	type Estimate,
	isLoadShared,
	isOutputPredicted
} from "./engineRecord.js"
import {getWorkTerms, noTerms, type WorkTerms} from "./engineWork.js"
import {HomeWeights} from "./homeWeights.js"

export type {
	EngineCandidate,
	EngineQuery,
	EngineRating,
	EngineView
} from "./engineRecord.js"

/** Load time of an adapter from the local cache of the engine's host. */
const recentLoadMs = 40
/** Load time of an adapter from the weight store. */
const storeLoadMs = 270
/** Added to the cost of a load from the weight store, which all engines share,
 * so that it is the last resort. */
const storeLoadPenaltyMs = 900
/** Cost of each rank in the rendezvous order: sends all requests of an adapter
 * to the same engine while all engines are idle. */
const rendezvousRankStepMs = 25
/** Higher ranks cost no more than this one. */
const maxRendezvousRank = 6
/** Expected time to the first event at an engine whose agent is not connected and
 * whose queue is therefore unknown. */
const unlinkedFirstEventMs = 300
/** Added to it for each request of this gateway in flight at the engine. */
const unlinkedMsPerInFlight = 60
/** Time beyond the interval of states in which an ask reaches the agent and the
 * state that reflects it the gateway. An older ask is either part of the last state
 * or was served without changing it. */
const askTransitMs = 120
const defaultStateIntervalMs = 80
/** Extra cost of an engine in another failure domain, where calls take longer. */
const remoteDomainPenaltyMs = 5
/**
 * The same where costs count: bytes of one request between domains cost about a
 * twentieth of a load from the store.
 */
const remoteBytesPenaltyMs = 40
/** Share of the time of an answer that counts as work for the requests beside it. */
const decodeShare = 0.05
/** Range of the random cost of engines that hold the adapter, more than a step of the
 * rendezvous order, and the part of it that grows with the wait, which is the less
 * certain the longer it is. */
const tieBreakMs = 30
const tieBreakShare = 0.1
/** Time for which a load that this gateway asked for is taken to be under way. */
const sharedLoadMs = 500
/** Loads remembered for an engine, more than it carries out in that time. */
const maxSharedLoads = 32

export interface EngineChoiceOptions {
	/** In [0, 1); orders engines whose costs are nearly equal. */
	random?: () => number
}

export class EngineChoice {
	private readonly records = new Map<string, EngineRecord>()
	private askReflectedMs = defaultStateIntervalMs + askTransitMs
	private readonly homes = new HomeWeights()
	private readonly random: () => number

	constructor({random = () => 0}: EngineChoiceOptions = {}) {
		this.random = random
	}

	/** Sets the longest interval at which agents send changed states. */
	setStateInterval(intervalMs: number): void {
		this.askReflectedMs = intervalMs + askTransitMs
	}

	/** Stores a state from the engine's agent and drops the asks so far, which it is
	 * assumed to reflect. */
	applyView(id: string, view: EngineView): void {
		const record = this.getRecord(id)
		record.view = view
		if (view.work !== undefined)
			this.homes.setSpeed(id, view.work.lastingTokensPerMs)
		record.asks.length = 0
	}

	applyResidency(
		id: string,
		residents: Iterable<string>,
		recents: Iterable<string>
	): void {
		const record = this.getRecord(id)
		record.residentAdapters = new Set(residents)
		record.sharedLoads.clear()
		record.recentAdapters.clear()
		for (const adapter of recents) record.recentAdapters.add(adapter)
		for (const adapter of residents) record.recentAdapters.add(adapter)
	}

	/** Applies what changed since the last residency. */
	applyResidencyChange(
		id: string,
		loaded: readonly string[],
		evicted: readonly string[]
	): void {
		const record = this.getRecord(id)
		for (const adapter of loaded) {
			record.residentAdapters.add(adapter)
			record.recentAdapters.add(adapter)
			record.sharedLoads.delete(adapter)
		}
		for (const adapter of evicted) {
			record.residentAdapters.delete(adapter)
			record.recentAdapters.add(adapter)
		}
	}

	/** Drops the state of a lost agent; the last known residency stays in use. */
	dropView(id: string): void {
		const record = this.getRecord(id)
		record.view = undefined
		record.sharedLoads.clear()
	}

	/** Whether the adapter was resident at the engine when it was last heard of. */
	isResident(id: string, slotKey: string): boolean {
		return this.getRecord(id).residentAdapters.has(slotKey)
	}

	isLinked(id: string): boolean {
		return this.getRecord(id).view !== undefined
	}

	addAsk(id: string, query: EngineQuery, now: number): void {
		const {slotKey, hasAdapter, promptTokens: tokens} = query
		const {expectedOutputTokens = 0} = query
		const record = this.getRecord(id)
		const needsSlot = hasAdapter && !record.residentAdapters.has(slotKey)
		const memoryTokens = tokens + expectedOutputTokens
		record.asks.push({sentAt: now, tokens, needsSlot, memoryTokens})
		if (!needsSlot || expectedOutputTokens === 0) return
		const {sharedLoads} = record
		if (!isLoadShared(record, slotKey, now))
			sharedLoads.set(slotKey, now + sharedLoadMs)
		const [oldest] = sharedLoads.keys()
		if (sharedLoads.size > maxSharedLoads && oldest !== undefined)
			sharedLoads.delete(oldest)
	}

	begin(id: string): void {
		this.getRecord(id).inFlight += 1
	}

	end(id: string): void {
		this.getRecord(id).inFlight -= 1
	}

	addSuccess(id: string, now: number): void {
		this.getRecord(id).failurePenalty.addSuccess(now)
	}

	addFailure(id: string, now: number, weight = 1): void {
		this.getRecord(id).failurePenalty.addFailure(now, weight)
	}

	retain(ids: ReadonlySet<string>): void {
		for (const [id, record] of this.records) {
			if (ids.has(id) || record.inFlight > 0) continue
			this.records.delete(id)
			this.homes.delete(id)
		}
	}

	/** The usable engine with the lowest cost; undefined if there is none. */
	choose(
		query: EngineQuery,
		candidates: readonly EngineCandidate[],
		now: number
	): EngineRating | undefined {
		const isPredicted = isOutputPredicted(query)
		const remoteMs = isPredicted ? remoteBytesPenaltyMs : remoteDomainPenaltyMs
		const preferredIds = this.listPreferred(query, candidates)
		let best: EngineRating | undefined
		for (const {id, isNear} of candidates) {
			const record = this.getRecord(id)
			const expected = this.estimate(record, query, now)
			if (expected === undefined) continue
			const {expectedMs, storePenaltyMs, terms} = expected
			const rank = preferredIds.indexOf(id)
			const affinityMs =
				(rank < 0 ? maxRendezvousRank : rank) * rendezvousRankStepMs
			const holdsAdapter = record.residentAdapters.has(query.slotKey)
			const spreadMs =
				isPredicted && (holdsAdapter || !query.hasAdapter)
					? (tieBreakMs + expectedMs * tieBreakShare) * this.random()
					: 0
			const cost =
				expectedMs +
				storePenaltyMs +
				record.failurePenalty.getPenaltyMs(now) +
				affinityMs +
				(isNear ? 0 : remoteMs) +
				terms.decodeMs * decodeShare +
				spreadMs
			if (best !== undefined && cost >= best.cost) continue
			const isLinked = record.view !== undefined
			best = {id, expectedMs, cost, isLinked, terms}
		}
		return best
	}

	/**
	 * Undefined if the engine can't serve the request now. Without its agent, which
	 * orders the loads, it can only serve the base model and adapters last known to
	 * be resident.
	 */
	private estimate(
		record: EngineRecord,
		query: EngineQuery,
		now: number
	): Estimate | undefined {
		const {view} = record
		const isResident = record.residentAdapters.has(query.slotKey)
		if (view === undefined) {
			if (query.hasAdapter && !isResident) return undefined
			const expectedMs =
				unlinkedFirstEventMs + record.inFlight * unlinkedMsPerInFlight
			return {expectedMs, storePenaltyMs: 0, terms: noTerms}
		}
		if (!view.isUsable) return undefined
		if (record.asks.length > 0) {
			record.asks = record.asks.filter(
				({sentAt}) => now - sentAt < this.askReflectedMs
			)
		}
		const pendingTokens = record.asks.reduce((sum, ask) => sum + ask.tokens, 0)
		const tokens = pendingTokens + query.promptTokens
		const terms = isOutputPredicted(query)
			? this.getTerms(record, query)
			: noTerms
		const waitMs =
			view.waitMs +
			tokens / view.tokensPerMs +
			Math.max(terms.seatWaitMs, terms.memoryWaitMs)
		if (!query.hasAdapter || isResident)
			return {expectedMs: waitMs, storePenaltyMs: 0, terms}
		if (isOutputPredicted(query) && isLoadShared(record, query.slotKey, now)) {
			const until = record.sharedLoads.get(query.slotKey) ?? now
			const expectedMs = Math.max(waitMs, until - now)
			return {expectedMs, storePenaltyMs: 0, terms}
		}
		const pendingSlots = record.asks.filter(ask => ask.needsSlot).length
		const missingSlots = Math.max(0, pendingSlots + 1 - view.freeSlots)
		const slotWaitMs = missingSlots * view.slotStepMs
		const isRecent = record.recentAdapters.has(query.slotKey)
		const loadMs = isRecent ? recentLoadMs : storeLoadMs
		const storePenaltyMs = isRecent ? 0 : storeLoadPenaltyMs
		const expectedMs = waitMs + slotWaitMs + loadMs
		return {expectedMs, storePenaltyMs, terms}
	}

	private getTerms(
		{view, asks}: EngineRecord,
		{promptTokens, expectedOutputTokens: outputTokens = 0}: EngineQuery
	): WorkTerms {
		const memoryTokens = asks.reduce((sum, ask) => sum + ask.memoryTokens, 0)
		return getWorkTerms(
			view?.work,
			{memoryTokens: promptTokens + outputTokens, outputTokens},
			{requests: asks.length, memoryTokens}
		)
	}

	/** The first candidates in the key's rendezvous order; the first is preferred. */
	private listPreferred(
		query: EngineQuery,
		candidates: readonly EngineCandidate[]
	): string[] {
		const keyHash = hashString(query.slotKey)
		const isPredicted = isOutputPredicted(query)
		const ids: string[] = []
		const weights: number[] = []
		for (const {id} of candidates) {
			const {idHash} = this.getRecord(id)
			const capacity = isPredicted ? this.homes.get(id) : 1
			const weight = getRendezvousScore(keyHash, idHash, capacity)
			let position = ids.length
			while (position > 0 && weight > (weights[position - 1] ?? 0))
				position -= 1
			if (position >= maxRendezvousRank) continue
			ids.splice(position, 0, id)
			weights.splice(position, 0, weight)
			if (ids.length <= maxRendezvousRank) continue
			ids.pop()
			weights.pop()
		}
		return ids
	}

	private getRecord(id: string): EngineRecord {
		let record = this.records.get(id)
		if (record === undefined) {
			record = createRecord(id)
			this.records.set(id, record)
		}
		return record
	}
}
