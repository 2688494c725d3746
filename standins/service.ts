/**
 * Stand-in of a plain service that books orders and lodges filings. It runs
 * every call it gets: it does not deduplicate.
 */
import {z} from "zod"
import {sleep} from "../src/utils/common.js"
import {
	type Answer,
	type Call,
	commonFaults,
	type Counts,
	Fence,
	notRunHeaders,
	HttpError,
	type ListenOptions,
	noCommonFaults,
	parseJson,
	readHeader,
	Standin,
	Tally
} from "./common/index.js"

export interface ServiceOptions extends ListenOptions {
	/** Refuse calls with an old fencing number. */
	checksOrders?: boolean
	callMs?: number
}

const serviceFaults = z.strictObject({
	...commonFaults,
	/** This many further calls get 503 without being run. */
	failBefore: z.number().int().min(0),
	/** This many further calls run without an answer. */
	cutAfter: z.number().int().min(0),
	/** This many further calls lose their socket without being run. */
	cutBefore: z.number().int().min(0),
	/** Replaces the time that a call takes after its effect. */
	callMs: z.number().min(0).nullable(),
	/** Limits the counted faults to paths with this prefix. */
	faultPath: z.string()
})

export type ServiceFaults = z.infer<typeof serviceFaults>

export interface ServiceTruth {
	runs: number
	/** Calls that took effect and are not answered yet. */
	running: number
	/** Runs by idempotency key. */
	runsByKey: Counts
	/** Runs by request id. */
	runsByRequest: Counts
	/** Runs by order. */
	runsByBody: Counts
	peakConcurrent: number
	staleOrdersAccepted: number
	staleOrdersRefused: number
}

type CountedFault = "failBefore" | "cutAfter" | "cutBefore"

/** Other fields are taken as they are and answered back. */
const submission = z.looseObject({order: z.string().min(1)})

/** What a submission makes: the field of its number and its final status. */
enum Product {
	Booking = "booking",
	Filing = "filing"
}

const finalStatus: Record<Product, string> = {
	[Product.Booking]: "booked",
	[Product.Filing]: "lodged"
}

/** Starts a plain service stand-in. */
export function startService(
	options: ServiceOptions = {}
): Promise<ServiceStandin> {
	return new ServiceStandin(options).listen(options)
}

export class ServiceStandin extends Standin<ServiceFaults> {
	private readonly callMs: number
	private readonly fence: Fence
	private readonly runsByKey = new Tally()
	private readonly runsByRequest = new Tally()
	private readonly runsByBody = new Tally()
	private readonly statuses = {
		[Product.Booking]: new Map<string, string>(),
		[Product.Filing]: new Map<string, string>()
	}
	private runs = 0
	private concurrent = 0
	private peakConcurrent = 0

	constructor({checksOrders = false, callMs = 40}: ServiceOptions) {
		super(serviceFaults.partial(), {
			...noCommonFaults,
			failBefore: 0,
			cutAfter: 0,
			cutBefore: 0,
			callMs: null,
			faultPath: ""
		})
		this.callMs = callMs
		this.fence = new Fence(checksOrders)
		this.addRoutes()
	}

	truth(): ServiceTruth {
		return {
			runs: this.runs,
			running: this.concurrent,
			runsByKey: this.runsByKey.counts,
			runsByRequest: this.runsByRequest.counts,
			runsByBody: this.runsByBody.counts,
			peakConcurrent: this.peakConcurrent,
			staleOrdersAccepted: this.fence.staleAccepted,
			staleOrdersRefused: this.fence.staleRefused
		}
	}

	private addRoutes(): void {
		const {Booking, Filing} = Product
		this.route("POST", "/bookings", call => this.submit(call, Booking))
		this.route("POST", "/filings", call => this.submit(call, Filing))
		this.route("GET", "/orders/:id", call => this.readStatus(call, Booking))
		this.route("GET", "/filings/:id", call => this.readStatus(call, Filing))
	}

	private submit(call: Call, product: Product): Promise<Answer | undefined> {
		const body = submission.parse(parseJson(call))
		this.fence.check(call.req)
		return this.perform(call, () => {
			const id = this.record(call.req, body.order, product)
			return {...body, [product]: id}
		})
	}

	private readStatus(
		call: Call,
		product: Product
	): Promise<Answer | undefined> {
		const {id = ""} = call.params
		return this.perform(call, () => ({
			id,
			status: this.statuses[product].get(id) ?? "open"
		}))
	}

	/** Applies the counted faults around the effect of a call. */
	private async perform(
		call: Call,
		effect: () => object
	): Promise<Answer | undefined> {
		if (this.takeFault(call, "cutBefore")) {
			call.req.socket.destroy()
			return undefined
		}
		if (this.takeFault(call, "failBefore")) {
			const headers = notRunHeaders
			throw new HttpError(503, "service is unavailable", {headers})
		}
		const isCut = this.takeFault(call, "cutAfter")
		this.concurrent += 1
		this.peakConcurrent = Math.max(this.peakConcurrent, this.concurrent)
		const body = effect()
		await sleep(this.faults.callMs ?? this.callMs)
		this.concurrent -= 1
		if (!isCut) return {body}
		call.req.socket.destroy()
		return undefined
	}

	private takeFault({req}: Call, fault: CountedFault): boolean {
		if (this.faults[fault] === 0) return false
		if (req.url?.startsWith(this.faults.faultPath) !== true) return false
		this.faults[fault] -= 1
		return true
	}

	/** Counts a run and returns its number. */
	private record(req: Call["req"], order: string, product: Product): string {
		this.runs += 1
		const key = readHeader(req, "idempotency-key")
		const requestId = readHeader(req, "x-request-id")
		if (key !== undefined) this.runsByKey.add(key)
		if (requestId !== undefined) this.runsByRequest.add(requestId)
		this.runsByBody.add(order)
		const id = `${product}-${this.runs}`
		this.statuses[product].set(order, finalStatus[product])
		this.statuses[product].set(id, finalStatus[product])
		return id
	}
}
