/**
 * The stream of events that the caller of a generation receives: forwards events,
 * keeps the last one's id and binds the stream to the build that began it.
 */
import type {StreamOrigin as OriginNotice} from "../../contract/gen/grants_pb.js"
import {
	EventSequence,
	StreamBinding,
	type StreamOrigin
} from "../../policy/streams/index.js"
import type {LogFields} from "../callers/callerExchange.js"
import type {StreamEvent} from "../sends/eventSplitter.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"
import {findBuild, type SendTarget} from "../sends/sendTarget.js"
import {getStreamSpanMs} from "./index.js"
import type {ResponseHead} from "../wire.js"

/** Engines that have to agree that a stream is complete whose end was lost. */
const statementsOfEnd = 2

export class CallerStream {
	/** Builds that may go on with the stream. */
	readonly binding = new StreamBinding()
	private readonly sequence: EventSequence
	/** Engines that state that no event is left after the last one. */
	private readonly endStatements = new Set<string>()
	private lastId: string | undefined
	private lastAt: number | undefined
	/** Measured time from the choice of the engine to the first event. */
	private startedMs: number | undefined

	constructor(
		private readonly ctx: GatewayContext,
		private readonly request: RoutedRequest
	) {
		const {resumption} = request.exchange.head
		this.sequence = new EventSequence(resumption?.lastEventId)
	}

	/** Id of the last event that the caller received. */
	get lastEventId(): string | undefined {
		return this.lastId
	}

	/** What the log says of a stream that ends early. */
	get endFields(): LogFields {
		const {lastId, lastAt} = this
		const sinceEventMs =
			lastAt === undefined ? undefined : Math.round(this.ctx.now() - lastAt)
		return {lastEvent: lastId, sinceEventMs}
	}

	/** What the log says of the estimate by which the first engine was chosen. */
	getEstimateFields({ratedMs}: SendTarget): LogFields {
		return {ratedMs, startedMs: this.startedMs}
	}

	/** Why an event of an engine can't be the next one; undefined if it can. */
	findDefect({id}: StreamEvent, isFirstOfRun: boolean): string | undefined {
		return this.sequence.findDefect(id, isFirstOfRun)
	}

	forward(
		target: SendTarget,
		responseHead: ResponseHead,
		event: StreamEvent
	): void {
		const {ctx, request} = this
		const {exchange} = request
		if (!exchange.hasStarted) this.recordFirstEvent(target)
		this.noteBuild(target)
		exchange.startStream(responseHead)
		this.sequence.add(event.id)
		this.endStatements.clear()
		this.lastId = event.id
		exchange.writeEvent(event.bytes)
		this.lastAt = ctx.now()
	}

	/**
	 * Notes that an engine which was to go on with the stream has no event left of it.
	 * Returns whether that is proven: a faulty engine states it as well, so that it
	 * takes two.
	 */
	noteNoneLeft({endpoint}: SendTarget): boolean {
		this.endStatements.add(endpoint.id)
		return this.endStatements.size >= statementsOfEnd
	}

	/** Tells the agent of `target` where the stream began, if that is known. */
	createNotice(target: SendTarget): OriginNotice | undefined {
		const build = findBuild(this.ctx, target, getStreamSpanMs(this.request))
		if (build === undefined) return undefined
		return this.ctx.streams.createNotice(this.createOrigin(build))
	}

	/** Binds the stream to the build of its first engine once that is known. */
	private noteBuild(target: SendTarget): void {
		const {ctx, binding, request} = this
		const {hasStarted} = request.exchange
		if (binding.isKnown && hasStarted) return
		const build = findBuild(ctx, target, getStreamSpanMs(request))
		binding.bind(build)
		if (build === undefined) {
			// Without a grant, the build is unknown for lack of proof only.
			if (target.link !== undefined) ctx.streams.noteUnknownBuild(request.pool)
			return
		}
		const origin = this.createOrigin(build)
		ctx.streams.add(origin, target.endpoint.id)
		// The first event told the agent of no build.
		if (hasStarted)
			target.link?.announceOrigins([ctx.streams.createNotice(origin)])
	}

	/** The origin of the stream, to be known while its caller may resume it. */
	private createOrigin(build: string): StreamOrigin {
		const {ctx, request} = this
		const {id, resumption} = request.exchange.head
		const requestId = resumption?.originId ?? ""
		return {
			requestId: requestId === "" ? id : requestId,
			pool: request.pool,
			build,
			expiresAt: ctx.now() + getStreamSpanMs(request)
		}
	}

	/** Records the error of the estimate by which the engine was chosen. */
	private recordFirstEvent({ratedAt, ratedMs}: SendTarget): void {
		this.startedMs = Math.round(this.ctx.now() - ratedAt)
		this.ctx.metrics.observeEstimate(ratedMs, this.startedMs)
	}
}
