/**
 * Queues calls and sends them to the plain services of this endpoint process,
 * which is their only sender. A call that is not idempotent and has an
 * idempotency key is sent through `ClaimTask`, which runs it at most once.
 */
import {createHash} from "node:crypto"
import {Step} from "../contract/errors.js"
import {
	type Answer,
	NotRunReason,
	type RunEvent,
	type RunRequest
} from "../contract/gen/link_pb.js"
import {
	type ServiceAnswer,
	type ServiceClient,
	ServiceError
} from "../link/serviceClient.js"
import {ClaimRefusal, ClaimResultType, SendEnd} from "../policy/claimTypes.js"
import {type KeyScope, listHomeBuckets} from "../policy/claimHome.js"
import type {Counters} from "../program/counters.js"
import {assertNever, messageOf} from "../utils/common.js"
import {type CallQueue, createCallQueue} from "./callQueue.js"
import type {ClaimResult, ClaimTask, SendResult} from "./claims/index.js"
import {createNotRunEvent, createUnknownEvent} from "./generation.js"

export interface ServiceHostOptions {
	services: readonly ServiceClient[]
	claims: ClaimTask
	counters: Counters
	/** Number of calls that each service runs at a time. */
	seats: number
	/** Number of waiting calls at which new ones are refused. */
	maxQueued: number
	/** Expected duration of one call. */
	callMs: number
	onChange: () => void
	/** Called when a service has seen a higher fencing number. */
	onFenced: (service: string, detail: string) => void
}

const refusalReasons: Record<ClaimRefusal, NotRunReason> = {
	[ClaimRefusal.Deadline]: NotRunReason.DEADLINE,
	[ClaimRefusal.PlatformUnavailable]: NotRunReason.PLATFORM_UNAVAILABLE,
	[ClaimRefusal.KeyReused]: NotRunReason.KEY_REUSED,
	[ClaimRefusal.TicketExpired]: NotRunReason.TICKET_EXPIRED,
	[ClaimRefusal.TicketInvalid]: NotRunReason.TICKET_EXPIRED,
	[ClaimRefusal.EndpointRefused]: NotRunReason.ENDPOINT_REFUSED
}

export class ServiceHost {
	private readonly options: ServiceHostOptions
	private readonly queue: CallQueue
	private readonly inFlight = new Set<Promise<unknown>>()
	/**
	 * Claim buckets whose home is this process by the host list that an entry
	 * sent last. An entry with another list may route their keys elsewhere.
	 */
	private homeBuckets: ReadonlySet<number> = new Set()
	private nextServiceIndex = 0
	private callMs: number
	private isLeaving = false

	constructor(options: ServiceHostOptions) {
		this.options = options
		this.callMs = options.callMs
		const seats = options.seats * options.services.length
		this.queue = createCallQueue(seats)
	}

	get running(): number {
		return this.queue.pending
	}

	get queued(): number {
		return this.queue.size
	}

	get seats(): number {
		return this.queue.concurrency
	}

	/** Runs one call and returns its terminal event. */
	async run(req: RunRequest): Promise<RunEvent["event"]> {
		if (this.isLeaving) {
			return createNotRunEvent(NotRunReason.LEAVING, "the host is leaving")
		}
		const refusal = this.checkAdmission(req)
		if (refusal !== undefined) return refusal
		const work = this.dispatch(req)
		this.inFlight.add(work)
		try {
			return await work
		} finally {
			this.inFlight.delete(work)
			this.options.onChange()
		}
	}

	/** Sets the seats of each service and the expected duration of a call. */
	configure(seats: number, callMs: number): void {
		this.queue.concurrency = seats * this.options.services.length
		this.callMs = callMs
	}

	/**
	 * Determines the buckets whose home is this process, and reads the claim log
	 * of those that are new since the previous call.
	 */
	syncHomeBuckets(
		pool: string,
		selfId: string,
		hostIds: readonly string[]
	): void {
		const buckets = listHomeBuckets(pool, selfId, hostIds)
		const added = buckets.filter(bucket => !this.homeBuckets.has(bucket))
		this.homeBuckets = new Set(buckets)
		this.options.claims.prefetchLogs(added)
	}

	/** Mints a ticket: an idempotency key whose call needs no platform write. */
	mintTicket(scope: KeyScope): {ticket: string; expiresAt: number} {
		return this.options.claims.mintTicket(scope)
	}

	/**
	 * Refuses new calls. Resolves when the accepted ones have ended and the claim
	 * log has been flushed, or the flush has timed out.
	 */
	async drain(): Promise<void> {
		this.isLeaving = true
		await Promise.allSettled([...this.inFlight])
		await this.options.claims.flush()
	}

	close(): void {
		this.options.claims.stop()
	}

	private dispatch(req: RunRequest): Promise<RunEvent["event"]> {
		const isKeyed = !req.idempotent && req.idempotencyKey !== ""
		if (isKeyed) return this.runWithClaim(req)
		return this.runWithoutClaim(req)
	}

