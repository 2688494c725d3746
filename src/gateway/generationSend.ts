/**
 * One send of a generation to an engine: splits the answer into whole events and
 * gives up on an engine that has gone silent, if another one can go on.
 */
import type {FleetEndpoint} from "../contract/fleet.js"
import type {AgentLink} from "./agentLink.js"
import {type CallEnd, EndpointCall} from "./endpointCall.js"
import {EventSplitter, type StreamEvent} from "./eventSplitter.js"
import type {GatewayContext, RoutedRequest} from "./gatewayContext.js"
import type {AnswerHead} from "./wire.js"

/** What a send goes by: an agent's grant, or what the engine held last. */
export interface SendTarget {
	endpoint: FleetEndpoint
	/** Absent when the engine's agent is gone. */
	link: AgentLink | undefined
	/** Key of the grant. */
	key: string
	engineId: string
	/** Version of the adapter that must serve; 0 for any. */
	version: number
	/** Expected time to the first event. */
	expectedMs: number
}

export interface GenerationSendOptions {
	ctx: GatewayContext
	request: RoutedRequest
	target: SendTarget
	/** Event after which the generation goes on. */
	resumeAfter: string | undefined
	/** Whether another engine could go on if this one were given up. */
	mayGiveUp: () => boolean
	onEvent: (answer: AnswerHead, event: StreamEvent) => void
	onEnd: (send: GenerationSend, end: CallEnd, detail: string) => void
}

/** An engine that is this far over its expected time counts as silent. */
const firstEventFactor = 3
const firstEventFloorMs = 1200
/** Silence in a running stream, in pauses that still count as on time. */
const silentGaps = 3
const silentFloorMs = 900
const httpOk = 200

export class GenerationSend {
	readonly target: SendTarget
	readonly sentAt: number
	/** Whether it was given up because the engine had gone silent. */
	isStalled = false
	private readonly options: GenerationSendOptions
	private readonly call: EndpointCall
	private readonly splitter = new EventSplitter()
	private readonly chunks: Buffer[] = []
	private isStarted = false
	private silenceTimer: NodeJS.Timeout | undefined

	constructor(options: GenerationSendOptions) {
		const {ctx, request, target, resumeAfter} = options
		const {exchange, route, body, deadline} = request
		this.options = options
		this.target = target
		this.sentAt = ctx.now()
		this.call = new EndpointCall({
			address: target.endpoint.address,
			wire: ctx.wire,
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
				onData: chunk => {
					this.receive(chunk)
				},
				onEnd: (end, detail) => {
					clearTimeout(this.silenceTimer)
					options.onEnd(this, end, detail)
				}
			}
		})
		const factorMs = target.expectedMs * firstEventFactor
		this.watchSilence(Math.max(firstEventFloorMs, factorMs))
	}

	get answer(): AnswerHead | undefined {
		return this.call.head
	}

	/** Body of an answer that is no stream. */
	get body(): Buffer {
		return Buffer.concat(this.chunks)
	}

	/** An event that has not ended means that the answer was cut. */
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
		const {answer} = this
		if (answer === undefined) return
		if (answer.status !== httpOk) {
			this.chunks.push(chunk)
			return
		}
		const {target, request, onEvent} = this.options
		for (const event of this.splitter.push(chunk)) {
			if (!this.isStarted) {
				this.isStarted = true
				target.link?.started(target.key)
			}
			onEvent(answer, event)
		}
		const gapMs = request.route.eventGapMs * silentGaps
		this.watchSilence(Math.max(silentFloorMs, gapMs))
	}

	private watchSilence(limitMs: number): void {
		clearTimeout(this.silenceTimer)
		if (!this.options.mayGiveUp()) return
		this.silenceTimer = setTimeout(() => {
			this.isStalled = true
			this.call.abort()
		}, limitMs)
	}
}
