/**
 * Structured log of decisions, as JSON lines on standard output. A token bucket
 * limits the lines about single requests: lines above the rate are dropped and
 * counted, and the next line that is logged carries the count as `omitted`.
 * Lines about state changes are never dropped.
 */
import winston from "winston"
import {faultEvent, FaultRate} from "./faultRate.js"
import {getStandardOutput, printError} from "./logOutput.js"
import {createLogTransport} from "./logTransport.js"

export interface DecisionLogOptions {
	role: string
	host: string
	/** Rate limit of the lines about single requests; also the burst size. */
	linesPerSecond?: number
	now?: () => number
	/** Standard output by default. */
	transport?: winston.transport
}

/** Twice the requests per second that a small host serves. */
const defaultLinesPerSecond = 120

export class DecisionLog {
	private readonly logger: winston.Logger
	private readonly linesPerSecond: number
	private readonly now: () => number
	private tokens: number
	private refilledAt: number
	private omitted = 0
	private readonly faults: FaultRate

	constructor(options: DecisionLogOptions) {
		const {role, host} = options
		this.linesPerSecond = options.linesPerSecond ?? defaultLinesPerSecond
		this.now = options.now ?? (() => performance.now())
		this.tokens = this.linesPerSecond
		this.refilledAt = this.now()
		this.faults = new FaultRate(this.now)
		this.logger = winston.createLogger({
			level: "info",
			defaultMeta: {role, host},
			format: winston.format.combine(
				winston.format.timestamp(),
				winston.format.json()
			),
			transports: [
				options.transport ??
					createLogTransport(getStandardOutput(), {role, host})
			]
		})
	}

	/** Logs a state change, such as a start, a stop or a lost dependency. */
	decide(event: string, inputs: Record<string, unknown> = {}): void {
		this.logger.info(event, inputs)
	}

	/** Logs a decision about one request, unless the rate limit is reached. */
	request(event: string, id: string, inputs: Record<string, unknown>): void {
		this.refill()
		if (this.tokens < 1) {
			this.omitted += 1
			return
		}
		this.tokens -= 1
		const {omitted} = this
		this.omitted = 0
		const omittedField = omitted > 0 ? {omitted} : {}
		this.logger.info(event, {request: id, ...inputs, ...omittedField})
	}

	/**
	 * Logs an exception that was caught at a boundary, so that only what is inside of
	 * that ended, also on standard error. Lines above a rate are left out; each carries
	 * the number of faults.
	 */
	fault(
		where: string,
		err: unknown,
		inputs: Record<string, unknown> = {}
	): void {
		const fields = this.faults.admit(where, err)
		if (fields === undefined) return
		this.logger.error(faultEvent, {...fields, ...inputs})
		printError(`${faultEvent} in ${where}: ${fields.stack ?? fields.error}`)
	}

	private refill(): void {
		const now = this.now()
		const newTokens = ((now - this.refilledAt) * this.linesPerSecond) / 1000
		this.tokens = Math.min(this.linesPerSecond, this.tokens + newTokens)
		this.refilledAt = now
	}
}
