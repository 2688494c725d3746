/**
 * The predicted and the seen length of one generation's answer. Predicts when the
 * first engine is searched, counts the events that the caller receives and lets the
 * forecast learn from the end.
 */
import {slotKey} from "../../contract/fleet.js"
import {
	type AnswerSubject,
	getRemainingTokens,
	type OutputPrediction
} from "../../policy/costs/index.js"
import type {LogFields} from "../callers/callerExchange.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"
import type {GenerationHead} from "../wire.js"

export class OutputTracker {
	private readonly subject: AnswerSubject
	private readonly prediction: OutputPrediction | undefined
	private readonly isResumption: boolean
	private events = 0
	private hasEnded = false

	constructor(
		private readonly ctx: GatewayContext,
		request: RoutedRequest,
		generation: GenerationHead
	) {
		const {model, adapter, lengthHint, outputTokens} = generation
		this.subject = {
			route: request.route.name,
			member: request.member?.name ?? "",
			adapter: slotKey(model, adapter),
			lengthHint,
			maxTokens: outputTokens
		}
		this.isResumption = request.exchange.head.resumption !== undefined
		this.prediction = ctx.forecast.predict(this.subject)
	}

	/** Tokens that are still expected; 0 if nothing is known of such answers. */
	get expectedTokens(): number {
		const {prediction, subject, events, ctx} = this
		if (prediction === undefined) return 0
		const remaining = getRemainingTokens({
			expectedTokens: prediction.tokens,
			producedTokens: ctx.forecast.countTokens(subject.route, events) ?? 0,
			maxTokens: subject.maxTokens
		})
		return Math.round(remaining)
	}

	noteEvent(): void {
		this.events += 1
	}

	/**
	 * Learns from the end of the answer. Returns what the log says of it; nothing
	 * where nothing was predicted.
	 */
	end(isWhole: boolean): LogFields {
		const {ctx, subject, prediction, events} = this
		// A resumed stream lacks the events that the caller has already.
		if (this.hasEnded || this.isResumption) return {}
		this.hasEnded = true
		const seen = ctx.forecast.add(subject, prediction, {events, isWhole})
		if (prediction === undefined) return {}
		if (isWhole && seen !== undefined) {
			const {isHinted} = prediction
			const ratio = seen.tokens / prediction.tokens
			ctx.metrics.observeOutputPrediction(isHinted, ratio)
		}
		return {
			predictedTokens: Math.round(prediction.tokens),
			hint: subject.lengthHint,
			seenEvents: events,
			seenTokens: seen === undefined ? undefined : Math.round(seen.tokens)
		}
	}
}
