/**
 * The gRPC stream to the agent of one engine. Sends grant requests, routes each
 * response to the request that asked, and reports the engine's state. Reconnects
 * after a failure.
 */
import {create} from "@bufbuild/protobuf"
import {
	type AgentMessage,
	type EngineLimits,
	type EngineState,
	type GatewayMessage,
	GatewayMessageSchema,
	RefuseReason
} from "../contract/gen/grants_pb.js"
import {type OpenGrantStream, openGrantStream} from "../link/fleetLink.js"
import type {TlsKeys} from "../link/tls.js"

/** The agent's permission to send one request to its engine. */
export interface AgentGrant {
	engineId: string
	version: number
	expectedMs: number
}

export interface AgentRefusal {
	reason: RefuseReason
	retryAfterMs: number
	/** Estimated time to the first event; 0 when the engine is unavailable. */
	expectedMs: number
}

export interface AskHandlers {
	onGrant(grant: AgentGrant): void
	onRefuse(refusal: AgentRefusal): void
	/** The link failed before the agent responded. */
	onLost(): void
}

export type AskBody = Extract<GatewayMessage["body"], {case: "ask"}>["value"]

export interface AgentLinkOptions {
	/** `ip:port` of the agent. */
	address: string
	/** Host name of this gateway. */
	gateway: string
	tls?: TlsKeys | undefined
	/** Monotonic milliseconds. */
	now: () => number
	getLimits: () => EngineLimits | undefined
	getEngineId: () => string
	onState(state: EngineState): void
	/** Another gateway heard that an endpoint is leaving. */
	onLeaving(endpointId: string, bornAt: number): void
	onUp(): void
	onDown(reason: string): void
}

const heartbeatMs = 600
/**
 * A longer gap since the last send means that this process was paused. The agent
 * may then have cancelled this gateway's grants: it drops a gateway from which
 * it receives nothing for 2 s.
 */
const maxSendGapMs = 1500
/** Receive timeout. An agent sends at least three messages in this time. */
const receiveTimeoutMs = 2000
/** Timeout for the agent's first message on a new stream. */
const firstMessageTimeoutMs = 1000
const reconnectDelayMs = 500

export class AgentLink {
	private openStream: OpenGrantStream | undefined
	private readonly pendingAsks = new Map<string, AskHandlers>()
	private isUp = false
	private lastReceivedAt = 0
	private lastSentAt = 0
	private openedAt = 0
	private reconnectAt = 0
	private isClosed = false

	constructor(private readonly options: AgentLinkOptions) {
		this.connect()
	}

	get address(): string {
		return this.options.address
	}

	/**
	 * Asks the agent for a grant. Calls exactly one of the handlers, or none if
	 * `notifyEnded` is called first.
	 */
	ask(ask: AskBody, handlers: AskHandlers): void {
		this.failAfterPause()
		if (!this.isUp) {
			handlers.onLost()
			return
		}
		this.pendingAsks.set(ask.key, handlers)
		this.send({case: "ask", value: ask})
	}

	/** Tells the agent that the first event of a granted request arrived. */
	notifyStarted(key: string): void {
		this.send({case: "started", value: key})
	}

	/**
	 * Tells the agent that a granted request ended or a queued one is cancelled.
	 * `isMisplaced` states that the engine did not hold what the grant said.
	 */
	notifyEnded(key: string, isMisplaced = false): void {
		this.pendingAsks.delete(key)
		this.send({case: isMisplaced ? "misplaced" : "ended", value: key})
	}

	/** Tells the agent the newest announced version of an adapter. */
	announceVersion(model: string, adapter: string, version: number): void {
		const $typeName = "goldcrestloom.grants.v1.VersionNotice"
		this.send({case: "version", value: {$typeName, model, adapter, version}})
	}

