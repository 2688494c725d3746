/**
 * A small engine, and callers who ask its scheduler, in virtual time. Prompts are
 * prefilled one after the other; each answer then takes a time per token. Adapters
 * load in a fixed time. Memory beyond the capacity is counted, not simulated.
 */
import {slotKey} from "../../../contract/fleet.js"
import {GrantScheduler} from "../grantScheduler.js"
import {
	type EngineLimits,
	type GrantDecision,
	GrantDecisionKind,
	type GrantRequest,
	OrderKind,
	OrderOutcome
} from "../types.js"
import {createReport} from "./fixtures.js"

/** One request that a caller sends, and sends again when refused. */
export interface Call {
	at: number
	kind: string
	member: string
	memberPriority: number
	priority: number
	adapter: string
	promptTokens: number
	outputTokens: number
	objectiveMs: number
	quotaUse?: number
}

export interface CallResult {
	call: Call
	/** First events, and whether the first one met the objective. */
	startedAt?: number
	isInTime: boolean
	refusals: {at: number; retryAfterMs: number}[]
	/** Whether the answer came to its end. */
	endedAt?: number
}

export interface ModelOptions {
	limits: EngineLimits
	tokensPerMs: number
	msPerToken: number
	loadMs: number
	/** Callers return after a refusal until their deadline. */
	maxReturns: number
	/** Whether requests carry their Members; else the order is today's. */
	hasMembers: boolean
	/** Serves in the order of arrival, without refusals. */
	isFifo?: boolean
}

export const engineLimits: EngineLimits = {
	seats: 96,
	adapterSlots: 5,
	memoryTokens: 122_025,
	weightsMb: 66_000,
	models: [{name: "base", weightsMb: 65_000, adapterMb: 12, loadMs: 2000}]
}

export const modelDefaults: ModelOptions = {
	limits: engineLimits,
	tokensPerMs: 19.2,
	msPerToken: 16,
	loadMs: 250,
	maxReturns: 4,
	hasMembers: true
}

const startByFactor = 2.5
const deadlineFactor = 5
const tickMs = 10
const reportMs = 100

/** Numbers in [0, 1) that depend on the seed only. */
export function createRandom(seed: number): () => number {
	let state = seed >>> 0 || 1
	return () => {
		state = (state + 0x6d2b79f5) >>> 0
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
	}
}

export class EngineModel {
	readonly scheduler: GrantScheduler
	readonly results = new Map<string, CallResult>()
	private readonly events: {at: number; order: number; run: () => void}[] = []
	private readonly resident = new Map<string, number>()
	private sequence = 0
	private prefillFreeAt = 0
	private order = 0
	private now = 0

	constructor(
		private readonly options: ModelOptions,
		random: () => number
	) {
		this.scheduler = new GrantScheduler({random})
		this.scheduler.setLimits(options.limits)
		this.report()
	}

	/** Runs the calls to their ends; returns a result for each. */
	run(calls: readonly Call[], untilMs: number): CallResult[] {
		calls.forEach((call, index) => {
			const result = {call, isInTime: false, refusals: []}
			this.results.set(String(index), result)
			this.plan(call.at, () => {
				this.ask(String(index), 0)
			})
		})
		for (let at = 0; at < untilMs; at += tickMs) {
			this.plan(at, () => {
				if (at % reportMs === 0) this.report()
				this.decide(this.scheduler.schedule(this.now))
			})
		}
		this.events.sort((a, b) => a.at - b.at || a.order - b.order)
		while (this.events.length > 0) {
			const event = this.events.shift()
			if (event === undefined || event.at > untilMs) break
			this.now = event.at
			event.run()
			this.planOrder()
		}
		return [...this.results.values()]
	}

