/**
 * What the answers of one route show: how long they are, in events and relative to
 * the maximum that callers state, how far hints are off, and how many tokens an
 * event has. All lengths are logarithms of a number of events.
 */
import {BoundedMap} from "./boundedMap.js"
import {RunningMean, RunningMedian} from "./runningStats.js"

export interface AnswerSubject {
	route: string
	/** Empty for none. */
	member: string
	/** `model/adapter`. */
	adapter: string
	/** The caller's estimate of the answer's length, in tokens. */
	lengthHint: number | undefined
	/** Longest answer that the caller takes, in tokens; 0 if it states none. */
	maxTokens: number
}

/** Members and adapters of a route whose deviation from it is remembered. */
const maxGroups = 1000
/** Answers at which a group's own mean weighs as much as that of the route. */
const groupPriorAnswers = 8
/** Bounds what a single hint that is far off adds to the error of hints. */
const maxLogError = Math.log(8)
/** Variance of the logarithm assumed before any answer: a factor of about 2. */
const initialVariance = 0.5
/** Answers as which `initialVariance` counts. */
const variancePriorAnswers = 3

/** Lengths of a route's answers by one measure, and by groups of requests. */
class LengthModel {
	private readonly all = new RunningMean()
	private readonly groups = new BoundedMap(maxGroups, () => new RunningMean())
	private readonly squaredError = new RunningMean()

	get count(): number {
		return this.all.count
	}

	get variance(): number {
		const {count, value} = this.squaredError
		const prior = variancePriorAnswers * initialVariance
		return (value * count + prior) / (count + variancePriorAnswers)
	}

	predict({member, adapter}: AnswerSubject): number {
		return (
			this.all.value +
			this.getDeviation(`m:${member}`) +
			this.getDeviation(`a:${adapter}`)
		)
	}

	add(subject: AnswerSubject, length: number): void {
		if (this.all.count > 0)
			this.squaredError.add((length - this.predict(subject)) ** 2)
		this.all.add(length)
		const deviation = length - this.all.value
		this.groups.use(`m:${subject.member}`).add(deviation)
		// What the Member explains is not counted for the adapter again.
		const rest = deviation - this.getDeviation(`m:${subject.member}`)
		this.groups.use(`a:${subject.adapter}`).add(rest)
	}

	private getDeviation(group: string): number {
		const mean = this.groups.peek(group)
		if (mean === undefined) return 0
		return (mean.value * mean.count) / (mean.count + groupPriorAnswers)
	}
}

export class RouteHistory {
	private readonly byEvents = new LengthModel()
	private readonly byMaximum = new LengthModel()
	/** Hinted tokens for each event; hints are right at the median. */
	private readonly tokensPerEvent = new RunningMedian()
	private readonly hintError = new RunningMean()
	/** Most events for each token of a stated maximum. */
	private peakShare = 0

	/** Answers without which lengths are unknown. */
	get hasAnswers(): boolean {
		return this.byEvents.count > 0
	}

	/** Logarithm of the tokens that an event has; undefined if unknown. */
	get logTokensPerEvent(): number | undefined {
		if (this.tokensPerEvent.count > 0) return this.tokensPerEvent.value
		// Without hints, the longest answers are taken to reach their maximum.
		return this.peakShare > 0 ? -Math.log(this.peakShare) : undefined
	}

	/** Weight of a hint against the answers before; the rest is theirs. */
	get hintWeight(): number {
		const {count, value} = this.hintError
		const prior = variancePriorAnswers * initialVariance
		const hintVariance =
			(value * count + prior) / (count + variancePriorAnswers)
		const variance = this.getModel(true).variance
		return variance / (variance + hintVariance)
	}

	/** Logarithm of the events that answers like this one had. */
	predict(subject: AnswerSubject): number {
		const model = this.getModel(subject.maxTokens > 0)
		const length = model.predict(subject)
		if (model === this.byEvents) return length
		return length + Math.log(subject.maxTokens)
	}

	add(subject: AnswerSubject, events: number): void {
		const {lengthHint, maxTokens} = subject
		const length = Math.log(events)
		if (lengthHint !== undefined && lengthHint > 0) {
			const ratio = Math.log(lengthHint) - length
			this.tokensPerEvent.add(ratio)
			const error = Math.abs(ratio - this.tokensPerEvent.value)
			this.hintError.add(Math.min(maxLogError, error) ** 2)
		}
		this.byEvents.add(subject, length)
		if (maxTokens <= 0) return
		this.byMaximum.add(subject, length - Math.log(maxTokens))
		this.peakShare = Math.max(this.peakShare, events / maxTokens)
	}

	/** The measure by which lengths vary less. */
	private getModel(hasMaximum: boolean): LengthModel {
		const {byEvents, byMaximum} = this
		const isUsable = hasMaximum && byMaximum.count > 0
		return isUsable && byMaximum.variance < byEvents.variance
			? byMaximum
			: byEvents
	}
}
