/** Prometheus counters, gauges and histograms of a gateway. */
import {Counter, Gauge, Histogram, Registry} from "prom-client"

/** What the caller of a request received. */
export enum RequestOutcome {
	/**
	 * The endpoint's response with a status below 500, or its complete stream, was
	 * forwarded.
	 */
	Answered = "answered",
	/** The request did not run; the caller was told when to retry. */
	Refused = "refused",
	/** Its Member is over its quota; as `Refused`. */
	OverQuota = "overQuota",
	/** The request did not run, and the caller was told not to repeat it. */
	TurnedAway = "turnedAway",
	/** The request may have run, and its result is not known. */
	Unknown = "unknown",
	/** The endpoint's 5xx response was forwarded. */
	Failed = "failed",
	/** The caller disconnected before the response was complete. */
	Abandoned = "abandoned",
	/** The stream was aborted before its last event. */
	Cut = "cut",
	/** The caller's request was invalid. */
	Rejected = "rejected"
}

/** What an endpoint stated about itself in a response. */
export enum EndpointSignal {
	Leaving = "leaving",
	/** It wants no requests for a time. */
	Pause = "pause",
	/** As `Pause`, but the time can't be decoded or is not positive. */
	UnusablePause = "unusablePause",
	/** It stated or changed the requests a second that it takes, or takes any again. */
	Limit = "limit",
	UnusableLimit = "unusableLimit"
}

/** Closest together around the latency objectives of calls and first events. */
const latencyBucketsSeconds = [
	0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 4, 8, 15
]

/** Negative when the first event arrived earlier than estimated. */
const estimateErrorBucketsSeconds = [
	-2, -1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2
]

/** Predictions are within a factor of 2 where hints and the past are of use. */
const outputRatioBuckets = [0.1, 0.25, 0.5, 0.8, 1.25, 2, 4, 10]

export class GatewayMetrics {
	readonly registry = new Registry()
	private readonly requests = new Counter({
		name: "goldcrestloom_requests_total",
		help: "Requests by kind of route and outcome",
		labelNames: ["kind", "outcome"],
		registers: [this.registry]
	})
	private readonly firstByte = new Histogram({
		name: "goldcrestloom_first_byte_seconds",
		help: "Time from a request to the first byte of its answer",
		labelNames: ["kind"],
		buckets: latencyBucketsSeconds,
		registers: [this.registry]
	})
	private readonly estimateError = new Histogram({
		name: "goldcrestloom_estimate_error_seconds",
		help: "Time to the first event less what it was expected to be",
		buckets: estimateErrorBucketsSeconds,
		registers: [this.registry]
	})
	private readonly outputRatio = new Histogram({
		name: "goldcrestloom_output_prediction_ratio",
		help: "Tokens of a whole answer by those predicted; hinted says from what",
		labelNames: ["hinted"],
		buckets: outputRatioBuckets,
		registers: [this.registry]
	})
	private readonly sends = new Counter({
		name: "goldcrestloom_sends_total",
		help: "Requests sent to endpoints by how the call ended",
		labelNames: ["pool", "end"],
		registers: [this.registry]
	})
	private readonly signals = new Counter({
		name: "goldcrestloom_endpoint_signals_total",
		help: "Statements of endpoints about themselves in responses",
		labelNames: ["signal"],
		registers: [this.registry]
	})
	private readonly denials = new Counter({
		name: "goldcrestloom_denied_requests_total",
		help: "Decisions not to accept or not to send a request because of its key",
		labelNames: ["reason"],
		registers: [this.registry]
	})
	private readonly quotaResults = new Counter({
		name: "goldcrestloom_quota_results_total",
		help: "Asks for shares of Members' quotas, by result",
		labelNames: ["result"],
		registers: [this.registry]
	})
	private readonly confirms = new Counter({
		name: "goldcrestloom_config_confirms_total",
		help: "Questions to other gateways whether the configuration is the newest",
		labelNames: ["result"],
		registers: [this.registry]
	})
	private readonly dependencyLosses = new Counter({
		name: "goldcrestloom_dependency_losses_total",
		help: "Losses of a dependency",
		labelNames: ["dependency"],
		registers: [this.registry]
	})
	private readonly connectionCloses = new Counter({
		name: "goldcrestloom_connection_closes_total",
		help: "Callers' connections that the gateway closed, by reason",
		labelNames: ["reason"],
		registers: [this.registry]
	})
	private readonly bufferOverflows = new Counter({
		name: "goldcrestloom_buffer_overflows_total",
		help: "Requests that ended because the process's buffers were full, by what they held",
		labelNames: ["part"],
		registers: [this.registry]
	})
	private readonly readPauses = new Counter({
		name: "goldcrestloom_read_pauses_total",
		help: "Pauses in reading an engine whose caller had too much unread",
		registers: [this.registry]
	})
	private readonly lateRefusals = new Counter({
		name: "goldcrestloom_late_refusals_total",
		help: "Requests that were to be refused as not run although they may have run",
		labelNames: ["status"],
		registers: [this.registry]
	})
	private readBufferedBytes: () => number = () => 0
	/** Parts of prompts with which requests are turned away, and whole requests. */
	readonly accusedParts = new Gauge({
		name: "goldcrestloom_accused_prompt_parts",
		help: "Parts of prompts and requests that are taken to crash endpoints",
		registers: [this.registry]
	})
	readonly activeRequests = new Gauge({
		name: "goldcrestloom_active_requests",
		help: "Requests being served",
		registers: [this.registry]
	})

