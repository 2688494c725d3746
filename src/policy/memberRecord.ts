/** What a membership observer holds about one host. */
import {HostState} from "../host/host.js"
import type {HostRecord} from "../link/platform.js"
import {type MemberHost, MemberState} from "./memberTypes.js"

export interface Member {
	record: HostRecord
	incarnation: number
	state: MemberState
	/** State in the newest list; undefined when it is not there. */
	listed: HostState | undefined
	/** The host said itself that it leaves. */
	hasAnnouncedLeaving: boolean
	/** The list's "leaving" is about an earlier incarnation. */
	ignoresListedLeaving: boolean
	/** The link broke or could not be opened since the host was last heard. */
	isClosed: boolean
	/** When to open the link again, if the host is still silent. */
	connectAt: number
	connectFailures: number
	/** Time by which the next message must be heard; 0 while silent. */
	heartbeatDeadline: number
	/** Until then the list may still lack, or still hold, this host. */
	listLagUntil: number
	/** When a host that is gone is forgotten. */
	forgetAt: number
}

export function makeMember(
	record: HostRecord,
	incarnation: number,
	now: number
): Member {
	return {
		record,
		incarnation,
		state: MemberState.Suspect,
		listed: undefined,
		hasAnnouncedLeaving: false,
		ignoresListedLeaving: false,
		isClosed: false,
		connectAt: now,
		connectFailures: 0,
		heartbeatDeadline: 0,
		listLagUntil: now,
		forgetAt: Infinity
	}
}

export function closeLink(member: Member, connectAt: number): void {
	member.isClosed = true
	member.connectAt = connectAt
	member.heartbeatDeadline = 0
}

export function isPresent({state}: Member): boolean {
	return state !== MemberState.Gone
}

/** True when the host said so itself, or the list says so of this process. */
export function isLeaving(member: Member): boolean {
	if (member.hasAnnouncedLeaving) return true
	const isListed = member.listed === HostState.Leaving
	return isListed && !member.ignoresListedLeaving
}

export function toHost(member: Member): MemberHost {
	const {id, role, address, failureDomain, pool} = member.record
	const {state, incarnation, heartbeatDeadline} = member
	return {
		id,
		role,
		address,
		failureDomain,
		pool,
		state,
		incarnation,
		heartbeatDeadline
	}
}
