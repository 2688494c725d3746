/**
 * Estimates of service and load times, learned from those that ended.
 */
import type {Draft} from "./types.js"

export interface EstimatesOptions {
	msPerToken: number
	loadMs: number
}

const smoothing = 0.05
const initialTokenRatio = 0.5
const minTokenRatio = 0.02
const maxTokenRatio = 4
const probeFactor = 0.98
const maxLoadFactor = 20

export class Estimates {
	private msPerToken: number
	private configuredLoadMs: number
	private tokenRatio = initialTokenRatio
	private meanServiceMs: number | undefined
	/** Mean expectation of what was admitted, until a run has ended. */
	private expectedServiceMs: number | undefined
	private meanLoadMs: number

	constructor(options: EstimatesOptions) {
		this.msPerToken = options.msPerToken
		this.configuredLoadMs = options.loadMs
		this.meanLoadMs = options.loadMs
	}

	/** Takes new expectations; what was learned is kept. */
	configure({msPerToken, loadMs}: EstimatesOptions): void {
		this.msPerToken = msPerToken
		this.configuredLoadMs = loadMs
	}

	/** Expected time of one load, in milliseconds. */
	get loadMs(): number {
		return this.meanLoadMs
	}

	/** Expected time a request occupies a seat, in milliseconds. */
	serviceMs(draft: Draft): number {
		return this.longestServiceMs(draft) * this.tokenRatio
	}

	/** Mean seat time of recent requests; expected ones until one has ended. */
	typicalServiceMs(draft: Draft): number {
		return this.meanServiceMs ?? this.expectedServiceMs ?? this.serviceMs(draft)
	}

	addAdmitted(draft: Draft): void {
		const expected = this.serviceMs(draft)
		const mean = this.expectedServiceMs ?? expected
		this.expectedServiceMs = mean + smoothing * (expected - mean)
	}

	longestServiceMs(draft: Draft): number {
		return draft.maxTokens * this.msPerToken
	}

	addRun(draft: Draft, tookMs: number): void {
		const mean = this.meanServiceMs ?? tookMs
		this.meanServiceMs = mean + smoothing * (tookMs - mean)
		const longest = this.longestServiceMs(draft)
		if (longest <= 0) return
		const ratio = clamp(tookMs / longest, minTokenRatio, maxTokenRatio)
		this.tokenRatio += smoothing * (ratio - this.tokenRatio)
	}

	addLoad(tookMs: number): void {
		const most = this.configuredLoadMs * maxLoadFactor
		const took = clamp(tookMs, 0, most)
		this.meanLoadMs += smoothing * (took - this.meanLoadMs)
	}

	/**
	 * Lowers the estimate a little after a request was refused on it alone, as
	 * an estimate that refuses everything would never be corrected.
	 */
	probe(): void {
		this.tokenRatio = Math.max(minTokenRatio, this.tokenRatio * probeFactor)
	}
}

function clamp(value: number, least: number, most: number): number {
	return Math.min(most, Math.max(least, value))
}
