/**
 * Runs one call to a plain service for a caller. When an attempt's outcome is
 * unknown, the call is sent again only if it is idempotent or has an
 * idempotency key. The claim log, or the process that minted the ticket, then
 * prevents a second run.
 */
import {create} from "@bufbuild/protobuf"
import type * as grpc from "@grpc/grpc-js"
import type {Route} from "../contract/config/index.js"
import {Step} from "../contract/errors.js"
import {
	type Answer,
	NotRunReason,
	type RunEvent,
	type RunRequest,
	RunRequestSchema
} from "../contract/gen/link_pb.js"
import {
	computeBucket,
	claimBucketCount,
	hasMovedHome,
	rankHomes
} from "../policy/claimHome.js"
import type {RetryBudget, Router} from "../policy/index.js"
import type {Counters} from "../program/counters.js"
import {messageOf, sleep} from "../utils/common.js"
import type {EndpointLink} from "./endpointLink.js"
import type {Fleet} from "./fleet.js"
import {
	type FailedOutcome,
	isUnknown,
	notRunOutcome,
	unknownOutcome
} from "./outcome.js"

export interface ServiceCallOptions {
	route: Route
	req: RunRequest
	failureDomain: string
	/** Host that minted the caller's ticket; empty if the key is no ticket. */
	ticketHost: string
	fleet: Fleet
	router: Router
	budget: RetryBudget
	counters: Counters
	signal: AbortSignal
}

export type ServiceResult = {answer: Answer} | {failed: FailedOutcome}

type Attempt = ServiceResult | {redirect: string}

const unroutableRetryAfterMs = 1000
const retryDelayMs = 200
const connectTimeoutMs = 1000
/**
 * Added to the request's deadline, so that the endpoint process can send its
 * outcome before gRPC ends the stream.
 */
const rpcDeadlineMarginMs = 500
/**
 * Limits the attempts of a call with a key after an unknown outcome, in place of
 * `route.maxAttempts`.
 */
const maxKeyedAttempts = 2
/** Maximum number of attempts, whatever their outcomes; redirects count too. */
const maxTotalAttempts = 8

/**
 * Reasons that are not caused by load. Another attempt after one of them takes
 * nothing from the retry budget.
 */
const unbudgetedReasons: ReadonlySet<NotRunReason> = new Set([
	NotRunReason.LEAVING,
	NotRunReason.UNREACHABLE,
	NotRunReason.NOT_CONFIGURED
])

export class ServiceCall {
	attempts = 0
	private readonly excluded = new Set<string>()
	private redirectAddress = ""
	/**
	 * True once this or an earlier request may have sent the call to a service.
	 */
	private mayHaveBeenSent = false

	constructor(private readonly options: ServiceCallOptions) {}

	async run(): Promise<ServiceResult> {
		this.options.budget.addRequest(Date.now())
		for (;;) {
			const link = this.chooseLink()
			if (link === undefined) return {failed: this.createUnroutableOutcome()}
			this.attempts += 1
			const attempt = await this.attempt(link)
			if ("answer" in attempt) return attempt
			if ("redirect" in attempt) {
				const failed = this.followRedirect(attempt.redirect, link)
				if (failed !== undefined) return {failed}
				continue
			}
			if (!this.canRetry(attempt.failed)) {
				return {failed: this.toFinalOutcome(attempt.failed)}
			}
			this.excluded.add(link.hostId)
			this.options.counters.add("retry.service")
			await sleep(retryDelayMs, this.options.signal)
		}
	}

	private get isKeyed(): boolean {
		const {req} = this.options
		return !req.idempotent && req.idempotencyKey !== ""
	}

	private chooseLink(): EndpointLink | undefined {
		const {fleet, ticketHost} = this.options
		if (this.redirectAddress !== "")
			return fleet.findLinkByAddress(this.redirectAddress)
		if (ticketHost !== "") return fleet.getLink(ticketHost)
		const [first] = this.isKeyed ? this.rankByHome() : this.rankByLoad()
		return first === undefined ? undefined : fleet.getLink(first)
	}

	/**
	 * Ranks the endpoint processes by rendezvous hashing of the key's bucket, so
	 * that entries with the same host list try the same process first. Leaves out
	 * processes on which an attempt failed, unless one failed on each. Also sets
	 * `mayHaveBeenSent` if a process that is unavailable now would have been the
	 * home, since it may have sent an earlier attempt.
	 */
	private rankByHome(): string[] {
		const {fleet, route, req} = this.options
		const admitting = fleet.listAdmittingHosts(route.pool)
		const ranked = rankHomes(route.pool, this.bucket, admitting)
		const unavailable = fleet.listRecentlyUnavailable(route.pool)
		const isFirstUse = req.firstAttempt && this.attempts === 0
		this.mayHaveBeenSent ||=
			!isFirstUse &&
			hasMovedHome(route.pool, this.bucket, admitting, unavailable)
		req.mayHaveBeenSent = this.mayHaveBeenSent
		const untried = ranked.filter(id => !this.excluded.has(id))
		return untried.length > 0 ? untried : ranked
	}

	private rankByLoad(): string[] {
		const {fleet, router, route, req, failureDomain} = this.options
		return router.choose(
			{
				adapter: "",
				class: route.class,
				member: req.member,
				deadline: req.deadlineMs,
				prefixHash: 0,
				excluded: this.excluded,
				failureDomain
			},
			fleet.listEndpointViews(route.pool),
			Date.now(),
			Math.random()
		)
	}

