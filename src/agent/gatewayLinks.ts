/**
 * The gRPC streams of the gateways that are connected to an agent. Sends them the
 * engine's state and disconnects a gateway that sends nothing.
 */
import {create} from "@bufbuild/protobuf"
import {
	type AgentMessage,
	AgentMessageSchema,
	type GatewayMessage
} from "../contract/gen/grants_pb.js"
import type {GrantCall} from "../link/fleetLink.js"
import type {GrantSchedulerView} from "../policy/grants/index.js"

export interface GatewayLinksOptions {
	/** Called with each message; `owner` is the id of the connection. */
	onMessage: (owner: string, message: GatewayMessage) => void
	/** Called once when a connection ends, fails or times out. */
	onDisconnect: (owner: string, reason: string) => void
	/** Monotonic milliseconds. */
	now: () => number
}

/** Adapters in the engine's slots, and those it can load quickly. */
export interface Residency {
	resident: string[]
	recent: string[]
}

interface Link {
	call: GrantCall
	lastReceivedAt: number
	lastSentAt: number
	lastSentView: string
	lastSentResidency: string
}

/** Receive timeout. A gateway sends at least two messages in this time. */
const receiveTimeoutMs = 2000
/** Shortest interval between states; the longest is the heartbeat. */
const minStateIntervalMs = 80
const heartbeatMs = 600
/**
 * Waits are compared in steps of this size; a smaller difference changes no
 * decision.
 */
const waitRoundingMs = 10

export class GatewayLinks {
	private readonly links = new Map<string, Link>()
	private nextOwner = 1

	constructor(private readonly options: GatewayLinksOptions) {}

	get gatewayCount(): number {
		return this.links.size
	}

	accept = (call: GrantCall): void => {
		const owner = `g${this.nextOwner++}`
		const now = this.options.now()
		this.links.set(owner, {
			call,
			lastReceivedAt: now,
			lastSentAt: Number.NEGATIVE_INFINITY,
			lastSentView: "",
			lastSentResidency: ""
		})
		call.on("data", (message: GatewayMessage) => {
			const link = this.links.get(owner)
			if (link === undefined) return
			link.lastReceivedAt = this.options.now()
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
		link.call.write(create(AgentMessageSchema, {body}))
	}

	/** Sends a message to all gateways but one. */
	sendToOthers(owner: string, body: AgentMessage["body"]): void {
		for (const other of this.links.keys()) {
			if (other !== owner) this.send(other, body)
		}
	}

	/**
	 * Sends the state to each gateway for which it changed or a heartbeat is due, and
	 * disconnects gateways that timed out.
	 */
	publishState(view: GrantSchedulerView, residency: Residency): void {
		const now = this.options.now()
		const residencyText = JSON.stringify(residency)
		const roundedMs = Math.round(view.waitMs / waitRoundingMs)
		const viewText = `${view.isUsable}/${roundedMs}/${view.freeSlots}`
		for (const [owner, link] of this.links) {
			if (now - link.lastReceivedAt > receiveTimeoutMs) {
				this.disconnect(owner, "silent")
				continue
			}
			const hasResidency = link.lastSentResidency !== residencyText
			const isChanged = hasResidency || link.lastSentView !== viewText
			const dueMs = isChanged ? minStateIntervalMs : heartbeatMs
			if (now - link.lastSentAt < dueMs) continue
			link.lastSentAt = now
			link.lastSentView = viewText
			link.lastSentResidency = residencyText
			this.sendState(owner, view, hasResidency ? residency : undefined)
		}
	}

	/** Ends all streams. */
	close(): void {
		for (const {call} of this.links.values()) call.end()
		this.links.clear()
	}

	private sendState(
		owner: string,
		view: GrantSchedulerView,
		residency: Residency | undefined
	): void {
		this.send(owner, {
			case: "state",
			value: {
				$typeName: "goldcrestloom.grants.v1.EngineState",
				usable: view.isUsable,
				waitMs: Math.round(view.waitMs),
				tokensPerSecond: Math.round(view.tokensPerSecond),
				freeSlots: view.freeSlots,
				slotStepMs: Math.round(view.slotStepMs),
				gateways: this.links.size,
				running: view.running,
				hasResidency: residency !== undefined,
				resident: residency?.resident ?? [],
				recent: residency?.recent ?? []
			}
		})
	}

	private disconnect(owner: string, reason: string): void {
		const link = this.links.get(owner)
		if (link === undefined) return
		this.links.delete(owner)
		link.call.end()
		this.options.onDisconnect(owner, reason)
	}
}
