/** The streams of all gateways that are connected to an agent. */
import {create} from "@bufbuild/protobuf"
import {
	type AgentMessage,
	AgentMessageSchema,
	type GatewayMessage
} from "../contract/gen/grants_pb.js"
import type {GrantCall} from "../link/fleetLink.js"
import type {SchedulerView} from "../policy/grants/index.js"

export interface GatewayLinksOptions {
	/** Each message of a gateway, with the connection it came on. */
	onMessage: (owner: string, message: GatewayMessage) => void
	/** A connection ended or fell silent. */
	onGone: (owner: string, reason: string) => void
	now: () => number
}

export interface Residency {
	resident: string[]
	recent: string[]
}

interface Link {
	call: GrantCall
	heardAt: number
	sentAt: number
	sentView: string
	sentResidency: string
}

/** Gateways send something at least twice in this time. */
const silenceMs = 2000
/** States go out at most this often, and at least as often as heartbeats. */
const minStateMs = 80
const heartbeatMs = 600
/** Differences below this share of a wait change no decision. */
const waitStepMs = 10

export class GatewayLinks {
	private readonly links = new Map<string, Link>()
	private nextOwner = 1

	constructor(private readonly options: GatewayLinksOptions) {}

	get size(): number {
		return this.links.size
	}

	accept = (call: GrantCall): void => {
		const owner = `g${this.nextOwner++}`
		const now = this.options.now()
		this.links.set(owner, {
			call,
			heardAt: now,
			sentAt: Number.NEGATIVE_INFINITY,
			sentView: "",
			sentResidency: ""
		})
		call.on("data", (message: GatewayMessage) => {
			const link = this.links.get(owner)
			if (link === undefined) return
			link.heardAt = this.options.now()
			this.options.onMessage(owner, message)
		})
		call.on("error", () => {
			this.drop(owner, "connection failed")
		})
		call.on("cancelled", () => {
			this.drop(owner, "cancelled")
		})
		call.on("end", () => {
			this.drop(owner, "closed")
		})
	}

	send(owner: string, body: AgentMessage["body"]): void {
		const link = this.links.get(owner)
		if (link === undefined) return
		link.call.write(create(AgentMessageSchema, {body}))
	}

	/** Tells each gateway what changed, and drops those that fell silent. */
	spread(view: SchedulerView, residency: Residency): void {
		const now = this.options.now()
		const residencyText = JSON.stringify(residency)
		const roundedMs = Math.round(view.waitMs / waitStepMs)
		const viewText = `${view.isUsable}/${roundedMs}/${view.freeSlots}`
		for (const [owner, link] of this.links) {
			if (now - link.heardAt > silenceMs) {
				this.drop(owner, "silent")
				continue
			}
			const hasResidency = link.sentResidency !== residencyText
			const isChanged = hasResidency || link.sentView !== viewText
			const dueMs = isChanged ? minStateMs : heartbeatMs
			if (now - link.sentAt < dueMs) continue
			link.sentAt = now
			link.sentView = viewText
			link.sentResidency = residencyText
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
		view: SchedulerView,
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

	private drop(owner: string, reason: string): void {
		const link = this.links.get(owner)
		if (link === undefined) return
		this.links.delete(owner)
		link.call.end()
		this.options.onGone(owner, reason)
	}
}
