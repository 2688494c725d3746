/**
 * Predicts how many tokens a generation will produce, from the caller's hint, the
 * maximum that it states and the answers so far of its route, Member and adapter.
 *
 * - Answers are counted in events. How many tokens an event has is learned from
 *   hints, which are right at the median.
 * - The hint and the answers so far are combined in proportion to how exact each has
 *   been, by the variance of the logarithm.
 * - A factor learned from the answers so far makes the sum of predictions the sum of
 *   what is seen: costs are sums, and the median of a skewed distribution is less
 *   than its mean.
 * - Nothing is predicted until a hint or an endpoint's pace was seen, so that
 *   deployments without them are served as before; and nothing at all where operators
 *   have not permitted it.
 */
import {BoundedMap} from "./boundedMap.js"
import {type AnswerSubject, RouteHistory} from "./routeHistory.js"
import {RunningMean} from "./runningStats.js"

export interface OutputPrediction {
	/** Mean of the tokens expected. */
	tokens: number
	/** Tokens expected before the correction of the mean. */
	rawTokens: number
	isHinted: boolean
}

/** What a whole answer had. */
export interface OutputSeen {
	tokens: number
}

/** Routes remembered; a configuration has far fewer. */
const maxRoutes = 500
/** Answers as which "predictions are right" counts before any answer. */
const priorAnswers = 10
/** Limits on the correction of the mean. */
const maxCorrection = 4

interface RouteRecord {
	history: RouteHistory
	/** Means of predicted and of seen tokens, without and with a hint. */
	predicted: [RunningMean, RunningMean]
	seen: [RunningMean, RunningMean]
}

export class OutputForecast {
	private readonly routes = new BoundedMap<RouteRecord>(maxRoutes, () => ({
		history: new RouteHistory(),
		predicted: [new RunningMean(), new RunningMean()],
		seen: [new RunningMean(), new RunningMean()]
	}))
	private enabled = false

	/** Without permission nothing is ever predicted. */
	constructor(private readonly isPermitted = true) {}

	/** Whether a hint or an endpoint's pace was seen. */
	get isEnabled(): boolean {
		return this.enabled
	}

	enable(): void {
		this.enabled = this.isPermitted
	}

	/** Undefined if nothing is known of such answers. */
	predict(subject: AnswerSubject): OutputPrediction | undefined {
		const {lengthHint: hint = 0, maxTokens} = subject
		const isHinted = hint > 0
		if (isHinted) this.enable()
		if (!this.enabled) return undefined
		const record = this.routes.peek(subject.route)
		const rawTokens = predictRaw(record?.history, subject, hint)
		if (rawTokens === undefined) return undefined
		const corrected = rawTokens * getCorrection(record, isHinted)
		const tokens = maxTokens > 0 ? Math.min(maxTokens, corrected) : corrected
		return {tokens: Math.max(1, tokens), rawTokens, isHinted}
	}

	/**
	 * Learns from an answer of `events` events. One that broke off counts only if it
	 * was longer than predicted by then. Returns undefined while the tokens of an
	 * event are unknown, or if nothing was learned.
	 */
	add(
		subject: AnswerSubject,
		prediction: OutputPrediction | undefined,
		{events, isWhole}: {events: number; isWhole: boolean}
	): OutputSeen | undefined {
		if (!this.enabled || events <= 0) return undefined
		const record = this.routes.use(subject.route)
		const {history} = record
		const logTokens = history.logTokensPerEvent
		const isLonger =
			prediction !== undefined &&
			logTokens !== undefined &&
			events * Math.exp(logTokens) > prediction.tokens
		if (!isWhole && !isLonger) return undefined
		history.add(subject, events)
		const tokens = this.countTokens(subject.route, events)
		if (tokens === undefined) return undefined
		if (prediction !== undefined) {
			const index = prediction.isHinted ? 1 : 0
			record.predicted[index].add(prediction.rawTokens)
			record.seen[index].add(tokens)
		}
		return {tokens}
	}

	/** Tokens of that many events of a route; undefined if unknown. */
	countTokens(route: string, events: number): number | undefined {
		const logTokens = this.routes.peek(route)?.history.logTokensPerEvent
		return logTokens === undefined ? undefined : events * Math.exp(logTokens)
	}
}

function predictRaw(
	history: RouteHistory | undefined,
	subject: AnswerSubject,
	hint: number
): number | undefined {
	const logTokensPerEvent = history?.logTokensPerEvent
	const isKnown = history?.hasAnswers === true
	if (!isKnown || logTokensPerEvent === undefined)
		return hint > 0 ? hint : undefined
	const past = history.predict(subject) + logTokensPerEvent
	if (hint <= 0) return Math.exp(past)
	const weight = history.hintWeight
	return Math.exp(weight * Math.log(hint) + (1 - weight) * past)
}

/** Seen by predicted tokens of the answers so far. */
function getCorrection(
	record: RouteRecord | undefined,
	isHinted: boolean
): number {
	if (record === undefined) return 1
	const index = isHinted ? 1 : 0
	const {count, value: predicted} = record.predicted[index]
	if (count === 0 || predicted <= 0) return 1
	const ratio = record.seen[index].value / predicted
	const bounded = Math.min(maxCorrection, Math.max(1 / maxCorrection, ratio))
	return (bounded * count + priorAnswers) / (count + priorAnswers)
}
