/**
 * One send of a generation request to an engine. Splits the response into
 * complete events, and aborts the call when no stream data arrives in time and
 * another engine could resume.
 */
import type {FleetEndpoint} from "../contract/fleet.js"
import type {AgentLink} from "./agentLink.js"
import {type CallOutcome, EndpointCall} from "./endpointCall.js"
import {applySignals} from "./endpointSignals.js"
import {EventSplitter, type StreamEvent} from "./eventSplitter.js"
import type {GatewayContext, RoutedRequest} from "./gatewayContext.js"
import type {ResponseHead} from "./wire.js"

/**
 * Engine and adapter version of a send: those of an agent's grant or, while the
 * agent is disconnected, an engine chosen by its last known residency and the
 * newest announced version.
 */
export interface SendTarget {
	endpoint: FleetEndpoint
	/** Link to the agent that granted; absent when the agent is disconnected. */
	link: AgentLink | undefined
	/** Key of the grant; empty without an agent. */
	key: string
	engineId: string
	/** Adapter version that the engine must serve with; 0 for any. */
	version: number
	/** Expected time to the first event, milliseconds. */
	expectedMs: number
}

export interface GenerationSendOptions {
	ctx: GatewayContext
	request: RoutedRequest
	target: SendTarget
	/** Id of the last event delivered, when the generation is resumed. */
	resumeAfter: string | undefined
	/** Whether another engine could resume if this call were aborted. */
	mayGiveUp: () => boolean
	onEvent: (responseHead: ResponseHead, event: StreamEvent) => void
	onEnd: (send: GenerationSend, outcome: CallOutcome, detail: string) => void
}

/**
 * Multiple of the expected time to the first event after which an engine that has
 * sent no stream data counts as stalled.
 */
const firstEventTimeoutFactor = 3
const minFirstEventTimeoutMs = 1200
/**
 * Multiple of the route's event gap after which a stream without new data counts
 * as stalled.
 */
const eventGapTimeoutFactor = 3
const minEventGapTimeoutMs = 900
const httpOk = 200

export class GenerationSend {
	readonly target: SendTarget
	readonly sentAt: number
	/** Whether the call was aborted because no stream data arrived in time. */
	isStalled = false
	private readonly options: GenerationSendOptions
	private readonly call: EndpointCall
	private readonly splitter = new EventSplitter()
	private readonly chunks: Buffer[] = []
	private hasFirstEvent = false
	private stallTimer: NodeJS.Timeout | undefined

	constructor(options: GenerationSendOptions) {
		const {ctx, request, target, resumeAfter} = options
		const {exchange, route, body, deadline} = request
		this.options = options
		this.target = target
		this.sentAt = ctx.now()
		this.call = new EndpointCall({
			address: target.endpoint.address,
			wire: ctx.wire,
			connectTimeoutMs: ctx.connectTimeoutMs,
			head: exchange.head,
			headers: ctx.wire.encodeRequest(exchange.head, {
				endpointId: target.engineId,
				leftMs: deadline - ctx.now(),
				bodyBytes: body.length,
				adapterVersion: target.version,
				priority: route.priority,
				resumeAfter
			}),
			body,
			handlers: {
				onHead: responseHead => {
					applySignals(ctx, target.endpoint, responseHead, exchange.head.id)
				},
				onData: chunk => {
					this.receive(chunk)
				},
				onEnd: (outcome, detail) => {
					clearTimeout(this.stallTimer)
					options.onEnd(this, outcome, detail)
				}
			}
		})
		const factorMs = target.expectedMs * firstEventTimeoutFactor
		this.restartStallTimer(Math.max(minFirstEventTimeoutMs, factorMs))
	}

	get responseHead(): ResponseHead | undefined {
		return this.call.responseHead
	}

	/** Body of a response that is not a stream of events. */
	get body(): Buffer {
		return Buffer.concat(this.chunks)
	}

	/** Whether bytes of an incomplete event remain: the stream was truncated. */
	get hasPartialEvent(): boolean {
		return this.splitter.pendingBytes > 0
	}

	get wasSent(): boolean {
		return this.call.wasSent
	}

	abort(): void {
		this.call.abort()
	}

	private receive(chunk: Buffer): void {
		const {responseHead} = this
		if (responseHead === undefined) return
		if (responseHead.status !== httpOk) {
			this.chunks.push(chunk)
			return
		}
		const {target, request, onEvent} = this.options
		for (const event of this.splitter.push(chunk)) {
			if (!this.hasFirstEvent) {
				this.hasFirstEvent = true
				target.link?.notifyStarted(target.key)
			}
			onEvent(responseHead, event)
		}
		const gapMs = request.route.eventGapMs * eventGapTimeoutFactor
		this.restartStallTimer(Math.max(minEventGapTimeoutMs, gapMs))
	}

	/** Restarts the timer that aborts the call when no data arrives in time. */
	private restartStallTimer(limitMs: number): void {
		clearTimeout(this.stallTimer)
		if (!this.options.mayGiveUp()) return
		this.stallTimer = setTimeout(() => {
			this.isStalled = true
			this.call.abort()
		}, limitMs)
	}
}
