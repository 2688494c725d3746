/**
 * Host membership and failure detection, as one observer sees them: which hosts
 * exist and which may get new work.
 *
 * The platform's list of hosts lags and can be unavailable, so it is combined
 * with what arrives on the links. A host that announced that it is leaving is
 * leaving even when the list still shows it live. A listed "leaving" is ignored
 * only once a higher incarnation than the one that it refers to is known. A host
 * whose heartbeats arrive stays even when the list omits it. While the list
 * can't be read, the last one stays valid: its age has no effect.
 */
import {HostRole, HostState} from "../host/host.js"
import type {HostRecord} from "../link/platform.js"
import {
	createTrackedHost,
	isLeaving,
	isPresent,
	markLinkDown,
	toObservedHost,
	type TrackedHost
} from "./trackedHost.js"
import {
	type ObservedHost,
	type MembershipAction,
	MembershipActionType,
	type MembershipEvent,
	MembershipEventType,
	type MembershipOptions,
	MembershipState
} from "./membershipTypes.js"

const defaultOptions = {
	selfId: "",
	linkedRoles: [HostRole.Endpoint] as readonly HostRole[],
	heartbeatTimeoutMs: 7_000,
	listLagMs: 30_000,
	reconnectMs: 500,
	maxReconnectMs: 10_000,
	pauseThresholdMs: 1_000,
	goneRetentionMs: 10 * 60 * 1_000
}

export class Membership {
	private readonly options: typeof defaultOptions
	private readonly hostsById = new Map<string, TrackedHost>()
	private actions: MembershipAction[] = []
	private tickDueAt = Infinity

	constructor(options: MembershipOptions = {}) {
		this.options = {...defaultOptions, ...options}
	}

	/** Applies to each host from its next message on. */
	setHeartbeatTimeout(heartbeatTimeoutMs: number): void {
		this.options.heartbeatTimeoutMs = heartbeatTimeoutMs
	}

	/** Applies an event and returns the actions to execute, in order. */
	step(event: MembershipEvent, now: number): MembershipAction[] {
		this.extendHeartbeatsAfterPause(now)
		this.handleEvent(event, now)
		for (const tracked of this.hostsById.values()) this.update(tracked, now)
		this.tickDueAt = this.nextTickAt()
		const {actions} = this
		this.actions = []
		return actions
	}

	/** All hosts except those that are gone. */
	hosts(): readonly ObservedHost[] {
		const present = [...this.hostsById.values()].filter(isPresent)
		return present.map(toObservedHost)
	}

	/**
	 * Hosts that are gone. Calls that they sent to an endpoint may still have an
	 * unknown outcome.
	 */
	listRecentlyGone(): readonly ObservedHost[] {
		const gone = [...this.hostsById.values()].filter(
			tracked => !isPresent(tracked)
		)
		return gone.map(toObservedHost)
	}

	/** When to send the next tick; infinite when none is needed. */
	nextTickAt(): number {
		let earliest = Infinity
		for (const tracked of this.hostsById.values()) {
			earliest = Math.min(earliest, this.getDueAt(tracked))
		}
		return earliest
	}

	private handleEvent(event: MembershipEvent, now: number): void {
		switch (event.type) {
			case MembershipEventType.Listed:
				this.handleList(event.hosts, now)
				return
			case MembershipEventType.Announced:
				this.handleAnnouncement(event.host, event.incarnation, now)
				return
			case MembershipEventType.Heard:
				this.handleHeard(event.hostId, event.incarnation, now)
				return
			case MembershipEventType.StreamReset:
				this.handleReset(event.hostId, event.incarnation, now)
				return
			case MembershipEventType.ConnectFailed:
				this.handleConnectFailure(event.hostId, now)
				return
			case MembershipEventType.Tick:
		}
	}

	private handleList(hosts: readonly HostRecord[], now: number): void {
		const rowsById = new Map(hosts.map(host => [host.id, host]))
		for (const tracked of this.hostsById.values()) {
			const row = rowsById.get(tracked.record.id)
			tracked.listed = row?.state
			if (row?.state !== HostState.Leaving) tracked.ignoresListedLeaving = false
			if (row !== undefined) this.handleRow(tracked, row, now)
		}
		for (const row of hosts) {
			if (row.id === this.options.selfId) continue
			const tracked = this.findOrAdd(row, 0, now)
			tracked.listed = row.state
		}
	}

