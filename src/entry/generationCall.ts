/**
 * Runs one generation for a caller: chooses an endpoint process, checks that
 * what comes back is whole and from the adapter named, and tries again where
 * that is permitted.
 */
import {create} from "@bufbuild/protobuf"
import {
	type Finished,
	NotRunReason,
	type RunEvent,
	type RunRequest,
	RunRequestSchema,
	type Started
} from "../contract/gen/link_pb.js"
import {Step} from "../contract/errors.js"
import type {Route} from "../contract/config/index.js"
import {
	type RetryBudget,
	type Router,
	type RouteQuery,
	StreamCheck,
	StreamVerdict
} from "../policy/index.js"
import type {Counters} from "../program/counters.js"
import {messageOf} from "../utils/common.js"
import type {EndpointLink} from "./endpointLink.js"
import type {Fleet} from "./fleet.js"
import {
	type FailedOutcome,
	isUnknown,
	notRunOutcome,
	unknownOutcome
} from "./outcome.js"

/** Receives what the caller gets; nothing is called after `finish`. */
export interface GenerationSink {
	start(hostId: string, started: Started): void
	text(offset: number, text: string): void
	finish(finished: Finished, text: string): void
}

export interface GenerationCallOptions {
	route: Route
	/** The request, complete but for the endpoint process it goes to. */
	req: RunRequest
	/** Name the engine must echo. */
	adapter: string
	query: Omit<RouteQuery, "excluded">
	fleet: Fleet
	router: Router
	budget: RetryBudget
	counters: Counters
	sink: GenerationSink
	/** Aborted when the caller goes away. */
	signal: AbortSignal
	/** The host that holds the stream, when one is resumed. */
	hostId?: string
}

type Attempt = {finished: Finished} | {failed: FailedOutcome}

const retryAfterMs = 1000
const maxReroutes = 8
/** Endpoint processes asked before a full queue is believed. */
const maxOverloadAttempts = 2

/**
 * Reasons for which another endpoint process may take the request. The
 * estimate that a deadline cannot be met rests on the weight store, which all
 * share, so asking another one only adds load.
 */
const reroutable: ReadonlySet<NotRunReason> = new Set([
	NotRunReason.LEAVING,
	NotRunReason.UNREACHABLE,
	NotRunReason.NOT_CONFIGURED,
	NotRunReason.ENDPOINT_REFUSED,
	NotRunReason.LOAD_FAILED,
	NotRunReason.OVERLOADED
])

/** Reasons that say nothing of load, so that moving on adds none. */
const freeReroutes: ReadonlySet<NotRunReason> = new Set([
	NotRunReason.LEAVING,
	NotRunReason.UNREACHABLE,
	NotRunReason.NOT_CONFIGURED
])

export class GenerationCall {
	/** Attempts made so far. */
	attempts = 0
	private readonly excluded = new Set<string>()
	/** Text that the caller holds. */
	private sent = ""
	private isStarted = false
	/** True once the endpoint began the present attempt. */
	private hasBegun = false

	constructor(private readonly options: GenerationCallOptions) {}

	/** Runs to the end; resolves to undefined when the answer is whole. */
	async run(): Promise<FailedOutcome | undefined> {
		const {budget} = this.options
		budget.addRequest(Date.now())
		let failed: FailedOutcome | undefined
		for (;;) {
			const link = this.chooseLink()
			if (link === undefined) return failed ?? this.refuseUnroutable()
			this.attempts += 1
			this.hasBegun = false
			const attempt = await this.attempt(link)
			if ("finished" in attempt) {
				this.options.sink.finish(attempt.finished, this.sent)
				return undefined
			}
			failed = attempt.failed
			if (!this.mayTryAgain(failed)) return failed
			this.excluded.add(link.hostId)
			this.options.counters.add("retry.generation")
		}
	}

	private chooseLink(): EndpointLink | undefined {
		const {fleet, router, query, route, hostId} = this.options
		if (hostId !== undefined) {
			return this.attempts === 0 ? fleet.link(hostId) : undefined
		}
		const [first] = router.choose(
			{...query, excluded: this.excluded},
			fleet.views(route.pool),
			Date.now(),
			Math.random()
		)
		return first === undefined ? undefined : fleet.link(first)
	}