	private ask(id: string, returns: number): void {
		const result = this.results.get(id)
		if (result === undefined) return
		const {call} = result
		const {hasMembers, isFifo} = this.options
		const far = 1e7
		const request: GrantRequest = {
			key: `g${this.order % 21}/${id}#${returns}`,
			requestId: id,
			owner: `g${this.order % 21}`,
			model: "base",
			adapter: call.adapter,
			parts: [
				{id: "shared", tokens: 568},
				{id: id, tokens: call.promptTokens}
			],
			promptTokens: call.promptTokens + 568,
			outputTokens: call.outputTokens,
			priority: isFifo === true ? 0 : call.priority,
			objectiveAt:
				isFifo === true ? this.now + far : this.now + call.objectiveMs,
			startBy:
				this.now + (isFifo === true ? far : call.objectiveMs * startByFactor),
			deadline: this.now + call.objectiveMs * deadlineFactor,
			...(hasMembers
				? {
						member: call.member,
						memberPriority: call.memberPriority,
						quotaUse: call.quotaUse ?? 0,
						expectedOutputTokens: call.outputTokens
					}
				: {})
		}
		this.decide(this.scheduler.submit(request, this.now))
	}

	private decide(decisions: readonly GrantDecision[]): void {
		for (const decision of decisions) {
			const {key, requestId} = decision.request
			const result = this.results.get(requestId)
			if (result === undefined) continue
			if (decision.kind === GrantDecisionKind.Grant) {
				this.serve(key, result)
				continue
			}
			const {retryAfterMs} = decision
			result.refusals.push({at: this.now, retryAfterMs})
			const {call, refusals} = result
			const returnAt = this.now + retryAfterMs
			const givesUpAt = call.at + call.objectiveMs * deadlineFactor
			if (refusals.length > this.options.maxReturns || returnAt > givesUpAt)
				continue
			this.insert(returnAt, () => {
				this.ask(requestId, refusals.length)
			})
		}
	}

	private serve(key: string, result: CallResult): void {
		const {call} = result
		const {tokensPerMs, msPerToken} = this.options
		const startsAt = Math.max(this.now, this.prefillFreeAt)
		const startedAt = startsAt + call.promptTokens / tokensPerMs
		this.prefillFreeAt = startedAt
		const askedAt = result.refusals.at(-1)
		const sentAt = askedAt ? askedAt.at + askedAt.retryAfterMs : call.at
		this.insert(startedAt, () => {
			result.startedAt = startedAt
			result.isInTime = startedAt - sentAt <= call.objectiveMs
			this.decide(this.scheduler.markStarted(key, this.now))
		})
		this.insert(startedAt + call.outputTokens * msPerToken, () => {
			result.endedAt = this.now
			this.decide(this.scheduler.markEnded(key, this.now))
		})
	}

	private planOrder(): void {
		const order = this.scheduler.planOrder(this.now)
		if (order === undefined) return
		this.scheduler.slots.beginOrder(order)
		this.scheduler.endOrder(OrderOutcome.Accepted, this.now)
		this.sequence += 1
		const key = slotKey(order.model, order.adapter)
		if (order.kind === OrderKind.Unload) this.resident.delete(key)
		else this.resident.set(key, this.now + this.options.loadMs)
		const waitMs = order.kind === OrderKind.Unload ? 1 : this.options.loadMs
		this.insert(this.now + waitMs, () => {
			this.report()
			this.decide(this.scheduler.schedule(this.now))
		})
	}

	private report(): void {
		const adapters = [...this.resident].map(([key, readyAt]) => ({
			adapter: key.slice(key.indexOf("/") + 1),
			version: 1,
			isReady: readyAt <= this.now
		}))
		const ready = adapters.filter(({isReady}) => isReady)
		const incoming = adapters
			.filter(({isReady}) => !isReady)
			.map(({adapter}) => ({model: "base", adapter, version: 1}))
		const report = createReport(
			ready.map(({adapter}) => adapter),
			{sequence: this.sequence, incoming, runIds: undefined}
		)
		this.scheduler.applyReport(report, this.now)
	}

	private plan(at: number, run: () => void): void {
		this.events.push({at, order: (this.order += 1), run})
	}

	/** Plans an event while others are being run. */
	private insert(at: number, run: () => void): void {
		let low = 0
		let high = this.events.length
		while (low < high) {
			const middle = (low + high) >> 1
			if ((this.events[middle]?.at ?? 0) > at) high = middle
			else low = middle + 1
		}
		this.events.splice(low, 0, {at, order: (this.order += 1), run})
	}
}
