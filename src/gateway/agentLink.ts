/** The link to the agent beside one engine: asks for grants, hears its state. */
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

export interface GrantGiven {
	engineId: string
	version: number
	expectedMs: number
}

export interface GrantRefused {
	reason: RefuseReason
	retryAfterMs: number
	expectedMs: number
}

export interface AskHandlers {
	onGrant(grant: GrantGiven): void
	onRefuse(refusal: GrantRefused): void
	/** The link broke before an answer. */
	onLost(): void
}

export type AskBody = Extract<GatewayMessage["body"], {case: "ask"}>["value"]

export interface AgentLinkOptions {
	/** `ip:port` of the agent. */
	address: string
	gateway: string
	tls?: TlsKeys | undefined
	now: () => number
	getLimits: () => EngineLimits | undefined
	getEngineId: () => string
	onState(state: EngineState): void
	onUp(): void
	onDown(reason: string): void
}

const heartbeatMs = 600
/** A longer pause between heartbeats means that this process stood still. An
 * agent drops a gateway, and all of its grants, after 2 s of silence. */
const maxPauseMs = 1500
/** An agent states something at least three times in this time. */
const silenceMs = 2000
const connectMs = 1000
const reopenMs = 500

export class AgentLink {
	private open: OpenGrantStream | undefined
	private readonly asks = new Map<string, AskHandlers>()
	private isUp = false
	private heardAt = 0
	private sentAt = 0
	private openedAt = 0
	private reopenAt = 0
	private isClosed = false

	constructor(private readonly options: AgentLinkOptions) {
		this.connect()
	}

	get address(): string {
		return this.options.address
	}

	/** Asks for a grant; exactly one handler is called, unless `end` came first. */
	ask(ask: AskBody, handlers: AskHandlers): void {
		this.checkPause()
		if (!this.isUp) {
			handlers.onLost()
			return
		}
		this.asks.set(ask.key, handlers)
		this.send({case: "ask", value: ask})
	}

	started(key: string): void {
		this.send({case: "started", value: key})
	}

	/** Ends a request, whether it was granted or still waits. */
	end(key: string, isMisplaced = false): void {
		this.asks.delete(key)
		this.send({case: isMisplaced ? "misplaced" : "ended", value: key})
	}

	announce(model: string, adapter: string, version: number): void {
		const $typeName = "goldcrestloom.grants.v1.VersionNotice"
		this.send({case: "version", value: {$typeName, model, adapter, version}})
	}

	/** Tells the agent what the configuration says of its engine. */
	greet(): void {
		this.send({
			case: "hello",
			value: {
				$typeName: "goldcrestloom.grants.v1.Hello",
				gateway: this.options.gateway,
				engineId: this.options.getEngineId(),
				...limitsOf(this.options.getLimits())
			}
		})
	}

	/** Keeps the link alive, and finds that the other side is gone. */
	tick(): void {
		const now = this.options.now()
		if (this.isClosed) return
		if (this.open === undefined) {
			if (now >= this.reopenAt) this.connect()
			return
		}
		if (this.checkPause()) return
		const limitMs = this.isUp ? silenceMs : connectMs
		if (now - Math.max(this.heardAt, this.openedAt) > limitMs) {
			this.fail("silent")
			return
		}
		if (now - this.sentAt < heartbeatMs) return
		this.send({case: "heartbeat", value: true})
	}

	close(): void {
		this.isClosed = true
		this.fail("closed")
	}

	private connect(): void {
		const opened = openGrantStream(this.options.address, this.options.tls)
		this.open = opened
		this.openedAt = this.options.now()
		opened.stream.on("data", (message: AgentMessage) => {
			if (this.open === opened) this.receive(message)
		})
		opened.stream.on("error", (err: Error) => {
			if (this.open === opened) this.fail(err.message)
		})
		opened.stream.on("end", () => {
			if (this.open === opened) this.fail("closed by the agent")
		})
		this.greet()
	}

	/** Fails the link after a pause, before anything is done by its grants. */
	private checkPause(): boolean {
		if (!this.isUp) return false
		if (this.options.now() - this.sentAt <= maxPauseMs) return false
		this.fail("this process was paused")
		return true
	}

	private receive({body}: AgentMessage): void {
		if (this.checkPause()) return
		this.heardAt = this.options.now()
		if (!this.isUp) {
			this.isUp = true
			this.options.onUp()
		}
		if (body.case === "state") this.options.onState(body.value)
		else if (body.case === "grant") {
			const handlers = this.take(body.value.key)
			// The caller left as the grant was on its way: `end` frees it.
			handlers?.onGrant(body.value)
		} else if (body.case === "refuse") {
			this.take(body.value.key)?.onRefuse(body.value)
		}
	}

	private take(key: string): AskHandlers | undefined {
		const handlers = this.asks.get(key)
		this.asks.delete(key)
		return handlers
	}

	private send(body: GatewayMessage["body"]): void {
		if (this.open === undefined) return
		this.sentAt = this.options.now()
		this.open.stream.write(create(GatewayMessageSchema, {body}))
	}

	private fail(reason: string): void {
		this.open?.close()
		this.open = undefined
		this.reopenAt = this.options.now() + reopenMs
		const asks = [...this.asks.values()]
		this.asks.clear()
		if (this.isUp) {
			this.isUp = false
			this.options.onDown(reason)
		}
		for (const handlers of asks) handlers.onLost()
	}
}

function limitsOf(limits: EngineLimits | undefined): {limits?: EngineLimits} {
	return limits === undefined ? {} : {limits}
}
