/**
 * Estimates of service and load times, as moving averages of measured ones.
 */
import type {Draft} from "./types.js"

export interface EstimatesOptions {
	msPerToken: number
	loadMs: number
}

/** Weight of the newest sample in each moving average. */
const smoothingFactor = 0.05
const initialServiceTimeRatio = 0.5
const minServiceTimeRatio = 0.02
const maxServiceTimeRatio = 4
const refusalDecayFactor = 0.98
/** Load time samples are capped at this multiple of the configured load time. */
const maxLoadFactor = 20

export class Estimates {
	private msPerToken: number
	private configuredLoadMs: number
	/** Mean ratio of the measured service time to the nominal one; above 1 if the
	 * engine is slower than configured. */
	private serviceTimeRatio = initialServiceTimeRatio
	private meanServiceMs: number | undefined
	/** Mean expected service time of admitted requests, used until a run ends. */
	private meanExpectedServiceMs: number | undefined
	private meanLoadMs: number

	constructor(options: EstimatesOptions) {
		this.msPerToken = options.msPerToken
		this.configuredLoadMs = options.loadMs
		this.meanLoadMs = options.loadMs
	}

	/** Applies new settings; measured averages are kept. */
	configure({msPerToken, loadMs}: EstimatesOptions): void {
		this.msPerToken = msPerToken
		this.configuredLoadMs = loadMs
	}

	/** Expected time of one load. */
	get loadMs(): number {
		return this.meanLoadMs
	}

	/** Expected time for which the request occupies a seat. */
	getServiceMs(draft: Draft): number {
		return this.getNominalServiceMs(draft) * this.serviceTimeRatio
	}

	/** Mean service time of recent runs, or an expected one until a run has ended. */
	getTypicalServiceMs(draft: Draft): number {
		return (
			this.meanServiceMs ??
			this.meanExpectedServiceMs ??
			this.getServiceMs(draft)
		)
	}

	addAdmitted(draft: Draft): void {
		const expected = this.getServiceMs(draft)
		const mean = this.meanExpectedServiceMs ?? expected
		this.meanExpectedServiceMs = mean + smoothingFactor * (expected - mean)
	}

	/** Time to generate all `maxTokens` at the configured `msPerToken`. */
	getNominalServiceMs(draft: Draft): number {
		return draft.maxTokens * this.msPerToken
	}

	addRun(draft: Draft, tookMs: number): void {
		const mean = this.meanServiceMs ?? tookMs
		this.meanServiceMs = mean + smoothingFactor * (tookMs - mean)
		const nominalMs = this.getNominalServiceMs(draft)
		if (nominalMs <= 0) return
		const ratio = clamp(
			tookMs / nominalMs,
			minServiceTimeRatio,
			maxServiceTimeRatio
		)
		this.serviceTimeRatio += smoothingFactor * (ratio - this.serviceTimeRatio)
	}

	addLoad(tookMs: number): void {
		const maxMs = this.configuredLoadMs * maxLoadFactor
		const sampleMs = clamp(tookMs, 0, maxMs)
		this.meanLoadMs += smoothingFactor * (sampleMs - this.meanLoadMs)
	}

	/**
	 * Lowers the estimate slightly after a request was refused because of its own
	 * service time alone. An estimate so high that every request is refused would
	 * otherwise never be corrected by a measured run.
	 */
	decayAfterRefusal(): void {
		this.serviceTimeRatio = Math.max(
			minServiceTimeRatio,
			this.serviceTimeRatio * refusalDecayFactor
		)
	}
}

function clamp(value: number, min: number, max: number): number {
	return Math.min(max, Math.max(min, value))
}
