/**
 * Which hosts exist and which may get new work, as one observer sees it.
 *
 * The platform's list lags and has outages, so it is one piece of evidence
 * beside the links. What a host says of itself counts more than the list, and
 * what is heard on a link counts more than what the list leaves out. A list
 * that can't be read is merely old: nothing follows from its age.
 */
import {HostRole, HostState} from "../host/host.js"
import type {HostRecord} from "../link/platform.js"
import {
	closeLink,
	isLeaving,
	isPresent,
	makeMember,
	type Member,
	toHost
} from "./memberRecord.js"
import {
	type MemberHost,
	type MembershipAction,
	MembershipActionType,
	type MembershipEvent,
	MembershipEventType,
	type MembershipOptions,
	MemberState
} from "./memberTypes.js"

const defaultOptions = {
	selfId: "",
	linkedRoles: [HostRole.Endpoint] as readonly HostRole[],
	heartbeatTimeoutMs: 7_000,
	listLagMs: 30_000,
	reconnectMs: 500,
	reconnectMaxMs: 10_000,
	pauseMs: 1_000,
	forgetMs: 10 * 60 * 1_000
}

export class Membership {
	private readonly options: typeof defaultOptions
	private readonly members = new Map<string, Member>()
	private actions: MembershipAction[] = []
	private tickDueAt = Infinity

	constructor(options: MembershipOptions = {}) {
		this.options = {...defaultOptions, ...options}
	}

	/** Takes effect from the next message of each host. */
	setHeartbeatTimeout(heartbeatTimeoutMs: number): void {
		this.options.heartbeatTimeoutMs = heartbeatTimeoutMs
	}

	/** Takes one event and returns what to do about it, in order. */
	step(event: MembershipEvent, now: number): MembershipAction[] {
		this.extendAfterPause(now)
		this.take(event, now)
		for (const member of this.members.values()) this.update(member, now)
		this.tickDueAt = this.nextTickAt()
		const {actions} = this
		this.actions = []
		return actions
	}

	/** All hosts but those that are gone. */
	hosts(): readonly MemberHost[] {
		const present = [...this.members.values()].filter(isPresent)
		return present.map(toHost)
	}

	/** Hosts that went away and may have left calls behind. */
	recentlyGone(): readonly MemberHost[] {
		const gone = [...this.members.values()].filter(member => !isPresent(member))
		return gone.map(toHost)
	}

	/** When to send the next tick; infinite when none is needed. */
	nextTickAt(): number {
		let earliest = Infinity
		for (const member of this.members.values()) {
			earliest = Math.min(earliest, this.dueAt(member))
		}
		return earliest
	}

	private take(event: MembershipEvent, now: number): void {
		switch (event.type) {
			case MembershipEventType.Listed:
				this.takeList(event.hosts, now)
				return
			case MembershipEventType.Announced:
				this.takeAnnouncement(event.host, event.incarnation, now)
				return
			case MembershipEventType.Heard:
				this.takeHeard(event.hostId, event.incarnation, now)
				return
			case MembershipEventType.StreamReset:
				this.takeReset(event.hostId, event.incarnation, now)
				return
			case MembershipEventType.ConnectFailed:
				this.takeConnectFailure(event.hostId, now)
				return
			case MembershipEventType.Tick:
		}
	}

	private takeList(hosts: readonly HostRecord[], now: number): void {
		const rows = new Map(hosts.map(host => [host.id, host]))
		for (const member of this.members.values()) {
			const row = rows.get(member.record.id)
			member.listed = row?.state
			if (row?.state !== HostState.Leaving) member.ignoresListedLeaving = false
			if (row !== undefined) this.takeRow(member, row, now)
		}
		for (const row of hosts) {
			if (row.id === this.options.selfId) continue
			const member = this.findOrAdd(row, 0, now)
			member.listed = row.state
		}
	}

	/** A host that is gone returns when the list holds it past its lag. */
	private takeRow(member: Member, row: HostRecord, now: number): void {
		if (member.state === MemberState.Gone) {
			if (row.state !== HostState.Live || now < member.listLagUntil) return
			this.renew(member, row, member.incarnation, now)
			return
		}
		if (row.address === member.record.address) return
		if (this.isLinked(member) && !this.isSilent(member)) return
		this.emit(MembershipActionType.Drop, member)
		this.renew(member, row, member.incarnation, now)
	}

	private takeAnnouncement(
		host: HostRecord,
		incarnation: number,
		now: number
	): void {
		if (host.id === this.options.selfId) return
		const member = this.findOrAdd(host, incarnation, now)
		if (incarnation < member.incarnation) return
		if (incarnation > member.incarnation) {
			this.takeIncarnation(member, host, incarnation, now)
		}
		if (host.state === HostState.Leaving) member.hasAnnouncedLeaving = true
		if (member.hasAnnouncedLeaving) return
		if (member.state === MemberState.Gone) {
			this.renew(member, host, incarnation, now)
		}
		this.allowListLag(member, now)
	}

	private takeHeard(hostId: string, incarnation: number, now: number): void {
		const member = this.members.get(hostId)
		if (member === undefined || incarnation < member.incarnation) return
		if (incarnation > member.incarnation) {
			this.takeIncarnation(member, member.record, incarnation, now)
		}
		if (member.state === MemberState.Gone) {
			if (member.hasAnnouncedLeaving) return
			this.renew(member, member.record, incarnation, now)
		}
		const {heartbeatTimeoutMs} = this.options
		member.isClosed = false
		member.connectFailures = 0
		member.heartbeatDeadline = now + heartbeatTimeoutMs
		member.connectAt = member.heartbeatDeadline + heartbeatTimeoutMs
		this.allowListLag(member, member.heartbeatDeadline)
		this.endOthersAt(member, now)
	}

