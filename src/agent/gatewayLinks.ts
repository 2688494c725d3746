/**
 * The gRPC streams of the gateways that are connected to an agent. Sends them the
 * engine's state and disconnects a gateway that sends nothing.
 */
import {create, type MessageInitShape} from "@bufbuild/protobuf"
import {
	AgentHelloSchema,
	type AgentMessage,
	AgentMessageSchema,
	type EngineState,
	EngineStateSchema,
	type GatewayMessage
} from "../contract/gen/grants_pb.js"
import {findEncodeError} from "../link/encoding.js"
import type {GrantCall} from "../link/fleetLink.js"
import {
	activeHeartbeatMs,
	chooseLinkIntervals,
	grantLinkPace,
	grantLinkTimeoutHeartbeats
} from "../policy/index.js"
import {type GrantSchedulerView, noWork} from "../policy/grants/index.js"

export interface GatewayLinksOptions {
	/** Pool of the engine, which gateways are told first; undefined if unknown. */
	getPool?: () => string | undefined
	/** Called with each message; `owner` is the id of the connection. */
	onMessage: (owner: string, message: GatewayMessage) => void
	/** Called once when a connection ends, fails or times out. */
	onDisconnect: (owner: string, reason: string) => void
	/** A message can't be encoded, and is not sent. */
	onUnsendable: (kind: string | undefined, err: unknown) => void
	/** Monotonic milliseconds. */
	now: () => number
}

/** Adapters in the engine's slots, and those it can load quickly. */
export interface Residency {
	resident: readonly string[]
	recent: readonly string[]
	/** Engine restarts so far: each invalidates `recent`. */
	restarts: number
}

/** What a gateway states about its end of the link. */
export interface GatewayPace {
	/** Shortest interval at which it wants states. */
	stateIntervalMs: number
	/** Longest time between two of its messages while it has no request here. */
	idleIntervalMs: number
	/** Whether it takes changes of the residency in place of whole lists. */
	takesChanges: boolean
}

interface Link {
	call: GrantCall
	pace: GatewayPace
	/** Keys of its requests that are queued or granted. */
	readonly requests: Set<string>
	lastReceivedAt: number
	lastSentAt: number
	lastSentView: string
	/** Undefined until the first state. */
	lastSentResidency: Residency | undefined
}

const defaultPace: GatewayPace = {
	stateIntervalMs: 0,
	idleIntervalMs: activeHeartbeatMs,
	takesChanges: false
}
/**
 * Waits are compared in steps of this size; a smaller difference changes no
 * decision.
 */
const waitRoundingMs = 10

export class GatewayLinks {
	private readonly links = new Map<string, Link>()
	private nextOwner = 1
	private lastResidency: Residency | undefined

	constructor(private readonly options: GatewayLinksOptions) {}

	get gatewayCount(): number {
		return this.links.size
	}

	accept = (call: GrantCall): void => {
		const owner = `g${this.nextOwner++}`
		const now = this.options.now()
		this.links.set(owner, {
			call,
			pace: defaultPace,
			requests: new Set(),
			lastReceivedAt: now,
			lastSentAt: Number.NEGATIVE_INFINITY,
			lastSentView: "",
			lastSentResidency: undefined
		})
		if (this.options.getPool?.() !== undefined) this.sendHello(owner)
		call.on("data", (message: GatewayMessage) => {
			const link = this.links.get(owner)
			if (link === undefined) return
			link.lastReceivedAt = this.options.now()
			trackRequest(link, message)
			this.options.onMessage(owner, message)
		})
		call.on("error", () => {
			this.disconnect(owner, "connection failed")
		})
		call.on("cancelled", () => {
			this.disconnect(owner, "cancelled")
		})
		call.on("end", () => {
			this.disconnect(owner, "closed")
		})
	}

	send(owner: string, body: AgentMessage["body"]): void {
		const link = this.links.get(owner)
		if (link === undefined) return
		if (body.case === "refuse") link.requests.delete(body.value.key)
		const message = create(AgentMessageSchema, {body})
		const err = findEncodeError(AgentMessageSchema, message)
		if (err === undefined) link.call.write(message)
		else this.options.onUnsendable(body.case, err)
	}

	/** Tells a gateway the pool of the engine. */
	sendHello(owner: string): void {
		const pool = this.options.getPool?.() ?? ""
		this.send(owner, {case: "hello", value: create(AgentHelloSchema, {pool})})
	}

	/** Applies what a gateway stated in its hello. */
	setPace(owner: string, pace: GatewayPace): void {
		const link = this.links.get(owner)
		if (link === undefined) return
		const {stateIntervalMs, takesChanges} = pace
		const idleIntervalMs = Math.max(activeHeartbeatMs, pace.idleIntervalMs)
		link.pace = {stateIntervalMs, idleIntervalMs, takesChanges}
	}

	/** Tells all gateways the pool of the engine. */
	sendHelloToAll(): void {
		for (const owner of this.links.keys()) this.sendHello(owner)
	}