	/**
	 * Tracks a gone host anew, as suspect, when it is still listed live after the
	 * list's lag. Drops any other host that is listed at a new address and tracks
	 * it there, unless messages still arrive over its link.
	 */
	private handleRow(tracked: TrackedHost, row: HostRecord, now: number): void {
		if (tracked.state === MembershipState.Gone) {
			if (row.state !== HostState.Live || now < tracked.listLagUntil) return
			this.resetTracking(tracked, row, tracked.incarnation, now)
			return
		}
		if (row.address === tracked.record.address) return
		if (this.hasLinkedRole(tracked) && !this.isSilent(tracked)) return
		this.emit(MembershipActionType.Drop, tracked)
		this.resetTracking(tracked, row, tracked.incarnation, now)
	}

	private handleAnnouncement(
		host: HostRecord,
		incarnation: number,
		now: number
	): void {
		if (host.id === this.options.selfId) return
		const tracked = this.findOrAdd(host, incarnation, now)
		if (incarnation < tracked.incarnation) return
		if (incarnation > tracked.incarnation) {
			this.adoptIncarnation(tracked, host, incarnation, now)
		}
		if (host.state === HostState.Leaving) tracked.hasAnnouncedLeaving = true
		if (tracked.hasAnnouncedLeaving) return
		if (tracked.state === MembershipState.Gone) {
			this.resetTracking(tracked, host, incarnation, now)
		}
		this.extendListLag(tracked, now)
	}

	private handleHeard(hostId: string, incarnation: number, now: number): void {
		const tracked = this.hostsById.get(hostId)
		if (tracked === undefined || incarnation < tracked.incarnation) return
		if (incarnation > tracked.incarnation) {
			this.adoptIncarnation(tracked, tracked.record, incarnation, now)
		}
		if (tracked.state === MembershipState.Gone) {
			if (tracked.hasAnnouncedLeaving) return
			this.resetTracking(tracked, tracked.record, incarnation, now)
		}
		const {heartbeatTimeoutMs} = this.options
		tracked.isLinkDown = false
		tracked.connectFailures = 0
		tracked.heartbeatDeadline = now + heartbeatTimeoutMs
		tracked.nextConnectAt = tracked.heartbeatDeadline + heartbeatTimeoutMs
		this.extendListLag(tracked, tracked.heartbeatDeadline)
		this.removeOthersAtAddress(tracked, now)
	}

	private handleReset(hostId: string, incarnation: number, now: number): void {
		const tracked = this.hostsById.get(hostId)
		if (tracked === undefined || !this.hasLinkedRole(tracked)) return
		if (incarnation !== 0 && incarnation < tracked.incarnation) return
		markLinkDown(tracked, now)
	}

	private handleConnectFailure(hostId: string, now: number): void {
		const tracked = this.hostsById.get(hostId)
		if (tracked === undefined || !this.hasLinkedRole(tracked)) return
		tracked.connectFailures += 1
		const {reconnectMs, maxReconnectMs} = this.options
		const backoffMs = reconnectMs * 2 ** (tracked.connectFailures - 1)
		markLinkDown(tracked, now + Math.min(backoffMs, maxReconnectMs))
	}

	private extendListLag(tracked: TrackedHost, since: number): void {
		const until = since + this.options.listLagMs
		tracked.listLagUntil = Math.max(tracked.listLagUntil, until)
	}

	/** Replaces the known process by a restarted one, of a higher incarnation. */
	private adoptIncarnation(
		tracked: TrackedHost,
		host: HostRecord,
		incarnation: number,
		now: number
	): void {
		const isFirst = tracked.incarnation === 0
		const isSameAddress = host.address === tracked.record.address
		if (isFirst && isSameAddress && tracked.state !== MembershipState.Gone) {
			tracked.incarnation = incarnation
			return
		}
		if (tracked.state !== MembershipState.Gone) {
			this.emit(MembershipActionType.Drop, tracked)
		}
		this.resetTracking(tracked, host, incarnation, now)
		tracked.ignoresListedLeaving = tracked.listed === HostState.Leaving
	}

	/**
	 * Only one process can be bound to an address. The host whose message arrived
	 * last is the current one, and any other at its address is gone.
	 */
	private removeOthersAtAddress(current: TrackedHost, now: number): void {
		for (const tracked of this.hostsById.values()) {
			if (tracked === current || tracked.state === MembershipState.Gone)
				continue
			if (tracked.record.address !== current.record.address) continue
			this.markGone(tracked, now)
		}
	}