	/** Tells the agent that an endpoint, its engine or another one, is leaving. */
	announceLeaving(endpointId: string, bornAt: number): void {
		const $typeName = "goldcrestloom.grants.v1.LeavingNotice"
		this.send({case: "leaving", value: {$typeName, endpointId, bornAt}})
	}

	/** Sends the agent the limits that the configuration sets for its engine. */
	sendHello(): void {
		this.send({
			case: "hello",
			value: {
				$typeName: "goldcrestloom.grants.v1.Hello",
				gateway: this.options.gateway,
				engineId: this.options.getEngineId(),
				...toLimitsField(this.options.getLimits())
			}
		})
	}

	/**
	 * Sends a heartbeat when due, fails the link when the agent sent nothing within
	 * the timeout, and reconnects after a failure.
	 */
	tick(): void {
		const now = this.options.now()
		if (this.isClosed) return
		if (this.openStream === undefined) {
			if (now >= this.reconnectAt) this.connect()
			return
		}
		if (this.failAfterPause()) return
		const limitMs = this.isUp ? receiveTimeoutMs : firstMessageTimeoutMs
		if (now - Math.max(this.lastReceivedAt, this.openedAt) > limitMs) {
			this.fail("silent")
			return
		}
		if (now - this.lastSentAt < heartbeatMs) return
		this.send({case: "heartbeat", value: true})
	}

	close(): void {
		this.isClosed = true
		this.fail("closed")
	}

	private connect(): void {
		const connection = openGrantStream(this.options.address, this.options.tls)
		this.openStream = connection
		this.openedAt = this.options.now()
		connection.stream.on("data", (message: AgentMessage) => {
			if (this.openStream === connection) this.receive(message)
		})
		connection.stream.on("error", (err: Error) => {
			if (this.openStream === connection) this.fail(err.message)
		})
		connection.stream.on("end", () => {
			if (this.openStream === connection) this.fail("stream ended by the agent")
		})
		this.sendHello()
	}

	/**
	 * Fails the link if this process was paused, so that no grant is used that the
	 * agent may have cancelled meanwhile. Returns whether it did.
	 */
	private failAfterPause(): boolean {
		if (!this.isUp) return false
		if (this.options.now() - this.lastSentAt <= maxSendGapMs) return false
		this.fail("this process was paused")
		return true
	}

	private receive({body}: AgentMessage): void {
		if (this.failAfterPause()) return
		this.lastReceivedAt = this.options.now()
		if (!this.isUp) {
			this.isUp = true
			this.options.onUp()
		}
		if (body.case === "state") this.options.onState(body.value)
		else if (body.case === "leaving")
			this.options.onLeaving(body.value.endpointId, body.value.bornAt)
		else if (body.case === "grant") {
			const handlers = this.takePendingAsk(body.value.key)
			// No handlers: the request was cancelled while the grant was in transit. The
			// `ended` message makes the agent release the grant.
			handlers?.onGrant(body.value)
		} else if (body.case === "refuse") {
			this.takePendingAsk(body.value.key)?.onRefuse(body.value)
		}
	}

	private takePendingAsk(key: string): AskHandlers | undefined {
		const handlers = this.pendingAsks.get(key)
		this.pendingAsks.delete(key)
		return handlers
	}

	private send(body: GatewayMessage["body"]): void {
		if (this.openStream === undefined) return
		this.lastSentAt = this.options.now()
		this.openStream.stream.write(create(GatewayMessageSchema, {body}))
	}

	private fail(reason: string): void {
		this.openStream?.close()
		this.openStream = undefined
		this.reconnectAt = this.options.now() + reconnectDelayMs
		const lostAsks = [...this.pendingAsks.values()]
		this.pendingAsks.clear()
		if (this.isUp) {
			this.isUp = false
			this.options.onDown(reason)
		}
		for (const handlers of lostAsks) handlers.onLost()
	}
}

function toLimitsField(limits: EngineLimits | undefined): {
	limits?: EngineLimits
} {
	return limits === undefined ? {} : {limits}
}
