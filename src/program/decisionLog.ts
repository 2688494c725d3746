/**
 * Structured log of decisions, one JSON line each on standard output. The
 * volume is bounded: beyond a number of lines a second, lines are left out and
 * counted, and the count is logged with the next line that fits. Lines about
 * what a process believes always have room.
 */
import winston from "winston"

export interface DecisionLogOptions {
	role: string
	host: string
	/** Lines a second that concern single requests. */
	linesPerSecond?: number
	now?: () => number
	/** Where lines go; standard output when absent. */
	transport?: winston.transport
}

/** Twice the requests that a small host serves in a second. */
const defaultLinesPerSecond = 120

export class DecisionLog {
	private readonly logger: winston.Logger
	private readonly linesPerSecond: number
	private readonly now: () => number
	private room: number
	private filledAt: number
	private omitted = 0

	constructor(options: DecisionLogOptions) {
		const {role, host} = options
		this.linesPerSecond = options.linesPerSecond ?? defaultLinesPerSecond
		this.now = options.now ?? (() => performance.now())
		this.room = this.linesPerSecond
		this.filledAt = this.now()
		this.logger = winston.createLogger({
			level: "info",
			defaultMeta: {role, host},
			format: winston.format.combine(
				winston.format.timestamp(),
				winston.format.json()
			),
			// winston's declarations of transports and of formats disagree.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
			transports: [options.transport ?? new winston.transports.Console()]
		})
	}

	/** Logs a change of belief, a start, a stop or a lost dependency. */
	decide(event: string, inputs: Record<string, unknown> = {}): void {
		this.logger.info(event, inputs)
	}

	/** Logs a decision about one request, if there is room for it. */
	request(event: string, id: string, inputs: Record<string, unknown>): void {
		this.fill()
		if (this.room < 1) {
			this.omitted += 1
			return
		}
		this.room -= 1
		const {omitted} = this
		this.omitted = 0
		const missing = omitted > 0 ? {omitted} : {}
		this.logger.info(event, {request: id, ...inputs, ...missing})
	}

	private fill(): void {
		const now = this.now()
		const gained = ((now - this.filledAt) * this.linesPerSecond) / 1000
		this.room = Math.min(this.linesPerSecond, this.room + gained)
		this.filledAt = now
	}
}