	/** Derives the state from the list, announcements and heartbeats. */
	private update(tracked: TrackedHost, now: number): void {
		if (tracked.state === MembershipState.Gone) {
			const isForgotten =
				tracked.listed === undefined && now >= tracked.forgetAt
			if (isForgotten) this.hostsById.delete(tracked.record.id)
			return
		}
		if (now >= tracked.heartbeatDeadline) tracked.heartbeatDeadline = 0
		if (this.isConfirmedGone(tracked, now)) {
			this.markGone(tracked, now)
			return
		}
		this.connectIfDue(tracked, now)
		this.changeState(tracked, this.deriveState(tracked))
	}

	private changeState(tracked: TrackedHost, state: MembershipState): void {
		const before = tracked.state
		if (before === state) return
		tracked.state = state
		if (state === MembershipState.Live) {
			this.emit(MembershipActionType.Admit, tracked)
		} else if (before === MembershipState.Live) {
			this.emit(MembershipActionType.StopNewWork, tracked)
		}
	}

	private deriveState(tracked: TrackedHost): MembershipState {
		if (isLeaving(tracked)) return MembershipState.Leaving
		return this.isSilent(tracked)
			? MembershipState.Suspect
			: MembershipState.Live
	}

	private isConfirmedGone(tracked: TrackedHost, now: number): boolean {
		if (tracked.hasAnnouncedLeaving && tracked.isLinkDown) return true
		if (this.hasLinkedRole(tracked) && !this.isSilent(tracked)) return false
		return tracked.listed === undefined && now >= tracked.listLagUntil
	}

	/**
	 * True for a host of a linked role from which nothing is received: no message
	 * arrived yet, the heartbeat deadline passed, or the link is down.
	 */
	private isSilent(tracked: TrackedHost): boolean {
		return this.hasLinkedRole(tracked) && tracked.heartbeatDeadline === 0
	}

	private hasLinkedRole({record}: TrackedHost): boolean {
		return this.options.linkedRoles.includes(record.role)
	}

	private connectIfDue(tracked: TrackedHost, now: number): void {
		if (!this.isSilent(tracked) || now < tracked.nextConnectAt) return
		tracked.nextConnectAt = now + this.options.maxReconnectMs
		this.emit(MembershipActionType.Connect, tracked)
	}

	private markGone(tracked: TrackedHost, now: number): void {
		this.changeState(tracked, MembershipState.Gone)
		tracked.listLagUntil = now + this.options.listLagMs
		tracked.forgetAt = now + this.options.goneRetentionMs
		this.emit(MembershipActionType.Drop, tracked)
	}

	private findOrAdd(
		host: HostRecord,
		incarnation: number,
		now: number
	): TrackedHost {
		const existing = this.hostsById.get(host.id)
		if (existing !== undefined) return existing
		const tracked = createTrackedHost(host, incarnation, now)
		this.extendListLag(tracked, now)
		this.hostsById.set(host.id, tracked)
		return tracked
	}

	/** Discards what is known of a host that restarted, moved or returned. */
	private resetTracking(
		tracked: TrackedHost,
		record: HostRecord,
		incarnation: number,
		now: number
	): void {
		const {listed} = tracked
		const isSameIncarnation = incarnation === tracked.incarnation
		const hasAnnouncedLeaving = isSameIncarnation && tracked.hasAnnouncedLeaving
		const fresh = createTrackedHost(record, incarnation, now)
		Object.assign(tracked, fresh, {listed, hasAnnouncedLeaving})
		this.extendListLag(tracked, now)
	}

	/**
	 * While this process itself was paused it received nothing, so the hosts get
	 * a full heartbeat timeout again before they are suspect.
	 */
	private extendHeartbeatsAfterPause(now: number): void {
		if (now < this.tickDueAt + this.options.pauseThresholdMs) return
		const deadline = now + this.options.heartbeatTimeoutMs
		for (const tracked of this.hostsById.values()) {
			if (tracked.heartbeatDeadline === 0) continue
			tracked.heartbeatDeadline = Math.max(tracked.heartbeatDeadline, deadline)
		}
	}

	private getDueAt(tracked: TrackedHost): number {
		const isUnlisted = tracked.listed === undefined
		if (tracked.state === MembershipState.Gone) {
			return isUnlisted ? tracked.forgetAt : Infinity
		}
		const lagUntil = isUnlisted ? tracked.listLagUntil : Infinity
		if (!this.hasLinkedRole(tracked)) return lagUntil
		if (!this.isSilent(tracked)) return tracked.heartbeatDeadline
		return Math.min(tracked.nextConnectAt, lagUntil)
	}

	private emit(type: MembershipActionType, tracked: TrackedHost): void {
		const {record, incarnation} = tracked
		const {id: hostId, address} = record
		this.actions.push({type, hostId, address, incarnation})
	}
}
