/**
 * Sends calls to the plain services of this endpoint process. This process is
 * their only sender; calls that are not idempotent go through the claim log.
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
import {notRun, unknownOutcome} from "./generation.js"

export interface ServiceHostOptions {
	services: readonly ServiceClient[]
	claims: ClaimTask
	counters: Counters
	/** Calls each service runs at a time. */
	seats: number
	/** Calls held waiting before new ones are refused. */
	maxQueued: number
	/** Expected time of one call. */
	callMs: number
	onChange: () => void
	/** The service obeys a process with a higher fencing number. */
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
	/** Buckets whose keys are routed here, as far as the entries told. */
	private homes: ReadonlySet<number> = new Set()
	private nextService = 0
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

	/** Runs one call to its end. */
	async run(req: RunRequest): Promise<RunEvent["event"]> {
		if (this.isLeaving) {
			return notRun(NotRunReason.LEAVING, "the host is leaving")
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

	/** Takes the seats of each service and the expected time of a call. */
	configure(seats: number, callMs: number): void {
		this.queue.concurrency = seats * this.options.services.length
		this.callMs = callMs
	}

	/** Reads the claims of the keys that are routed to this process. */
	syncHomes(pool: string, selfId: string, hostIds: readonly string[]): void {
		const buckets = listHomeBuckets(pool, selfId, hostIds)
		const fresh = buckets.filter(bucket => !this.homes.has(bucket))
		this.homes = new Set(buckets)
		this.options.claims.sync(fresh)
	}

	/** Mints a key for calls that need no platform. */
	mintTicket(scope: KeyScope): {ticket: string; expiresAt: number} {
		return this.options.claims.mintTicket(scope)
	}

	/** Refuses new calls; resolves when the running ones are recorded. */
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
		if (isKeyed) return this.runClaimed(req)
		return this.runPlain(req)
	}

	/** Refuses at once a call that would still wait at its deadline. */
	private checkAdmission(req: RunRequest): RunEvent["event"] | undefined {
		const {maxQueued} = this.options
		const drainMs = (this.callMs * this.queue.size) / this.queue.concurrency
		if (this.queue.size >= maxQueued) {
			return this.refuse(NotRunReason.OVERLOADED, drainMs)
		}
		if (Date.now() + drainMs > req.deadlineMs) {
			return this.refuse(NotRunReason.DEADLINE, drainMs)
		}
		return undefined
	}

	private refuse(reason: NotRunReason, drainMs: number): RunEvent["event"] {
		this.options.counters.add("refused.service")
		const detail = `${this.queue.size} calls are waiting`
		return notRun(reason, detail, drainMs)
	}

	private async runPlain(req: RunRequest): Promise<RunEvent["event"]> {
		const result = await this.enqueue(req)
		switch (result.end) {
			case SendEnd.Answered:
				return answerEvent(result, false)
			case SendEnd.NotStarted:
				return notRun(
					NotRunReason.ENDPOINT_REFUSED,
					result.detail,
					result.retryAfterMs
				)
			case SendEnd.Unknown:
				return unknownOutcome(result.step, "", result.detail)
			default:
				return assertNever(result)
		}
	}

	private async runClaimed(req: RunRequest): Promise<RunEvent["event"]> {
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
		return explainClaim(result)
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
			return this.explainFailure(err)
		}
	}

	private explainFailure(err: unknown): SendResult {
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
		const service = services[this.nextService % services.length]
		this.nextService += 1
		if (service === undefined) throw new TypeError("no service is configured")
		return service
	}
}

/** Hash of all that makes two calls the same. */
function hashCall(req: RunRequest): string {
	const hash = createHash("sha256")
	hash.update(JSON.stringify([req.method, req.path, req.contentType]))
	hash.update(req.body)
	return hash.digest("base64url")
}

function explainClaim(result: ClaimResult): RunEvent["event"] {
	switch (result.type) {
		case ClaimResultType.Answered:
			return answerEvent(result, result.replayed)
		case ClaimResultType.NotRun:
			return notRun(
				refusalReasons[result.reason],
				result.detail,
				result.retryAfterMs
			)
		case ClaimResultType.Unknown:
			return unknownOutcome(result.step, "", result.detail)
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

function answerEvent(
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
