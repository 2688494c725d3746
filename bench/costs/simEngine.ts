/**
 * An engine in virtual time behind a real `GrantScheduler`: it prefills prompts one
 * after the other, decodes beside that, and loads adapters from the weight store or
 * from the local cache of its host.
 */
import {slotKey} from "../../src/contract/fleet.js"
import {
	type EngineOrder,
	type GrantDecision,
	type GrantRequest,
	GrantScheduler,
	LruSet,
	OrderKind,
	OrderOutcome,
	recentAdapterCapacity
} from "../../src/policy/grants/index.js"
import type {VirtualClock} from "../policy/virtualClock.js"

export interface SimEngineOptions {
	id: string
	domain: string
	clock: VirtualClock
	random: () => number
	/** Lasting speed; 1 is usual. */
	speed: number
	/** How long work takes at a time; 1 is usual. */
	getPace: (now: number) => number
	onDecisions: (decisions: readonly GrantDecision[]) => void
}

interface Granted {
	request: GrantRequest
	outputTokens: number
	onFirstEvent: () => void
	onEnd: (events: number) => void
}

export const engineLimits = {
	seats: 64,
	adapterSlots: 5,
	memoryTokens: 151_402,
	weightsMb: 66_000,
	models: [{name: "base", weightsMb: 65_000, adapterMb: 12, loadMs: 2000}]
}
const prefillTokensPerMs = 25.8
const stepMs = 8.2
const storeLoadMs = 288
const recentLoadMs = 29
/** Work is advanced in steps of the interval at which paces change. */
const paceStepMs = 100
export const tokensPerEvent = 3

export class SimEngine {
	readonly scheduler: GrantScheduler
	storeLoads = 0
	running = 0
	private sequence = 0
	private readonly resident = new Set<string>()
	private readonly loadingUntil = new Map<string, number>()
	private readonly recent = new LruSet(recentAdapterCapacity)
	private prefillFreeAt = 0

	constructor(readonly options: SimEngineOptions) {
		const {random} = options
		this.scheduler = new GrantScheduler({random})
		this.scheduler.setLimits(engineLimits)
		this.report()
	}

	/** Time that the engine still takes for the prompts that it has, and one more. */
	getTruePrefillMs(tokens: number): number {
		const {now} = this.options.clock
		const startsAt = Math.max(now, this.prefillFreeAt)
		return this.getPrefillEnd(startsAt, tokens) - now
	}

	/** Time until the adapter is resident, given a slot. */
	getTrueLoadMs(key: string): {loadMs: number; isFromStore: boolean} {
		if (this.resident.has(key)) return {loadMs: 0, isFromStore: false}
		const until = this.loadingUntil.get(key)
		if (until !== undefined)
			return {loadMs: until - this.options.clock.now, isFromStore: false}
		return this.recent.has(key)
			? {loadMs: recentLoadMs, isFromStore: false}
			: {loadMs: storeLoadMs, isFromStore: true}
	}

	submit(request: GrantRequest): void {
		this.apply(this.scheduler.submit(request, this.options.clock.now))
	}

	/** Refuses what has waited too long. */
	tick(): void {
		this.apply(this.scheduler.schedule(this.options.clock.now))
	}

	/** Runs a granted request. */
	run({request, outputTokens, onFirstEvent, onEnd}: Granted): void {
		const {clock, speed, getPace} = this.options
		const now = clock.now
		this.running += 1
		const startsAt = Math.max(now, this.prefillFreeAt)
		this.prefillFreeAt = this.getPrefillEnd(startsAt, request.promptTokens)
		clock.schedule(this.prefillFreeAt, () => {
			onFirstEvent()
			this.apply(this.scheduler.markStarted(request.key, clock.now))
			const crowding = 1 + this.running / engineLimits.seats
			const tokenMs = (stepMs * crowding * getPace(clock.now)) / speed
			clock.schedule(clock.now + outputTokens * tokenMs, () => {
				this.running -= 1
				onEnd(Math.ceil(outputTokens / tokensPerEvent))
				this.apply(this.scheduler.markEnded(request.key, clock.now))
			})
		})
	}

	private getPrefillEnd(from: number, tokens: number): number {
		const {speed, getPace} = this.options
		let left = tokens
		for (let at = from; ;) {
			const rate = (prefillTokensPerMs * speed) / getPace(at)
			const until = (Math.floor(at / paceStepMs) + 1) * paceStepMs
			const done = rate * (until - at)
			if (done >= left) return at + left / rate
			left -= done
			at = until
		}
	}

	private apply(decisions: readonly GrantDecision[]): void {
		this.options.onDecisions(decisions)
		this.sendOrders()
	}

	private sendOrders(): void {
		const {scheduler} = this
		const now = this.options.clock.now
		for (;;) {
			const order = scheduler.planOrder(now)
			if (order === undefined) return
			scheduler.slots.beginOrder(order)
			this.sequence += 1
			scheduler.endOrder(this.carryOut(order, now), now)
		}
	}

	private carryOut(order: EngineOrder, now: number): OrderOutcome {
		const key = slotKey(order.model, order.adapter)
		if (order.kind === OrderKind.Unload) {
			this.resident.delete(key)
			return OrderOutcome.InEffect
		}
		const {loadMs, isFromStore} = this.getTrueLoadMs(key)
		if (isFromStore) this.storeLoads += 1
		this.recent.add(key)
		this.loadingUntil.set(key, now + loadMs)
		this.options.clock.schedule(now + loadMs, () => {
			this.loadingUntil.delete(key)
			this.resident.add(key)
			this.report()
			this.tick()
		})
		return OrderOutcome.Accepted
	}

	private report(): void {
		const adapters = (keys: Iterable<string>): {adapter: string}[] =>
			[...keys].map(key => ({adapter: key.slice("base/".length)}))
		this.scheduler.applyReport(
			{
				bornAt: 1,
				sequence: this.sequence,
				isBusy: false,
				running: this.running,
				runIds: undefined,
				models: [
					{
						name: "base",
						adapters: adapters(this.resident).map(item => ({
							...item,
							version: 1
						}))
					}
				],
				incoming: adapters(this.loadingUntil.keys()).map(item => ({
					...item,
					model: "base",
					version: 1
				})),
				memoryTokens: engineLimits.memoryTokens
			},
			this.options.clock.now
		)
	}
}
