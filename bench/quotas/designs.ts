/** Three ways to hold Members to their quotas, for the comparison. */
import type {QuotaTerms} from "../../src/policy/quotas/index.js"
import type {VirtualClock} from "../policy/virtualClock.js"
import type {FleetGateway, QuotaFleet, Sent} from "./quotaFleet.js"

export interface DesignRequest {
	gateway: number
	member: string
	terms: QuotaTerms
	tokens: number
	/** Time until the request is sent. */
	waitMs: number
}

export interface DesignOptions {
	clock: VirtualClock
	gateways: number
	/** Whether a gateway is cut off from the store and other failure domains. */
	isCut: (gateway: number) => boolean
}

export abstract class QuotaDesign {
	storeCalls = 0
	/** What reached endpoints. */
	sent: Sent[] = []

	constructor(protected readonly options: DesignOptions) {}

	abstract serve(request: DesignRequest): void

	protected sendLater(request: DesignRequest): void {
		const {clock} = this.options
		const {member, tokens: amount} = request
		clock.schedule(clock.now + request.waitMs, () => {
			this.sent.push({member, at: clock.now, amount})
		})
	}
}

class Bucket {
	private level: number
	private filledAt = 0

	constructor(
		private readonly perMs: number,
		private readonly capacity: number
	) {
		this.level = capacity
	}

	take(cost: number, now: number): boolean {
		const added = (now - this.filledAt) * this.perMs
		this.level = Math.min(this.capacity, this.level + added)
		this.filledAt = now
		if (this.level < Math.min(cost, this.capacity)) return false
		this.level -= cost
		return true
	}
}

function createBucket(terms: QuotaTerms, share: number): Bucket {
	return new Bucket((terms.perSecond / 1000) * share, terms.burst * share)
}

/**
 * Each request reads its Member's bucket in the store and replaces it on the
 * condition of its revision; up to three times when another one was faster.
 */
export class StoreDesign extends QuotaDesign {
	private readonly buckets = new Map<
		string,
		{bucket: Bucket; revision: number}
	>()
	private readonly callMs = 8
	private readonly maxTries = 3

	override serve(request: DesignRequest): void {
		if (!this.options.isCut(request.gateway)) this.tryTake(request, 1)
	}

	private tryTake(request: DesignRequest, tries: number): void {
		const {clock} = this.options
		const {member, terms, tokens} = request
		let stored = this.buckets.get(member)
		if (stored === undefined) {
			stored = {bucket: createBucket(terms, 1), revision: 0}
			this.buckets.set(member, stored)
		}
		const {revision} = stored
		this.storeCalls += 2
		clock.schedule(clock.now + 2 * this.callMs, () => {
			if (stored.revision !== revision) {
				if (tries < this.maxTries) this.tryTake(request, tries + 1)
				return
			}
			stored.revision += 1
			if (stored.bucket.take(tokens, clock.now)) this.sendLater(request)
		})
	}
}

/** Each gateway has an equal share of each quota. */
export class ShareDesign extends QuotaDesign {
	private readonly buckets = new Map<string, Bucket>()

	override serve(request: DesignRequest): void {
		const {gateway, member, terms, tokens} = request
		const key = `${gateway}/${member}`
		let bucket = this.buckets.get(key)
		if (bucket === undefined) {
			bucket = createBucket(terms, 1 / this.options.gateways)
			this.buckets.set(key, bucket)
		}
		if (bucket.take(tokens, this.options.clock.now)) this.sendLater(request)
	}
}

/** Three parts, each given by the agent that holds its lease. */
export class PartDesign extends QuotaDesign {
	private readonly gateways: FleetGateway[]

	constructor(
		options: DesignOptions,
		private readonly fleet: QuotaFleet
	) {
		super(options)
		this.sent = fleet.sent
		this.gateways = Array.from({length: options.gateways}, (_, n) =>
			fleet.createGateway(n)
		)
	}

	get messages(): number {
		return this.gateways.reduce((sum, {messages}) => sum + messages, 0)
	}

	search(): void {
		for (const gateway of this.gateways) gateway.search()
	}

	override serve(request: DesignRequest): void {
		const {member, terms, tokens, waitMs} = request
		this.storeCalls = this.fleet.store.calls
		const asked = {member, terms, tokens, waitMs, reportMs: 25}
		this.gateways[request.gateway]?.serve(asked)
	}
}
