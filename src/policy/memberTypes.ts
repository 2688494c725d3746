/** Hosts, events and actions of the membership state machine. */
import type {HostRole} from "../host/host.js"
import type {HostRecord} from "../link/platform.js"

export enum MemberState {
	/** Gets new work. */
	Live = "live",
	/** Not heard yet, or not heard lately; gets no new work. */
	Suspect = "suspect",
	/** Finishes what it holds; gets no new work. */
	Leaving = "leaving",
	/** Neither listed nor heard, or left; kept to recognise late messages. */
	Gone = "gone"
}

/** One host, as this observer sees it. */
export interface MemberHost {
	readonly id: string
	readonly role: HostRole
	/** `ip:port` of the host's link server. */
	readonly address: string
	readonly failureDomain: string
	/** Empty for entries. */
	readonly pool: string
	readonly state: MemberState
	/** 0 until the host was heard. */
	readonly incarnation: number
	/** Time by which the next message must be heard; 0 when not linked. */
	readonly heartbeatDeadline: number
}

export enum MembershipEventType {
	/** The platform's list was read. */
	Listed = "listed",
	/** A host told its state itself, directly or through a peer. */
	Announced = "announced",
	/** Any message arrived on the link to a host. */
	Heard = "heard",
	/** The link to a host broke. */
	StreamReset = "streamReset",
	/** A host's address refused a connection, or did not accept it in time. */
	ConnectFailed = "connectFailed",
	/** Time has passed. */
	Tick = "tick"
}

export type MembershipEvent =
	| {type: MembershipEventType.Listed; hosts: readonly HostRecord[]}
	| {
			type: MembershipEventType.Announced
			host: HostRecord
			incarnation: number
	  }
	| {type: MembershipEventType.Heard; hostId: string; incarnation: number}
	| {
			type: MembershipEventType.StreamReset
			hostId: string
			/** Of the process that the stream led to; 0 when unknown. */
			incarnation: number
	  }
	| {type: MembershipEventType.ConnectFailed; hostId: string}
	| {type: MembershipEventType.Tick}

export enum MembershipActionType {
	/** Open a link to the host; report `Heard` or `ConnectFailed`. */
	Connect = "connect",
	/** The host may get new work. */
	Admit = "admit",
	/** The host gets no new work from now on; running work goes on. */
	StopNewWork = "stopNewWork",
	/** Close the link and forget what is held for this incarnation. */
	Drop = "drop"
}

export interface MembershipAction {
	type: MembershipActionType
	hostId: string
	address: string
	incarnation: number
}

export interface MembershipOptions {
	/** This observer's own id, which it does not track. */
	selfId?: string
	/** Roles that this observer holds links to; others are known by list only. */
	linkedRoles?: readonly HostRole[]
	/** Silence after which a host is suspect. */
	heartbeatTimeoutMs?: number
	/** How far the platform's list may be behind. */
	listLagMs?: number
	/** First and longest wait between attempts to connect. */
	reconnectMs?: number
	reconnectMaxMs?: number
	/** A tick this late means that the observer itself was paused. */
	pauseMs?: number
	/** How long a host that is gone is remembered. */
	forgetMs?: number
}
