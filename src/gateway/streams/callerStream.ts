/**
 * The stream of events that the caller of a generation receives: forwards events,
 * keeps the last one's id and binds the stream to the build that began it.
 */
import type {StreamOrigin as OriginNotice} from "../../contract/gen/grants_pb.js"
import {StreamBinding, type StreamOrigin} from "../../policy/streams/index.js"
import type {LogFields} from "../callers/callerExchange.js"
import type {StreamEvent} from "../sends/eventSplitter.js"
import type {GatewayContext, RoutedRequest} from "../gatewayContext.js"
import {findBuild, type SendTarget} from "../sends/sendTarget.js"
import {getStreamSpanMs} from "./index.js"
import type {ResponseHead} from "../wire.js"

export class CallerStream {
	/** Builds that may go on with the stream. */
	readonly binding = new StreamBinding()
	private lastId: string | undefined
	private lastAt: number | undefined
	/** Measured time from the choice of the engine to the first event. */
	private startedMs: number | undefined

	constructor(
		private readonly ctx: GatewayContext,
		private readonly request: RoutedRequest
	) {}

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
		if (event.id !== "") this.lastId = event.id
		exchange.writeEvent(event.bytes)
		this.lastAt = ctx.now()
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
