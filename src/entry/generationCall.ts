/**
 * Runs one generation for a caller. Chooses an endpoint process, checks that
 * the streamed answer is complete and from the requested adapter, and retries
 * on another endpoint process where the route and the retry budget permit it.
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

/** Receives the answer for the caller. Nothing is called after `finish`. */
export interface GenerationSink {
	start(hostId: string, started: Started): void
	writeText(offset: number, text: string): void
	finish(finished: Finished, text: string): void
}

export interface GenerationCallOptions {
	route: Route
	req: RunRequest
	/** Adapter name that the engine must return in its events. */
	adapter: string
	query: Omit<RouteQuery, "excluded">
	fleet: Fleet
	router: Router
	budget: RetryBudget
	counters: Counters
	sink: GenerationSink
	/** Aborted when the caller closes the connection. */
	signal: AbortSignal
	/** Host that has the stream to resume; undefined for a new generation. */
	hostId?: string
}

type Attempt = {finished: Finished} | {failed: FailedOutcome}

const unroutableRetryAfterMs = 1000
/**
 * Maximum number of attempts, whatever their outcomes. After an unknown outcome,
 * `route.maxAttempts` applies as well.
 */
const maxTotalAttempts = 8
/**
 * After this many attempts, a request that is refused as overloaded is not
 * retried: the pool as a whole is taken to be overloaded.
 */
const maxOverloadAttempts = 2

/**
 * Reasons for not running a request after which another endpoint process may
 * run it. DEADLINE is not one of them: the estimate depends on the weight
 * store, which all processes share, so that another attempt would only add
 * load.
 */
const retryableReasons: ReadonlySet<NotRunReason> = new Set([
	NotRunReason.LEAVING,
	NotRunReason.UNREACHABLE,
	NotRunReason.NOT_CONFIGURED,
	NotRunReason.ENDPOINT_REFUSED,
	NotRunReason.LOAD_FAILED,
	NotRunReason.OVERLOADED
])

/**
 * Reasons that are not caused by load. Another attempt after one of them takes
 * nothing from the retry budget.
 */
const unbudgetedReasons: ReadonlySet<NotRunReason> = new Set([
	NotRunReason.LEAVING,
	NotRunReason.UNREACHABLE,
	NotRunReason.NOT_CONFIGURED
])

export class GenerationCall {
	attempts = 0
	private readonly excluded = new Set<string>()
	/** Text that was passed to the sink, over all attempts. */
	private forwardedText = ""
	private hasForwardedStart = false
	/** True once an engine has started the current attempt. */
	private hasAttemptStarted = false
	/** True once an attempt ended without a statement that it did not run. */
	private mayHaveRun = false

	constructor(private readonly options: GenerationCallOptions) {}

	/**
	 * Resolves to undefined once the sink has the complete answer, otherwise to
	 * the outcome of the last attempt, or to a refusal if none could be made.
	 */
	async run(): Promise<FailedOutcome | undefined> {
		const {budget} = this.options
		budget.addRequest(Date.now())
		let failed: FailedOutcome | undefined
		for (;;) {
			const link = this.chooseLink()
			if (link === undefined) return failed ?? this.createUnroutableOutcome()
			this.attempts += 1
			this.hasAttemptStarted = false
			const attempt = await this.attempt(link)
			if ("finished" in attempt) {
				this.options.sink.finish(attempt.finished, this.forwardedText)
				return undefined
			}
			failed = this.toFinalOutcome(attempt.failed)
			if (!this.canRetry(attempt.failed)) return failed
			this.excluded.add(link.hostId)
			this.options.counters.add("retry.generation")
		}
	}

	/** A refusal speaks for its own attempt only, not for those before it. */
	private toFinalOutcome(failed: FailedOutcome): FailedOutcome {
		this.mayHaveRun ||= isUnknown(failed)
		if (isUnknown(failed) || !this.mayHaveRun) return failed
		return unknownOutcome(Step.Forward, failed.peer, failed.detail)
	}

	private chooseLink(): EndpointLink | undefined {
		const {fleet, router, query, route, hostId} = this.options
		if (hostId !== undefined) {
			return this.attempts === 0 ? fleet.getLink(hostId) : undefined
		}
		const [first] = router.choose(
			{...query, excluded: this.excluded},
			fleet.listEndpointViews(route.pool),
			Date.now(),
			Math.random()
		)
		return first === undefined ? undefined : fleet.getLink(first)
	}

	private createUnroutableOutcome(): FailedOutcome {
		const detail = `no endpoint of pool ${this.options.route.pool} takes work`
		return notRunOutcome(
			NotRunReason.UNREACHABLE,
			detail,
			unroutableRetryAfterMs
		)
	}

	private canRetry(failed: FailedOutcome): boolean {
		const {signal, query, budget, route} = this.options
		const now = Date.now()
		if (this.options.hostId !== undefined) return false
		if (signal.aborted || now >= query.deadline) return false
		if (this.attempts >= maxTotalAttempts) return false
		if (isUnknown(failed)) {
			if (!route.idempotent || this.attempts >= route.maxAttempts) return false
			// A request that was still queued on the lost host caused no load there,
			// so its retry takes nothing from the budget.
			return !this.hasAttemptStarted || budget.tryRetry(now)
		}
		if (unbudgetedReasons.has(failed.reason)) return true
		const isOverload = failed.reason === NotRunReason.OVERLOADED
		if (isOverload && this.attempts >= maxOverloadAttempts) return false
		return retryableReasons.has(failed.reason) && budget.tryRetry(now)
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
				removeSuspectListener()
				resolve(attempt)
			}
			const fail = (step: Step, detail: string): void => {
				settle({failed: unknownOutcome(step, link.hostId, detail)})
				stream.cancel()
			}
			signal.addEventListener("abort", abort)
			// A frozen host keeps the stream open but sends nothing. When it becomes
			// suspect, the attempt of an idempotent request ends as unknown, so that
			// the request can be retried.
			const removeSuspectListener = link.onSuspect(() => {
				if (this.options.route.idempotent) fail(Step.Stream, "no heartbeat")
			})
			stream.on("data", ({event}: RunEvent) => {
				switch (event.case) {
					case "started":
						this.forwardStart(link.hostId, event.value)
						return
					case "chunk": {
						const verdict = check.addChunk(event.value)
						text += event.value.text
						const isPrefix = this.forwardText(text)
						if (verdict === StreamVerdict.Continues && isPrefix) return
						const fault = isPrefix ? verdict : "the rerun gave another text"
						fail(Step.Stream, fault)
						return
					}
					case "finished": {
						const verdict = check.finish(event.value)
						const isWhole = verdict === StreamVerdict.Whole
						if (isWhole && text.length >= this.forwardedText.length) {
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

	private forwardStart(hostId: string, started: Started): void {
		this.hasAttemptStarted = true
		if (this.hasForwardedStart) return
		this.hasForwardedStart = true
		this.options.sink.start(hostId, started)
	}

	/**
	 * Passes the part of `text` that is new to the caller to the sink. `text` is
	 * all that the current attempt has generated so far. Returns false if it
	 * differs from what earlier attempts passed on, since parts of two different
	 * answers must not be joined.
	 */
	private forwardText(text: string): boolean {
		const shared = Math.min(text.length, this.forwardedText.length)
		if (text.slice(0, shared) !== this.forwardedText.slice(0, shared))
			return false
		if (text.length <= this.forwardedText.length) return true
		const newText = text.slice(this.forwardedText.length)
		const offset = this.options.req.resumeOffset + this.forwardedText.length
		this.forwardedText = text
		this.options.sink.writeText(offset, newText)
		return true
	}
}
