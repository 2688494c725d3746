/** The state that a membership observer keeps for each host. */
import {HostState} from "../host/host.js"
import type {HostRecord} from "../link/platform.js"
import {type ObservedHost, MembershipState} from "./membershipTypes.js"

export interface TrackedHost {
	record: HostRecord
	incarnation: number
	state: MembershipState
	/** State in the platform's latest list; undefined when not listed. */
	listed: HostState | undefined
	/** The process itself announced that it is leaving. */
	hasAnnouncedLeaving: boolean
	/** The listed state "leaving" refers to an earlier incarnation. */
	ignoresListedLeaving: boolean
	/** The link broke or could not be opened after the last message. */
	isLinkDown: boolean
	/** When to open the link again, unless a message arrives before. */
	nextConnectAt: number
	connectFailures: number
	/**
	 * Time by which the next message must arrive; 0 before the first message,
	 * after the deadline and while the link is down.
	 */
	heartbeatDeadline: number
	/**
	 * Until then the lagging list may not yet include a host that is live, or
	 * may still include one that is gone.
	 */
	listLagUntil: number
	/** When a host that is gone and not listed is deleted. */
	forgetAt: number
}

export function createTrackedHost(
	record: HostRecord,
	incarnation: number,
	now: number
): TrackedHost {
	return {
		record,
		incarnation,
		state: MembershipState.Suspect,
		listed: undefined,
		hasAnnouncedLeaving: false,
		ignoresListedLeaving: false,
		isLinkDown: false,
		nextConnectAt: now,
		connectFailures: 0,
		heartbeatDeadline: 0,
		listLagUntil: now,
		forgetAt: Infinity
	}
}

export function markLinkDown(
	tracked: TrackedHost,
	nextConnectAt: number
): void {
	tracked.isLinkDown = true
	tracked.nextConnectAt = nextConnectAt
	tracked.heartbeatDeadline = 0
}

export function isPresent({state}: TrackedHost): boolean {
	return state !== MembershipState.Gone
}

/** True when the process announced it, or is itself listed as leaving. */
export function isLeaving(tracked: TrackedHost): boolean {
	if (tracked.hasAnnouncedLeaving) return true
	const isListed = tracked.listed === HostState.Leaving
	return isListed && !tracked.ignoresListedLeaving
}

export function toObservedHost(tracked: TrackedHost): ObservedHost {
	const {id, role, address, failureDomain, pool} = tracked.record
	const {state, incarnation, heartbeatDeadline} = tracked
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
