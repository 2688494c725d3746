/**
 * The gRPC stream to the agent of one engine. Sends grant requests, routes each
 * response to the request that asked, and reports the engine's state. Reconnects
 * after a failure.
 */
import {create, equals} from "@bufbuild/protobuf"
import {
	type AgentHello,
	type AgentMessage,
	EngineCheckSchema,
	type EngineLimits,
	type EngineState,
	type GatewayMessage,
	GatewayMessageSchema,
	type Hello,
	HelloSchema,
	type OriginAnswer,
	type PermitAnswer,
	type PermitAsk,
	type QuotaAnswer,
	type QuotaAsk,
	type QuotaUse,
	RefuseReason,
	type StreamOrigin,
	VersionNoticeSchema
} from "../../contract/gen/grants_pb.js"
import type {AnnouncedVersion} from "../../contract/fleet.js"
import {toCount} from "../../contract/wireValues.js"
import {findEncodeError} from "../../link/encoding.js"
import {type OpenGrantStream, openGrantStream} from "../../link/fleetLink.js"
import type {TlsKeys} from "../../link/tls.js"
import {isNotice, type Notice} from "../../notices/index.js"
import {
	activeHeartbeatMs,
	chooseLinkIntervals,
	grantLinkPace,
	grantLinkTimeoutHeartbeats,
	type LinkIntervals
} from "../../policy/index.js"
import {getSuspendedMs, type Moment} from "../../utils/index.js"

/** The agent's permission to send one request to its engine. */
export interface AgentGrant {
	engineId: string
	version: number
	expectedMs: number
	/** Start time of the engine that granted; 0 when unknown. */
	engineBornAt: number
}

/** A grant and the pool that the agent states for its engine, if it does. */
export interface IdentifiedGrant extends AgentGrant {
	pool: string | undefined
}

export interface AgentRefusal {
	reason: RefuseReason
	retryAfterMs: number
	/** Estimated time to the first event; 0 when the engine is unavailable. */
	expectedMs: number
}

export interface AskHandlers {
	onGrant(grant: IdentifiedGrant): void
	onRefuse(refusal: AgentRefusal): void
	/** The link failed before the agent responded. */
	onLost(): void
}

/** Called with whether the engine has ended; undefined if that is not known. */
export type CheckHandler = (hasEnded: boolean | undefined) => void

interface PendingAsk {
	handlers: AskHandlers
	askedAt: Moment
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
	/** Time of day in milliseconds, to notice that the host was suspended. */
	wallNow?: () => number
	/** Intervals for the number of links that this gateway has. */
	getIntervals: () => LinkIntervals
	getLimits: () => EngineLimits | undefined
	getEngineId: () => string
	/** Pool of the engine that the link is for. */
	pool: string
	onState(state: EngineState): void
	/** The agent passes on what another gateway noticed. */
	onNotice(notice: Notice): void
	/** The agent's answer to `askPermit`. */
	onPermit(answer: PermitAnswer): void
	/** The agent's answer to `askQuota`. */
	onQuota(answer: QuotaAnswer): void
	/** The agent's answer to `findOrigin`. */
	onOrigin(answer: OriginAnswer): void
	/** The agent states that its engine is one of another pool. */
	onForeign(pool: string): void
	onUp(): void
	onDown(reason: string): void
	/** A message can't be encoded, and is not sent. */
	onUnsendable(kind: string | undefined, err: unknown): void
	/** A message can't be handled, which ends nothing but itself. */
	onUnhandled(kind: string | undefined, err: unknown): void
}

/**
 * A gap since the last send of more heartbeats than this means that this process
 * was paused. The agent may then have cancelled this gateway's grants: it drops a
 * gateway from which it receives nothing for 3.3 heartbeats.
 */
const maxSendGapHeartbeats = 2.5
/**
 * An agent that has sent nothing for this long after an ask counts as lost: it sends
 * a state within 650 ms if it can't respond.
 */