	private takeReset(hostId: string, incarnation: number, now: number): void {
		const member = this.members.get(hostId)
		if (member === undefined || !this.isLinked(member)) return
		if (incarnation !== 0 && incarnation < member.incarnation) return
		closeLink(member, now)
	}

	private takeConnectFailure(hostId: string, now: number): void {
		const member = this.members.get(hostId)
		if (member === undefined || !this.isLinked(member)) return
		member.connectFailures += 1
		const {reconnectMs, reconnectMaxMs} = this.options
		const doubled = reconnectMs * 2 ** (member.connectFailures - 1)
		closeLink(member, now + Math.min(doubled, reconnectMaxMs))
	}

	private allowListLag(member: Member, since: number): void {
		const until = since + this.options.listLagMs
		member.listLagUntil = Math.max(member.listLagUntil, until)
	}

	/** A process that was started again replaces its predecessor. */
	private takeIncarnation(
		member: Member,
		host: HostRecord,
		incarnation: number,
		now: number
	): void {
		const isFirst = member.incarnation === 0
		const isSameAddress = host.address === member.record.address
		if (isFirst && isSameAddress && member.state !== MemberState.Gone) {
			member.incarnation = incarnation
			return
		}
		if (member.state !== MemberState.Gone) {
			this.emit(MembershipActionType.Drop, member)
		}
		this.renew(member, host, incarnation, now)
		member.ignoresListedLeaving = member.listed === HostState.Leaving
	}

	/** Only one process can hold an address: the one heard last. */
	private endOthersAt(holder: Member, now: number): void {
		for (const member of this.members.values()) {
			if (member === holder || member.state === MemberState.Gone) continue
			if (member.record.address !== holder.record.address) continue
			this.end(member, now)
		}
	}

	/** Moves a member to the state that follows from the evidence. */
	private update(member: Member, now: number): void {
		if (member.state === MemberState.Gone) {
			const isForgotten = member.listed === undefined && now >= member.forgetAt
			if (isForgotten) this.members.delete(member.record.id)
			return
		}
		if (now >= member.heartbeatDeadline) member.heartbeatDeadline = 0
		if (this.isGone(member, now)) {
			this.end(member, now)
			return
		}
		this.connect(member, now)
		this.changeState(member, this.stateOf(member))
	}

	private changeState(member: Member, state: MemberState): void {
		const before = member.state
		if (before === state) return
		member.state = state
		if (state === MemberState.Live) {
			this.emit(MembershipActionType.Admit, member)
		} else if (before === MemberState.Live) {
			this.emit(MembershipActionType.StopNewWork, member)
		}
	}

	private stateOf(member: Member): MemberState {
		if (isLeaving(member)) return MemberState.Leaving
		return this.isSilent(member) ? MemberState.Suspect : MemberState.Live
	}

	private isGone(member: Member, now: number): boolean {
		if (member.hasAnnouncedLeaving && member.isClosed) return true
		if (this.isLinked(member) && !this.isSilent(member)) return false
		return member.listed === undefined && now >= member.listLagUntil
	}

	/** True when nothing was heard on the link in time. */
	private isSilent(member: Member): boolean {
		return this.isLinked(member) && member.heartbeatDeadline === 0
	}

	private isLinked({record}: Member): boolean {
		return this.options.linkedRoles.includes(record.role)
	}

	private connect(member: Member, now: number): void {
		if (!this.isSilent(member) || now < member.connectAt) return
		member.connectAt = now + this.options.reconnectMaxMs
		this.emit(MembershipActionType.Connect, member)
	}

	private end(member: Member, now: number): void {
		this.changeState(member, MemberState.Gone)
		member.listLagUntil = now + this.options.listLagMs
		member.forgetAt = now + this.options.forgetMs
		this.emit(MembershipActionType.Drop, member)
	}

	private findOrAdd(
		host: HostRecord,
		incarnation: number,
		now: number
	): Member {
		const known = this.members.get(host.id)
		if (known !== undefined) return known
		const member = makeMember(host, incarnation, now)
		this.allowListLag(member, now)
		this.members.set(host.id, member)
		return member
	}

	/** Starts over with a member that is a new process or has returned. */
	private renew(
		member: Member,
		record: HostRecord,
		incarnation: number,
		now: number
	): void {
		const {listed} = member
		const isSame = incarnation === member.incarnation
		const hasAnnouncedLeaving = isSame && member.hasAnnouncedLeaving
		const fresh = makeMember(record, incarnation, now)
		Object.assign(member, fresh, {listed, hasAnnouncedLeaving})
		this.allowListLag(member, now)
	}

	/** After a pause of our own, silence says nothing about the others. */
	private extendAfterPause(now: number): void {
		if (now < this.tickDueAt + this.options.pauseMs) return
		const deadline = now + this.options.heartbeatTimeoutMs
		for (const member of this.members.values()) {
			if (member.heartbeatDeadline === 0) continue
			member.heartbeatDeadline = Math.max(member.heartbeatDeadline, deadline)
		}
	}

	private dueAt(member: Member): number {
		const isUnlisted = member.listed === undefined
		if (member.state === MemberState.Gone) {
			return isUnlisted ? member.forgetAt : Infinity
		}
		const lagUntil = isUnlisted ? member.listLagUntil : Infinity
		if (!this.isLinked(member)) return lagUntil
		if (!this.isSilent(member)) return member.heartbeatDeadline
		return Math.min(member.connectAt, lagUntil)
	}

	private emit(type: MembershipActionType, member: Member): void {
		const {record, incarnation} = member
		const {id: hostId, address} = record
		this.actions.push({type, hostId, address, incarnation})
	}
}
