/** What a gateway knows of an engine, and what it asks of one. */
import {hashString} from "../rendezvous.js"
import {LruSet, recentAdapterCapacity} from "../grants/index.js"
import type {EngineWork, WorkTerms} from "./engineWork.js"
import {FailurePenalty} from "./failurePenalty.js"

export interface EngineCandidate {
	id: string
	/** Whether the engine is in the gateway's own failure domain. */
	isNear: boolean
}

/** The state that an engine's agent sent last. */
export interface EngineView {
	/** Whether the engine answers and a base model is resident or loading. */
	isUsable: boolean
	/** Expected time until the prefill of a new request for a resident adapter
	 * begins. */
	waitMs: number
	/** Prefill rate. */
	tokensPerMs: number
	/** Available slots minus adapters that wait for one; may be negative. */
	freeSlots: number
	/** Expected interval at which slots become free. */
	slotStepMs: number
	/** What it still has to do; absent while nothing was predicted. */
	work?: EngineWork
}

export interface EngineQuery {
	/** `model/adapter`. */
	slotKey: string
	promptTokens: number
	/** False for a request to the base model itself. */
	hasAdapter: boolean
	/** Predicted tokens of the answer; 0 or absent if unknown. */
	expectedOutputTokens?: number
}

/** A request for a grant that this gateway sent to an agent. */
interface SentAsk {
	sentAt: number
	tokens: number
	needsSlot: boolean
	memoryTokens: number
}

export interface EngineRecord {
	view: EngineView | undefined
	residentAdapters: Set<string>
	/** Adapters that the engine's host is assumed to hold in a local cache. */
	recentAdapters: LruSet
	/** Asks of this gateway that `view` may not reflect yet. */
	asks: SentAsk[]
	/** Requests of this gateway that are in flight at the engine. */
	inFlight: number
	failurePenalty: FailurePenalty
	/** Adapters that this gateway asked for there, with the time until when their load
	 * is taken to be under way. */
	sharedLoads: Map<string, number>
	idHash: number
}

export interface EngineRating {
	id: string
	/** Expected time to the first event. */
	expectedMs: number
	/** Sort key: `expectedMs` plus failure penalty, affinity and locality costs. */
	cost: number
	/** Whether the engine's agent is connected. */
	isLinked: boolean
	/** Parts of the cost that are due to the predicted output. */
	terms: WorkTerms
}

export interface Estimate {
	expectedMs: number
	storePenaltyMs: number
	terms: WorkTerms
}

export function createRecord(id: string): EngineRecord {
	return {
		view: undefined,
		residentAdapters: new Set(),
		recentAdapters: new LruSet(recentAdapterCapacity),
		asks: [],
		inFlight: 0,
		failurePenalty: new FailurePenalty(),
		sharedLoads: new Map(),
		idHash: hashString(id)
	}
}

/** Whether the request is rated by what it is likely to cost. */
export function isOutputPredicted({
	expectedOutputTokens = 0
}: EngineQuery): boolean {
	return expectedOutputTokens > 0
}

export function isLoadShared(
	{sharedLoads}: EngineRecord,
	slotKey: string,
	now: number
): boolean {
	return now < (sharedLoads.get(slotKey) ?? Number.NEGATIVE_INFINITY)
}