const askSilenceMs = 1100
/** Why a link failed that this process did not keep alive. */
export const pausedReason = "this process was paused"
/** Timeout for the agent's first message on a new stream. */
const firstMessageTimeoutMs = 1000
const reconnectDelayMs = 500

export class AgentLink {
	private openStream: OpenGrantStream | undefined
	/** The hello that was sent last on the open stream. */
	private sentHello: Hello | undefined
	private readonly pendingAsks = new Map<string, PendingAsk>()
	/** Who waits to hear whether an incarnation has ended, by its start time. */
	private readonly pendingChecks = new Map<number, CheckHandler[]>()
	/** Keys of requests that are queued or granted at the agent. */
	private readonly requests = new Set<string>()
	/** Time since which a request uses the link. */
	private activeSince = 0
	private isUp = false
	private lastReceivedAt = 0
	private lastSentAt = 0
	private openedAt = 0
	private reconnectAt = 0
	/** Longest time between two messages on an idle link, as told to the agent. */
	private idleHeartbeatMs = grantLinkPace.minHeartbeatMs
	/** Whether the agent goes by `idleHeartbeatMs`; older agents don't. */
	private isAgentPacing = false
	/** Pool of the agent's engine, as it stated on the open stream. */
	private agentPool: string | undefined
	/** Gateways that the agent has, as it stated last. */
	private gatewayCount = 1
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
		if (!this.isUp || this.isForeign) {
			handlers.onLost()
			return
		}
		if (this.requests.size === 0) this.activeSince = this.options.now()
		this.requests.add(ask.key)
		this.pendingAsks.set(ask.key, {handlers, askedAt: this.getMoment()})
		this.send({case: "ask", value: ask})
	}

	/**
	 * Tells the agent that the first event of a granted request arrived, and where
	 * its stream began if that is known.
	 */
	notifyStarted(key: string, origin?: StreamOrigin): void {
		const origins = origin === undefined ? [] : [origin]
		this.send({case: "started", value: key}, origins)
	}

	/** Has the agent remember where streams began. */
	announceOrigins(origins: StreamOrigin[]): void {
		this.send({case: undefined}, origins)
	}

	/** Asks the agent where a stream began. */
	findOrigin(requestId: string): void {
		this.send({case: "findOrigin", value: requestId})
	}

	/**
	 * Tells the agent that a granted request ended or a queued one is cancelled.
	 * `isMisplaced` states that the engine did not hold what the grant said.
	 */
	notifyEnded(key: string, isMisplaced = false): void {
		this.pendingAsks.delete(key)
		this.requests.delete(key)
		this.send({case: isMisplaced ? "misplaced" : "ended", value: key})
	}

	/** Tells the agent the newest announced version of an adapter. */
	announceVersion(
		{model, adapter, version}: AnnouncedVersion,
		ageMs: number
	): void {
		const value = create(VersionNoticeSchema, {
			model,
			adapter,
			version,
			ageMs: toCount(ageMs)
		})
		this.send({case: "version", value})
	}

	/**
	 * Asks the agent whether an incarnation of its engine has ended. Calls back with
	 * undefined if the link fails first.
	 */
	checkEngine(bornAt: number, onAnswer: CheckHandler): void {
		if (!this.isUp) {
			onAnswer(undefined)
			return
		}
		const waiting = this.pendingChecks.get(bornAt) ?? []
		this.pendingChecks.set(bornAt, [...waiting, onAnswer])
		if (waiting.length > 0) return
		const value = create(EngineCheckSchema, {bornAt})
		this.send({case: "check", value})
	}

	private endCheck(bornAt: number, hasEnded: boolean | undefined): void {
		const waiting = this.pendingChecks.get(bornAt) ?? []
		this.pendingChecks.delete(bornAt)
		for (const onAnswer of waiting) onAnswer(hasEnded)
	}

	/** Tells the agent a fact about an endpoint or a prompt. */
	announce(notice: Notice): void {
		this.send(notice)
	}

	/** Asks the agent for a permit for an endpoint that has no agent. */
	askPermit(ask: PermitAsk): void {
		if (this.failAfterPause()) return
		this.send({case: "permitAsk", value: ask})
	}

	/** Asks the agent for a share of a quota, or who gives it. */
	askQuota(ask: QuotaAsk): void {
		if (this.failAfterPause()) return
		this.send({case: "quotaAsk", value: ask})
	}

	/** Tells the agent what became of the shares that it gave. */
	reportQuotaUse(use: QuotaUse): void {
		if (this.failAfterPause()) return
		this.send({case: "quotaUse", value: use})
	}

	/**
	 * Sends the agent the limits that the configuration sets for its engine and the
	 * pace of this gateway, unless it was told the same on this stream.
	 */
	sendHello(): void {
		const {options} = this
		const {heartbeatMs, minReportMs} = options.getIntervals()
		const limits = options.getLimits()
		const hello = create(HelloSchema, {
			gateway: options.gateway,
			engineId: options.getEngineId(),
			stateIntervalMs: minReportMs,
			idleIntervalMs: heartbeatMs,
			takesChanges: true,
			pool: options.pool,
			...(limits === undefined ? {} : {limits})
		})
		const known = this.sentHello
		if (known !== undefined && equals(HelloSchema, known, hello)) return
		this.sentHello = hello
		this.idleHeartbeatMs = heartbeatMs
		this.send({case: "hello", value: hello})
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
		if (now > this.getReceiveDeadline()) {
			this.fail("silent")
			return
		}
		if (now - this.lastSentAt < this.heartbeatMs) return
		this.send({case: "heartbeat", value: true})
	}

	/**
	 * Fails the asks that wait, as their engine is no longer registered. The link goes
	 * on until it is closed, so that checks of the engine are answered.
	 */
	retire(): void {
		const lostAsks = [...this.pendingAsks.values()]
		this.pendingAsks.clear()
		this.requests.clear()
		for (const {handlers} of lostAsks) handlers.onLost()
	}

	close(): void {
		this.isClosed = true
		this.fail("closed")
	}

	private connect(): void {
		const connection = openGrantStream(this.options.address, this.options.tls)
		this.openStream = connection
		this.sentHello = undefined
		this.agentPool = undefined
		this.openedAt = this.options.now()
		connection.stream.on("data", (message: AgentMessage) => {
			if (this.openStream === connection) this.tryReceive(message)
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
		const maxGapMs = this.heartbeatMs * maxSendGapHeartbeats
		if (this.options.now() - this.lastSentAt <= maxGapMs) return false
		// Other hosts may have noticed much meanwhile.
		this.restart(pausedReason)
		return true
	}

	private restart(reason: string): void {
		this.fail(reason)
		if (!this.isClosed) this.connect()
	}

	/** Whether an engine of another pool has the address by now. */
	private get isForeign(): boolean {
		return this.agentPool !== undefined && this.agentPool !== this.options.pool
	}

	private get heartbeatMs(): number {
		const isIdle = this.requests.size === 0 && this.isAgentPacing
		return isIdle ? this.idleHeartbeatMs : activeHeartbeatMs
	}

	/** Time at which the link fails unless the agent sends something. */
	private getReceiveDeadline(): number {
		const {lastReceivedAt, openedAt, activeSince, requests} = this
		if (!this.isUp) return openedAt + firstMessageTimeoutMs
		if (requests.size > 0) {
			const silenceMs =
				this.pendingAsks.size > 0
					? askSilenceMs
					: activeHeartbeatMs * grantLinkTimeoutHeartbeats
			return Math.max(lastReceivedAt, activeSince) + silenceMs
		}
		const {heartbeatMs} = chooseLinkIntervals(
			this.gatewayCount,
			0,
			grantLinkPace
		)
		return lastReceivedAt + heartbeatMs * grantLinkTimeoutHeartbeats
	}

	private applyState(state: EngineState | undefined): void {
		if (state === undefined) return
		this.gatewayCount = state.gateways
		this.isAgentPacing = state.pacesHeartbeats
		if (!this.isForeign) this.options.onState(state)
	}

	private applyHello({pool}: AgentHello): void {
		const wasForeign = this.isForeign
		this.agentPool = pool === "" ? undefined : pool
		if (this.isForeign) this.options.onForeign(pool)
		// Only the first state of a stream is complete.
		else if (wasForeign) this.restart("the engine's pool has changed")
	}

	private tryReceive(message: AgentMessage): void {
		try {
			this.receive(message)
		} catch (err) {
			this.options.onUnhandled(message.body.case, err)
		}
	}

	private receive({body}: AgentMessage): void {
		if (this.failAfterPause()) return
		this.lastReceivedAt = this.options.now()
		if (body.case === "hello") {
			this.applyHello(body.value)
			return
		}
		if (!this.isUp) {
			this.isUp = true
			this.options.onUp()
		}
		if (body.case === "state") this.applyState(body.value)
		else if (isNotice(body)) this.options.onNotice(body)
		else if (body.case === "check")
			this.endCheck(body.value.bornAt, body.value.hasEnded)
		else if (body.case === "permit") this.options.onPermit(body.value)
		else if (body.case === "quota") this.options.onQuota(body.value)
		else if (body.case === "origin") this.options.onOrigin(body.value)
		else if (body.case === "grant") {
			this.applyState(body.value.state)
			this.handleGrant(body.value)
		} else if (body.case === "refuse") {
			this.applyState(body.value.state)
			this.requests.delete(body.value.key)
			this.takePendingAsk(body.value.key)?.handlers.onRefuse(body.value)
		}
	}

	private handleGrant(grant: AgentGrant & {key: string}): void {
		const ask = this.takePendingAsk(grant.key)
		// The request was cancelled while the grant was in transit. The `ended` message
		// makes the agent release the grant.
		if (ask === undefined) return
		if (getSuspendedMs(ask.askedAt, this.getMoment()) === 0) {
			const {agentPool: pool} = this
			ask.handlers.onGrant({...grant, pool})
			return
		}
		// The agent may have dropped this gateway and its grants meanwhile.
		this.notifyEnded(grant.key)
		ask.handlers.onLost()
	}

	private takePendingAsk(key: string): PendingAsk | undefined {
		const ask = this.pendingAsks.get(key)
		this.pendingAsks.delete(key)
		return ask
	}

	private getMoment(): Moment {
		const {now, wallNow = Date.now} = this.options
		return {at: now(), wallAt: wallNow()}
	}

	private send(
		body: GatewayMessage["body"],
		origins: StreamOrigin[] = []
	): void {
		if (this.openStream === undefined) return
		const message = create(GatewayMessageSchema, {body, origins})
		const err = findEncodeError(GatewayMessageSchema, message)
		if (err !== undefined) {
			this.options.onUnsendable(body.case, err)
			if (body.case === "ask") this.dropAsk(body.value.key)
			return
		}
		this.lastSentAt = this.options.now()
		this.openStream.stream.write(message)
	}

	private dropAsk(key: string): void {
		this.requests.delete(key)
		this.takePendingAsk(key)?.handlers.onLost()
	}

	private fail(reason: string): void {
		this.openStream?.close()
		this.openStream = undefined
		this.reconnectAt = this.options.now() + reconnectDelayMs
		for (const bornAt of [...this.pendingChecks.keys()])
			this.endCheck(bornAt, undefined)
		const lostAsks = [...this.pendingAsks.values()]
		this.pendingAsks.clear()
		this.requests.clear()
		if (this.isUp) {
			this.isUp = false
			this.options.onDown(reason)
		}
		for (const {handlers} of lostAsks) handlers.onLost()
	}
}