	private get bucket(): number {
		const {req} = this.options
		const scope = {member: req.member, route: req.route}
		return computeBucket(scope, req.idempotencyKey, claimBucketCount)
	}

	private createUnroutableOutcome(): FailedOutcome {
		const {route, ticketHost} = this.options
		if (this.redirectAddress !== "") {
			const detail = "the host that runs this key is not reachable"
			return unknownOutcome(Step.Forward, this.redirectAddress, detail)
		}
		const isFirstUse = this.options.req.firstAttempt && this.attempts === 0
		if (ticketHost !== "" && !isFirstUse) {
			const detail = `host ${ticketHost} of this ticket is not reachable`
			return unknownOutcome(Step.Forward, ticketHost, detail)
		}
		const detail = `no endpoint of pool ${route.pool} takes work`
		const refused = notRunOutcome(
			NotRunReason.UNREACHABLE,
			detail,
			unroutableRetryAfterMs
		)
		return this.toFinalOutcome(refused)
	}

	/**
	 * Turns a refusal into an unknown outcome if an earlier attempt may have been
	 * sent, and so may have run. The refusal of a key reused with another body
	 * remains.
	 */
	private toFinalOutcome(failed: FailedOutcome): FailedOutcome {
		if (isUnknown(failed) || !this.mayHaveBeenSent || this.isKeyReuse(failed)) {
			return failed
		}
		return unknownOutcome(Step.Send, failed.peer, failed.detail)
	}

	private isKeyReuse(failed: FailedOutcome): boolean {
		return !isUnknown(failed) && failed.reason === NotRunReason.KEY_REUSED
	}

	private followRedirect(
		address: string,
		link: EndpointLink
	): FailedOutcome | undefined {
		const isLoop = address === link.client.address
		if (!isLoop && this.attempts < maxTotalAttempts) {
			this.redirectAddress = address
			return undefined
		}
		const detail = "the host that runs this key could not be found"
		return unknownOutcome(Step.Forward, address, detail)
	}

	private canRetry(failed: FailedOutcome): boolean {
		const {signal, req, budget, route} = this.options
		const now = Date.now()
		if (signal.aborted || now >= req.deadlineMs) return false
		if (this.redirectAddress !== "" || this.attempts >= maxTotalAttempts)
			return false
		if (isUnknown(failed)) {
			const limit = this.isKeyed ? maxKeyedAttempts : route.maxAttempts
			const isSafe = this.isKeyed || route.idempotent
			return isSafe && this.attempts < limit && budget.tryRetry(now)
		}
		if (unbudgetedReasons.has(failed.reason)) return true
		const isRefused = failed.reason === NotRunReason.ENDPOINT_REFUSED
		return isRefused && budget.tryRetry(now)
	}

	private async attempt(link: EndpointLink): Promise<Attempt> {
		const {req} = this.options
		const isConnected = await link.client.waitForReady(
			Math.min(Date.now() + connectTimeoutMs, req.deadlineMs)
		)
		if (!isConnected) {
			const detail = `no connection to ${link.hostId}`
			const {UNREACHABLE} = NotRunReason
			return {
				failed: notRunOutcome(
					UNREACHABLE,
					detail,
					unroutableRetryAfterMs,
					link.hostId
				)
			}
		}
		return this.send(link)
	}

	private send(link: EndpointLink): Promise<Attempt> {
		const {req, signal} = this.options
		const copy = create(RunRequestSchema, req)
		const stream = link.run(copy, copy.deadlineMs + rpcDeadlineMarginMs)
		return new Promise(resolve => {
			const abort = (): void => {
				stream.cancel()
			}
			const settle = (attempt: Attempt): void => {
				signal.removeEventListener("abort", abort)
				resolve(attempt)
			}
			signal.addEventListener("abort", abort)
			stream.on("data", ({event}: RunEvent) => {
				settle(this.toAttempt(event, link.hostId))
			})
			stream.on("error", (err: grpc.ServiceError) => {
				this.mayHaveBeenSent = true
				const detail = messageOf(err)
				settle({failed: unknownOutcome(Step.Forward, link.hostId, detail)})
			})
			stream.on("end", () => {
				this.mayHaveBeenSent = true
				const detail = "the link ended without an answer"
				settle({failed: unknownOutcome(Step.Answer, link.hostId, detail)})
			})
		})
	}

	private toAttempt(event: RunEvent["event"], hostId: string): Attempt {
		switch (event.case) {
			case "answer":
				return {answer: event.value}
			case "redirect":
				return {redirect: event.value.address}
			case "notRun": {
				const {reason, detail, retryAfterMs: waitMs} = event.value
				return {failed: notRunOutcome(reason, detail, waitMs, hostId)}
			}
			case "unknown": {
				this.mayHaveBeenSent = true
				const {step, peer, detail} = event.value
				return {failed: unknownOutcome(step, peer || hostId, detail)}
			}
			default: {
				this.mayHaveBeenSent = true
				const detail = `unexpected event ${event.case ?? "none"}`
				return {failed: unknownOutcome(Step.Answer, hostId, detail)}
			}
		}
	}
}
