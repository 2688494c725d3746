/**
 * Stand-in for a plain service that books orders and lodges filings. It
 * executes every call, even one with an idempotency key that it has seen
 * before, so a test can count how often a call ran.
 */
import {z} from "zod"
import {sleep} from "../src/utils/common.js"
import {
	type Answer,
	type Call,
	commonFaultSchemas,
	type Counts,
	FencingTokenChecker,
	notRunHeaders,
	HttpError,
	type ListenOptions,
	noCommonFaults,
	parseJson,
	readHeader,
	StandinServer,
	KeyedCounter
} from "./common/index.js"

export interface ServiceOptions extends ListenOptions {
	/**
	 * Reject submissions without a fencing token or with a stale one; otherwise
	 * only count stale ones.
	 */
	checksOrders?: boolean
	callMs?: number
}

const serviceFaultsSchema = z.strictObject({
	...commonFaultSchemas,
	/** Number of next calls that are answered with 503 and not executed. */
	failBefore: z.number().int().min(0),
	/** Number of next calls that are executed and whose socket is then cut. */
	cutAfter: z.number().int().min(0),
	/** Number of next calls whose socket is cut and that are not executed. */
	cutBefore: z.number().int().min(0),
	/** Overrides the delay between a call's effect and its answer. */
	callMs: z.number().min(0).nullable(),
	/** Applies the faults with a count to paths with this prefix only. */
	faultPath: z.string()
})

export type ServiceFaults = z.infer<typeof serviceFaultsSchema>

export interface ServiceTruth {
	/** Executed submissions. */
	runs: number
	/** Submissions and status reads that were executed but not yet answered. */
	running: number
	/** Executions by idempotency key. */
	runsByKey: Counts
	/** Executions by request id. */
	runsByRequest: Counts
	/** Executions by the `order` field of the body. */
	runsByBody: Counts
	peakConcurrent: number
	/** Calls with a stale fencing token that were executed. */
	staleOrdersAccepted: number
	staleOrdersRefused: number
}

type CountedFault = "failBefore" | "cutAfter" | "cutBefore"

/** Other fields are accepted unchecked and returned in the answer. */
const submissionSchema = z.looseObject({order: z.string().min(1)})

/** The value names the field of the answer that holds the new id. */
enum SubmissionKind {
	Booking = "booking",
	Filing = "filing"
}

const finalStatus: Record<SubmissionKind, string> = {
	[SubmissionKind.Booking]: "booked",
	[SubmissionKind.Filing]: "lodged"
}

export function startService(
	options: ServiceOptions = {}
): Promise<ServiceStandin> {
	return new ServiceStandin(options).listen(options)
}

export class ServiceStandin extends StandinServer<ServiceFaults> {
	private readonly callMs: number
	private readonly tokenChecker: FencingTokenChecker
	private readonly runsByKey = new KeyedCounter()
	private readonly runsByRequest = new KeyedCounter()
	private readonly runsByBody = new KeyedCounter()
	private readonly statuses = {
		[SubmissionKind.Booking]: new Map<string, string>(),
		[SubmissionKind.Filing]: new Map<string, string>()
	}
	private runs = 0
	private runningCalls = 0
	private peakConcurrent = 0

	constructor({checksOrders = false, callMs = 40}: ServiceOptions) {
		super(serviceFaultsSchema.partial(), {
			...noCommonFaults,
			failBefore: 0,
			cutAfter: 0,
			cutBefore: 0,
			callMs: null,
			faultPath: ""
		})
		this.callMs = callMs
		this.tokenChecker = new FencingTokenChecker(checksOrders)
		this.addRoutes()
	}

	truth(): ServiceTruth {
		return {
			runs: this.runs,
			running: this.runningCalls,
			runsByKey: this.runsByKey.counts,
			runsByRequest: this.runsByRequest.counts,
			runsByBody: this.runsByBody.counts,
			peakConcurrent: this.peakConcurrent,
			staleOrdersAccepted: this.tokenChecker.staleAcceptedCount,
			staleOrdersRefused: this.tokenChecker.staleRefusedCount
		}
	}

	private addRoutes(): void {
		const {Booking, Filing} = SubmissionKind
		this.route("POST", "/bookings", call => this.submit(call, Booking))
		this.route("POST", "/filings", call => this.submit(call, Filing))
		this.route("GET", "/orders/:id", call => this.readStatus(call, Booking))
		this.route("GET", "/filings/:id", call => this.readStatus(call, Filing))
	}

	private submit(
		call: Call,
		kind: SubmissionKind
	): Promise<Answer | undefined> {
		const body = submissionSchema.parse(parseJson(call))
		this.tokenChecker.check(call.req)
		return this.executeWithFaults(call, () => {
			const id = this.recordExecution(call.req, body.order, kind)
			return {...body, [kind]: id}
		})
	}

	private readStatus(
		call: Call,
		kind: SubmissionKind
	): Promise<Answer | undefined> {
		const {id = ""} = call.params
		return this.executeWithFaults(call, () => ({
			id,
			status: this.statuses[kind].get(id) ?? "open"
		}))
	}

	/** Executes a call, unless a fault ends it before or cuts its answer after. */
	private async executeWithFaults(
		call: Call,
		effect: () => object
	): Promise<Answer | undefined> {
		if (this.consumeFault(call, "cutBefore")) {
			call.req.socket.destroy()
			return undefined
		}
		if (this.consumeFault(call, "failBefore")) {
			const headers = notRunHeaders
			throw new HttpError(503, "service is unavailable", {headers})
		}
		const isCut = this.consumeFault(call, "cutAfter")
		this.runningCalls += 1
		this.peakConcurrent = Math.max(this.peakConcurrent, this.runningCalls)
		const body = effect()
		await sleep(this.faults.callMs ?? this.callMs)
		this.runningCalls -= 1
		if (!isCut) return {body}
		call.req.socket.destroy()
		return undefined
	}

	private consumeFault({req}: Call, fault: CountedFault): boolean {
		if (this.faults[fault] === 0) return false
		if (req.url?.startsWith(this.faults.faultPath) !== true) return false
		this.faults[fault] -= 1
		return true
	}

	/** Counts an execution, stores its status and returns the new id. */
	private recordExecution(
		req: Call["req"],
		order: string,
		kind: SubmissionKind
	): string {
		this.runs += 1
		const key = readHeader(req, "idempotency-key")
		const requestId = readHeader(req, "x-request-id")
		if (key !== undefined) this.runsByKey.add(key)
		if (requestId !== undefined) this.runsByRequest.add(requestId)
		this.runsByBody.add(order)
		const id = `${kind}-${this.runs}`
		this.statuses[kind].set(order, finalStatus[kind])
		this.statuses[kind].set(id, finalStatus[kind])
		return id
	}
}
