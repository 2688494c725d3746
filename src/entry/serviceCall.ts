/**
 * Runs one call to a plain service for a caller. A call that is not idempotent
 * is sent again only under its key, which the claim log protects.
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
	bucketOf,
	claimBuckets,
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
	/** Host that the caller's ticket is bound to, empty for none. */
	ticketHost: string
	fleet: Fleet
	router: Router
	budget: RetryBudget
	counters: Counters
	signal: AbortSignal
}

export type ServiceResult = {answer: Answer} | {failed: FailedOutcome}

type Attempt = ServiceResult | {redirect: string}

const retryAfterMs = 1000
const retryPauseMs = 200
const connectWaitMs = 1000
const runGraceMs = 500
const maxKeyedAttempts = 2
const maxAttempts = 8

const freeReroutes: ReadonlySet<NotRunReason> = new Set([
	NotRunReason.LEAVING,
	NotRunReason.UNREACHABLE,
	NotRunReason.NOT_CONFIGURED
])

export class ServiceCall {
	attempts = 0
	private readonly excluded = new Set<string>()
	private redirect = ""
	/** True once an attempt may have reached a service. */
	private mayHaveBeenSent = false

	constructor(private readonly options: ServiceCallOptions) {}

	async run(): Promise<ServiceResult> {
		this.options.budget.addRequest(Date.now())
		for (;;) {
			const link = this.chooseLink()
			if (link === undefined) return {failed: this.refuseUnroutable()}
			this.attempts += 1
			const attempt = await this.attempt(link)
			if ("answer" in attempt) return attempt
			if ("redirect" in attempt) {
				const failed = this.follow(attempt.redirect, link)
				if (failed !== undefined) return {failed}
				continue
			}
			if (!this.mayTryAgain(attempt.failed)) {
				return {failed: this.reportHonestly(attempt.failed)}
			}
			this.excluded.add(link.hostId)
			this.options.counters.add("retry.service")
			await sleep(retryPauseMs, this.options.signal)
		}
	}

	private get isKeyed(): boolean {
		const {req} = this.options
		return !req.idempotent && req.idempotencyKey !== ""
	}

	private chooseLink(): EndpointLink | undefined {
		const {fleet, ticketHost} = this.options
		if (this.redirect !== "") return fleet.linkAt(this.redirect)
		if (ticketHost !== "") return fleet.link(ticketHost)
		const [first] = this.isKeyed ? this.rankHomes() : this.rankByLoad()
		return first === undefined ? undefined : fleet.link(first)
	}

	/** Endpoint processes by preference for the key, so that retries meet. */
	private rankHomes(): string[] {
		const {fleet, route, req} = this.options
		const admitting = fleet.admitting(route.pool)
		const ranked = rankHomes(route.pool, this.bucket, admitting)
		const gone = fleet.recentlyAway(route.pool)
		const isFresh = req.firstAttempt && this.attempts === 0
		this.mayHaveBeenSent ||=
			!isFresh && hasMovedHome(route.pool, this.bucket, admitting, gone)
		req.mayHaveBeenSent = this.mayHaveBeenSent
		const fresh = ranked.filter(id => !this.excluded.has(id))
		return fresh.length > 0 ? fresh : ranked
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
			fleet.views(route.pool),
			Date.now(),
			Math.random()
		)
	}

	private get bucket(): number {
		const {req} = this.options
		const scope = {member: req.member, route: req.route}
		return bucketOf(scope, req.idempotencyKey, claimBuckets)
	}

	private refuseUnroutable(): FailedOutcome {
		const {route, ticketHost} = this.options
		if (this.redirect !== "") {
			const detail = "the host that runs this key is not reachable"
			return unknownOutcome(Step.Forward, this.redirect, detail)
		}
		const isFresh = this.options.req.firstAttempt && this.attempts === 0
		if (ticketHost !== "" && !isFresh) {
			const detail = `host ${ticketHost} of this ticket is not reachable`
			return unknownOutcome(Step.Forward, ticketHost, detail)
		}
		const detail = `no endpoint of pool ${route.pool} takes work`
		const refused = notRunOutcome(
			NotRunReason.UNREACHABLE,
			detail,
			retryAfterMs
		)
		return this.reportHonestly(refused)
	}

	/** A later refusal does not undo an earlier attempt that may have run. */
	private reportHonestly(failed: FailedOutcome): FailedOutcome {
		if (isUnknown(failed) || !this.mayHaveBeenSent || this.isKeyReuse(failed)) {
			return failed
		}
		return unknownOutcome(Step.Send, failed.peer, failed.detail)
	}

	private isKeyReuse(failed: FailedOutcome): boolean {
		return !isUnknown(failed) && failed.reason === NotRunReason.KEY_REUSED
	}

	private follow(
		address: string,
		link: EndpointLink
	): FailedOutcome | undefined {
		const isLoop = address === link.client.address
		if (!isLoop && this.attempts < maxAttempts) {
			this.redirect = address
			return undefined
		}
		const detail = "the host that runs this key could not be found"
		return unknownOutcome(Step.Forward, address, detail)
	}

	private mayTryAgain(failed: FailedOutcome): boolean {
		const {signal, req, budget, route} = this.options
		const now = Date.now()
		if (signal.aborted || now >= req.deadlineMs) return false
		if (this.redirect !== "" || this.attempts >= maxAttempts) return false
		if (isUnknown(failed)) {
			const limit = this.isKeyed ? maxKeyedAttempts : route.maxAttempts
			const isSafe = this.isKeyed || route.idempotent
			return isSafe && this.attempts < limit && budget.tryRetry(now)
		}
		if (freeReroutes.has(failed.reason)) return true
		const isRefused = failed.reason === NotRunReason.ENDPOINT_REFUSED
		return isRefused && budget.tryRetry(now)
	}

	private async attempt(link: EndpointLink): Promise<Attempt> {
		const {req} = this.options
		const isConnected = await link.client.waitForReady(
			Math.min(Date.now() + connectWaitMs, req.deadlineMs)
		)
		if (!isConnected) {
			const detail = `no connection to ${link.hostId}`
			const {UNREACHABLE} = NotRunReason
			return {
				failed: notRunOutcome(UNREACHABLE, detail, retryAfterMs, link.hostId)
			}
		}
		return this.send(link)
	}

	private send(link: EndpointLink): Promise<Attempt> {
		const {req, signal} = this.options
		const copy = create(RunRequestSchema, req)
		const stream = link.run(copy, copy.deadlineMs + runGraceMs)
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
				settle(this.read(event, link.hostId))
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

	private read(event: RunEvent["event"], hostId: string): Attempt {
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