	/**
	 * Refuses a call when the queue is full, or when the expected wait in the
	 * queue goes beyond the call's deadline.
	 */
	private checkAdmission(req: RunRequest): RunEvent["event"] | undefined {
		const {maxQueued} = this.options
		const queueDelayMs =
			(this.callMs * this.queue.size) / this.queue.concurrency
		if (this.queue.size >= maxQueued) {
			return this.refuse(NotRunReason.OVERLOADED, queueDelayMs)
		}
		if (Date.now() + queueDelayMs > req.deadlineMs) {
			return this.refuse(NotRunReason.DEADLINE, queueDelayMs)
		}
		return undefined
	}

	private refuse(
		reason: NotRunReason,
		queueDelayMs: number
	): RunEvent["event"] {
		this.options.counters.add("refused.service")
		const detail = `${this.queue.size} calls are waiting`
		return createNotRunEvent(reason, detail, queueDelayMs)
	}

	private async runWithoutClaim(req: RunRequest): Promise<RunEvent["event"]> {
		const result = await this.enqueue(req)
		switch (result.end) {
			case SendEnd.Answered:
				return createAnswerEvent(result, false)
			case SendEnd.NotStarted:
				return createNotRunEvent(
					NotRunReason.ENDPOINT_REFUSED,
					result.detail,
					result.retryAfterMs
				)
			case SendEnd.Unknown:
				return createUnknownEvent(result.step, "", result.detail)
			default:
				return assertNever(result)
		}
	}

	private async runWithClaim(req: RunRequest): Promise<RunEvent["event"]> {
		const call = {
			scope: {member: req.member, route: req.route},
			key: req.idempotencyKey,
			bodyHash: hashCall(req),
			deadline: req.deadlineMs,
			ticket: req.ticket,
			mayHaveBeenSent: req.mayHaveBeenSent,
			isFirstAttempt: req.firstAttempt
		}
		const result = await this.options.claims.run(call, () => this.enqueue(req))
		return toTerminalEvent(result)
	}

	private async enqueue(req: RunRequest): Promise<SendResult> {
		this.options.onChange()
		return this.queue.add(() => this.send(req), {
			class: req.class,
			deadline: req.deadlineMs
		})
	}

	private async send(req: RunRequest): Promise<SendResult> {
		if (Date.now() >= req.deadlineMs) {
			const detail = "the deadline passed before the call was sent"
			return {end: SendEnd.NotStarted, detail, retryAfterMs: 0}
		}
		const service = this.chooseService()
		try {
			const answer = await service.call({
				requestId: req.requestId,
				method: req.method,
				path: req.path,
				body: req.body,
				contentType: req.contentType,
				idempotencyKey: req.idempotencyKey,
				deadline: req.deadlineMs
			})
			this.options.counters.add("service.answered")
			return {end: SendEnd.Answered, ...answer}
		} catch (err) {
			return this.classifyFailure(err)
		}
	}

	private classifyFailure(err: unknown): SendResult {
		const detail = messageOf(err)
		if (err instanceof ServiceError && err.isNotRun) {
			this.options.counters.add("service.refused")
			if (err.isFenced) this.options.onFenced(err.peer, detail)
			const retryAfterMs = this.callMs
			return {end: SendEnd.NotStarted, detail, retryAfterMs}
		}
		this.options.counters.add("service.unknown")
		return {end: SendEnd.Unknown, step: Step.Send, detail}
	}

	private chooseService(): ServiceClient {
		const {services} = this.options
		const service = services[this.nextServiceIndex % services.length]
		this.nextServiceIndex += 1
		if (service === undefined) throw new TypeError("no service is configured")
		return service
	}
}

/** Hashes method, path, content type and body: a repeated call has the same. */
function hashCall(req: RunRequest): string {
	const hash = createHash("sha256")
	hash.update(JSON.stringify([req.method, req.path, req.contentType]))
	hash.update(req.body)
	return hash.digest("base64url")
}

function toTerminalEvent(result: ClaimResult): RunEvent["event"] {
	switch (result.type) {
		case ClaimResultType.Answered:
			return createAnswerEvent(result, result.replayed)
		case ClaimResultType.NotRun:
			return createNotRunEvent(
				refusalReasons[result.reason],
				result.detail,
				result.retryAfterMs
			)
		case ClaimResultType.Unknown:
			return createUnknownEvent(result.step, "", result.detail)
		case ClaimResultType.Redirect: {
			const {address, incarnation} = result
			return {
				case: "redirect",
				value: {
					$typeName: "goldcrestloom.link.v1.Redirect",
					address,
					incarnation
				}
			}
		}
		default:
			return assertNever(result)
	}
}

function createAnswerEvent(
	{status, contentType, body}: ServiceAnswer,
	replayed: boolean
): RunEvent["event"] {
	const value: Answer = {
		$typeName: "goldcrestloom.link.v1.Answer",
		status,
		contentType,
		body,
		replayed
	}
	return {case: "answer", value}
}