	/** Sends a message to all gateways. */
	sendToAll(body: AgentMessage["body"]): void {
		for (const owner of this.links.keys()) this.send(owner, body)
	}

	/** Sends a message to all gateways but one. */
	sendToOthers(owner: string, body: AgentMessage["body"]): void {
		for (const other of this.links.keys()) {
			if (other !== owner) this.send(other, body)
		}
	}

	/**
	 * Sends the state to each gateway for which it changed or a heartbeat is due, and
	 * disconnects gateways that timed out. Returns whether a change is yet to be sent.
	 */
	publishState(view: GrantSchedulerView, residency: Residency): boolean {
		const now = this.options.now()
		let hasUnsent = false
		const own = chooseLinkIntervals(this.links.size, 0, grantLinkPace)
		const current = this.keepIfEqual(residency)
		const viewText = formatView(view)
		for (const [owner, link] of this.links) {
			const {pace, requests} = link
			const isActive = requests.size > 0
			const expectedMs = isActive ? activeHeartbeatMs : pace.idleIntervalMs
			if (now - link.lastReceivedAt > expectedMs * grantLinkTimeoutHeartbeats) {
				this.disconnect(owner, "silent")
				continue
			}
			const isChanged =
				link.lastSentResidency !== current || link.lastSentView !== viewText
			const heartbeatMs = isActive ? activeHeartbeatMs : own.heartbeatMs
			const dueMs = isChanged
				? Math.max(own.minReportMs, pace.stateIntervalMs)
				: heartbeatMs
			if (now - link.lastSentAt < dueMs) {
				hasUnsent ||= isChanged
				continue
			}
			const state = this.createState(view)
			addResidency(state, link, current)
			link.lastSentAt = now
			link.lastSentView = viewText
			link.lastSentResidency = current
			this.send(owner, {case: "state", value: state})
		}
		return hasUnsent
	}

	/** The state without residency, to be sent with the response to an ask. */
	createState(view: GrantSchedulerView): EngineState {
		return create(EngineStateSchema, {
			usable: view.isUsable,
			waitMs: Math.round(view.waitMs),
			tokensPerSecond: Math.round(view.tokensPerSecond),
			freeSlots: view.freeSlots,
			slotStepMs: Math.round(view.slotStepMs),
			gateways: this.links.size,
			running: view.running,
			pacesHeartbeats: true,
			...encodeWork(view)
		})
	}

	/** Ends all streams. */
	close(): void {
		for (const {call} of this.links.values()) call.end()
		this.links.clear()
	}

	/** Returns the last residency if it equals the given one, which replaces it else. */
	private keepIfEqual(residency: Residency): Residency {
		const known = this.lastResidency
		const isEqual =
			known?.restarts === residency.restarts &&
			known.resident.length === residency.resident.length &&
			known.resident.every((key, index) => key === residency.resident[index])
		if (known !== undefined && isEqual) return known
		this.lastResidency = residency
		return residency
	}

	private disconnect(owner: string, reason: string): void {
		const link = this.links.get(owner)
		if (link === undefined) return
		this.links.delete(owner)
		link.call.end()
		this.options.onDisconnect(owner, reason)
	}
}

/** What the engine still has to do, in whole units of the message. */
function encodeWork({
	work = noWork,
	lastingTokensPerSecond = 0
}: GrantSchedulerView): MessageInitShape<typeof EngineStateSchema> {
	return {
		decodeMs: Math.round(work.decodeMs),
		tokenUs: Math.round(work.tokenMs * 1000),
		freeMemoryTokens: Math.round(work.freeMemoryTokens),
		freedTokensPerSecond: Math.round(work.freedTokensPerMs * 1000),
		freeSeats: work.freeSeats,
		lastingTokensPerSecond: Math.round(lastingTokensPerSecond)
	}
}

function formatView(view: GrantSchedulerView): string {
	const {isUsable, waitMs, freeSlots, work = noWork, tokensPerSecond} = view
	const text = `${isUsable}/${Math.round(waitMs / waitRoundingMs)}/${freeSlots}`
	if (work.tokenMs === 0) return text
	// A fifth less or more of speed counts as a change.
	return `${text}/${Math.round(Math.log2(tokensPerSecond) * 4)}`
}

/** Adds the whole residency, or what changed since the state sent last. */
function addResidency(
	state: EngineState,
	{pace, lastSentResidency: last}: Link,
	{resident, recent, restarts}: Residency
): void {
	if (!pace.takesChanges || last?.restarts !== restarts) {
		state.hasResidency = true
		state.resident = [...resident]
		state.recent = [...recent]
		return
	}
	state.loaded = resident.filter(key => !last.resident.includes(key))
	state.evicted = last.resident.filter(key => !resident.includes(key))
}

/** Records which requests of the gateway are queued or granted. */
function trackRequest({requests}: Link, {body}: GatewayMessage): void {
	if (body.case === "ask") requests.add(body.value.key)
	else if (body.case === "ended" || body.case === "misplaced")
		requests.delete(body.value)
}