	private refuseUnroutable(): FailedOutcome {
		const detail = `no endpoint of pool ${this.options.route.pool} takes work`
		return notRunOutcome(NotRunReason.UNREACHABLE, detail, retryAfterMs)
	}

	private mayTryAgain(failed: FailedOutcome): boolean {
		const {signal, query, budget, route} = this.options
		const now = Date.now()
		if (this.options.hostId !== undefined) return false
		if (signal.aborted || now >= query.deadline) return false
		if (this.attempts >= maxReroutes) return false
		if (isUnknown(failed)) {
			if (!route.idempotent || this.attempts >= route.maxAttempts) return false
			// A request that was only queued has cost the lost host nothing.
			return !this.hasBegun || budget.tryRetry(now)
		}
		if (freeReroutes.has(failed.reason)) return true
		const isOverload = failed.reason === NotRunReason.OVERLOADED
		if (isOverload && this.attempts >= maxOverloadAttempts) return false
		return reroutable.has(failed.reason) && budget.tryRetry(now)
	}

	private attempt(link: EndpointLink): Promise<Attempt> {
		const {req, signal, adapter} = this.options
		const stream = link.run(create(RunRequestSchema, req))
		const check = new StreamCheck({adapter, offset: req.resumeOffset})
		let text = ""
		return new Promise(resolve => {
			const abort = (): void => {
				stream.cancel()
			}
			const settle = (attempt: Attempt): void => {
				signal.removeEventListener("abort", abort)
				forgetSuspicion()
				resolve(attempt)
			}
			const fail = (step: Step, detail: string): void => {
				settle({failed: unknownOutcome(step, link.hostId, detail)})
				stream.cancel()
			}
			signal.addEventListener("abort", abort)
			// A frozen host holds the stream open without sending anything.
			const forgetSuspicion = link.onSuspect(() => {
				if (this.options.route.idempotent) fail(Step.Stream, "no heartbeat")
			})
			stream.on("data", ({event}: RunEvent) => {
				switch (event.case) {
					case "started":
						this.noteStart(link.hostId, event.value)
						return
					case "chunk": {
						const verdict = check.addChunk(event.value)
						text += event.value.text
						const isPrefix = this.forward(text)
						if (verdict === StreamVerdict.Continues && isPrefix) return
						const what = isPrefix ? verdict : "the rerun gave another text"
						fail(Step.Stream, what)
						return
					}
					case "finished": {
						const verdict = check.finish(event.value)
						const isWhole = verdict === StreamVerdict.Whole
						if (isWhole && text.length >= this.sent.length) {
							settle({finished: event.value})
						} else fail(Step.Answer, verdict)
						return
					}
					case "notRun": {
						const {reason, detail, retryAfterMs} = event.value
						const peer = link.hostId
						settle({failed: notRunOutcome(reason, detail, retryAfterMs, peer)})
						return
					}
					case "unknown": {
						const {step, peer, detail} = event.value
						settle({failed: unknownOutcome(step, peer, detail)})
						return
					}
					default:
						fail(Step.Stream, `unexpected event ${event.case ?? "none"}`)
				}
			})
			stream.on("error", err => {
				fail(Step.Stream, messageOf(err))
			})
			stream.on("end", () => {
				fail(Step.Stream, check.close())
			})
		})
	}

	private noteStart(hostId: string, started: Started): void {
		this.hasBegun = true
		if (this.isStarted) return
		this.isStarted = true
		this.options.sink.start(hostId, started)
	}

	/**
	 * Passes on what the caller lacks of `text`. Returns false when a rerun
	 * does not begin with what the caller holds: two answers are never joined.
	 */
	private forward(text: string): boolean {
		const shared = Math.min(text.length, this.sent.length)
		if (text.slice(0, shared) !== this.sent.slice(0, shared)) return false
		if (text.length <= this.sent.length) return true
		const fresh = text.slice(this.sent.length)
		const offset = this.options.req.resumeOffset + this.sent.length
		this.sent = text
		this.options.sink.text(offset, fresh)
		return true
	}
}
