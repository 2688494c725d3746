/** Counters and latency histograms of a gateway. */
import {Counter, Gauge, Histogram, Registry} from "prom-client"

/** How a request ended for its caller. */
export enum Outcome {
	Answered = "answered",
	/** Not run; the caller was told when to come back. */
	Refused = "refused",
	/** It may have run. */
	Unknown = "unknown",
	/** The endpoint's own failure was passed on. */
	Failed = "failed",
	/** The caller left first. */
	Abandoned = "abandoned",
	/** A stream ended before its last event. */
	Cut = "cut",
	Rejected = "rejected"
}

/** Seconds; around the objectives of calls and of first events. */
const latencyBuckets = [
	0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 4, 8, 15
]

/** Seconds; negative where the first event came sooner than expected. */
const errorBuckets = [
	-2, -1, -0.5, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.5, 1, 2
]

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
		buckets: latencyBuckets,
		registers: [this.registry]
	})
	private readonly estimateError = new Histogram({
		name: "goldcrestloom_estimate_error_seconds",
		help: "Time to the first event less what it was expected to be",
		buckets: errorBuckets,
		registers: [this.registry]
	})
	private readonly sends = new Counter({
		name: "goldcrestloom_sends_total",
		help: "Requests sent to endpoints by how the call ended",
		labelNames: ["pool", "end"],
		registers: [this.registry]
	})
	private readonly lost = new Counter({
		name: "goldcrestloom_dependency_losses_total",
		help: "Losses of a dependency",
		labelNames: ["dependency"],
		registers: [this.registry]
	})
	readonly active = new Gauge({
		name: "goldcrestloom_active_requests",
		help: "Requests being served",
		registers: [this.registry]
	})

	countRequest(kind: string, outcome: Outcome): void {
		this.requests.inc({kind, outcome})
	}

	countSend(pool: string, end: string): void {
		this.sends.inc({pool, end})
	}

	countLoss(dependency: string): void {
		this.lost.inc({dependency})
	}

	observeEstimate(expectedMs: number, actualMs: number): void {
		this.estimateError.observe((actualMs - expectedMs) / 1000)
	}

	observeFirstByte(kind: string, elapsedMs: number): void {
		this.firstByte.observe({kind}, elapsedMs / 1000)
	}
}
