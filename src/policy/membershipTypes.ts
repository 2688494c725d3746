/** Hosts, events and actions of the membership state machine. */
import type {HostRole} from "../host/host.js"
import type {HostRecord} from "../link/platform.js"

export enum MembershipState {
	/** May get new work. */
	Live = "live",
	/**
	 * No message yet, none within the heartbeat timeout, or the link is down;
	 * gets no new work.
	 */
	Suspect = "suspect",
	/** Drains: finishes its running work and gets no new work. */
	Leaving = "leaving",
	/**
	 * Announced leaving and its link broke; or is unlisted past the list's lag
	 * and sends no heartbeats; or another host sends from its address. Kept at
	 * least for `goneRetentionMs`, so that late messages from it are recognised.
	 */
	Gone = "gone"
}

/** A host as one observer sees it. */
export interface ObservedHost {
	readonly id: string
	readonly role: HostRole
	/** `ip:port` of the host's link server. */
	readonly address: string
	readonly failureDomain: string
	/** Empty for entries. */
	readonly pool: string
	readonly state: MembershipState
	/** Incarnation of the host's process; 0 until the process has sent it. */
	readonly incarnation: number
	/**
	 * Time by which the next message must arrive; 0 for a silent host and for
	 * one of a role without links.
	 */
	readonly heartbeatDeadline: number
}

export enum MembershipEventType {
	/** The platform's list was read. */
	Listed = "listed",
	/** A host announced its own state, directly or through a peer. */
	Announced = "announced",
	/** Any message arrived on the link to a host. */
	Heard = "heard",
	/** The link to a host broke. */
	StreamReset = "streamReset",
	/** A connection to the host was refused or timed out. */
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
			/** Incarnation of the process at the other end; 0 when unknown. */
			incarnation: number
	  }
	| {type: MembershipEventType.ConnectFailed; hostId: string}
	| {type: MembershipEventType.Tick}

export enum MembershipActionType {
	/** Open a link to the host, then send `Heard` or `ConnectFailed`. */
	Connect = "connect",
	/** The host may get new work. */
	Admit = "admit",
	/** Send the host no new work; requests running there continue. */
	StopNewWork = "stopNewWork",
	/** Close the link and delete all state of this incarnation. */
	Drop = "drop"
}

export interface MembershipAction {
	type: MembershipActionType
	hostId: string
	address: string
	incarnation: number
}

export interface MembershipOptions {
	/** Id of the observer's own host, which is not tracked. */
	selfId?: string
	/**
	 * Roles of the hosts to which this observer opens links. Hosts of other roles
	 * are known from the list and announcements only.
	 */
	linkedRoles?: readonly HostRole[]
	/** Time without a message after which a host of a linked role is suspect. */
	heartbeatTimeoutMs?: number
	/** Assumed bound on the lag of the platform's list. */
	listLagMs?: number
	/** Wait after the first failed connection; doubles with each further one. */
	reconnectMs?: number
	/** Longest wait between connection attempts. */
	maxReconnectMs?: number
	/**
	 * An event this much later than the requested tick shows that the observer
	 * itself was paused.
	 */
	pauseThresholdMs?: number
	/** How long a host that is gone and not listed is kept. */
	goneRetentionMs?: number
}