	constructor() {
		const read = (): number => this.readBufferedBytes()
		new Gauge({
			name: "goldcrestloom_buffered_bytes",
			help: "Bytes of requests and responses that the process holds for its callers",
			registers: [this.registry],
			collect() {
				this.set(read())
			}
		})
	}

	/** Sets where the gauge of buffered bytes reads its value. */
	watchBufferedBytes(read: () => number): void {
		this.readBufferedBytes = read
	}

	countBufferOverflow(part: string): void {
		this.bufferOverflows.inc({part})
	}

	countReadPause(): void {
		this.readPauses.inc()
	}

	countLateRefusal(status: number): void {
		this.lateRefusals.inc({status})
	}

	countRequest(kind: string, outcome: RequestOutcome): void {
		this.requests.inc({kind, outcome})
	}

	countSend(pool: string, end: string): void {
		this.sends.inc({pool, end})
	}

	countSignal(signal: EndpointSignal): void {
		this.signals.inc({signal})
	}

	countDenial(reason: string): void {
		this.denials.inc({reason})
	}

	countQuota(result: string): void {
		this.quotaResults.inc({result})
	}

	countConfirm(result: string): void {
		this.confirms.inc({result})
	}

	/** Registers the age that the gauge of the proof states at each scrape. */
	setProofAgeSource(getAgeMs: () => number): void {
		new Gauge({
			name: "goldcrestloom_config_proof_age_seconds",
			help: "Time since the configuration was proven to be the newest",
			registers: [this.registry],
			collect() {
				this.set(getAgeMs() / 1000)
			}
		})
	}

	countLoss(dependency: string): void {
		this.dependencyLosses.inc({dependency})
	}

	countConnectionClose(reason: string): void {
		this.connectionCloses.inc({reason})
	}

	/** Records the error of an estimated time to the first event. */
	observeEstimate(expectedMs: number, actualMs: number): void {
		this.estimateError.observe((actualMs - expectedMs) / 1000)
	}

	/** Records the seen by the predicted length of an answer. */
	observeOutputPrediction(isHinted: boolean, ratio: number): void {
		this.outputRatio.observe({hinted: String(isHinted)}, ratio)
	}

	observeFirstByte(kind: string, elapsedMs: number): void {
		this.firstByte.observe({kind}, elapsedMs / 1000)
	}
}
