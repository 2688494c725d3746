/**
 * What a request takes of an engine, and how long: its cost is the time for which it
 * takes the whole of its scarcest resource.
 */
import type {AdapterSlots} from "./adapterSlots.js"
import type {PrefillRate} from "./prefillRate.js"
import type {ActiveGrant} from "./grantTable.js"
import type {GrantRequest} from "./types.js"

/** Time that an answer takes a token, before any sample. */
const initialMsPerToken = 20
/** Weight of a sample, as of one answer among so many. */
const sampledAnswers = 50
/** Length assumed of an answer of which nothing is stated. */
const defaultOutputTokens = 100

export interface RequestCostOptions {
	slots: AdapterSlots
	prefillRate: PrefillRate
	/** Prompt tokens that the engine has to prefill for a request. */
	countPrefillTokens: (request: GrantRequest) => number
}

export class RequestCost {
	/** Decayed sums over ended answers, which weigh long answers by their length. */
	private decodeMs = initialMsPerToken * defaultOutputTokens
	private decodedTokens = defaultOutputTokens

	constructor(private readonly options: RequestCostOptions) {}

	/** Records the end of a request of which the first event was seen. */
	addEnded({request, startedAt}: ActiveGrant, now: number): void {
		if (startedAt === undefined) return
		const kept = 1 - 1 / sampledAnswers
		this.decodeMs = kept * this.decodeMs + (now - startedAt)
		this.decodedTokens = kept * this.decodedTokens + countOutputTokens(request)
	}

	getPrefillMs(request: GrantRequest): number {
		const {prefillRate, countPrefillTokens} = this.options
		return prefillRate.getPrefillMs(countPrefillTokens(request))
	}

	/** Expected time from the start of the request's prefill to its end. */
	getHoldMs(request: GrantRequest): number {
		const msPerToken = this.decodeMs / Math.max(1, this.decodedTokens)
		const decodeMs = countOutputTokens(request) * msPerToken
		return this.getPrefillMs(request) + decodeMs
	}

	/** `sharesSlot`: whether another request uses the adapter, too. */
	getCostMs(request: GrantRequest, sharesSlot: boolean): number {
		const prefillMs = this.getPrefillMs(request)
		const {limits} = this.options.slots
		if (limits === undefined) return prefillMs
		const holdMs = this.getHoldMs(request)
		const tokens = request.promptTokens + countOutputTokens(request)
		const memoryMs = (holdMs * tokens) / Math.max(1, limits.memoryTokens)
		const seatMs = holdMs / Math.max(1, limits.seats)
		const isSlotShared = sharesSlot || request.adapter === ""
		const slotMs = isSlotShared ? 0 : holdMs / Math.max(1, limits.adapterSlots)
		return Math.max(prefillMs, memoryMs, seatMs, slotMs)
	}
}

/** Expected length of the answer. */
function countOutputTokens(request: GrantRequest): number {
	const {expectedOutputTokens = 0, outputTokens} = request
	if (expectedOutputTokens > 0) return expectedOutputTokens
	return outputTokens > 0 ? outputTokens : defaultOutputTokens
}
