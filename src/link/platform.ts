/**
 * Interface of the platform's object API: versioned objects, conditional writes,
 * long-poll watches and the list of live and leaving hosts.
 *
 * docs/STANDINS.md describes the wire protocol.
 */
import {HostRole, HostState} from "../host/host.js"

/** An object as stored by the platform. */
export interface PlatformObject {
	name: string
	version: number
	value: unknown
}

/** A change that a watch reports; `value` is null for a deleted object. */
export interface PlatformEvent {
	name: string
	version: number
	value: unknown
}

export interface PlatformListing {
	/** Revision from which a watch sees every change after this listing. */
	revision: number
	items: PlatformObject[]
}

export interface PlatformWatch {
	/** Revision to pass to the next watch. */
	revision: number
	events: PlatformEvent[]
	/** True when events were missed; the caller must list the objects again. */
	gap: boolean
}

/** A host in the platform's list, which lags behind the hosts' actual state. */
export interface HostRecord {
	id: string
	role: HostRole
	/** `ip:port` of the host's link server. */
	address: string
	failureDomain: string
	/** Empty for entries. */
	pool: string
	state: HostState
}

/** Result of a conditional write. */
export enum WriteOutcome {
	Written = "written",
	/** Not written: the stored version is not the expected one. */
	Conflict = "conflict",
	/** A server error or no answer: the write may or may not have taken effect. */
	Lost = "lost",
	/** Not written: the platform rejected the call or was not reached. */
	Refused = "refused"
}

export interface WriteResult {
	outcome: WriteOutcome
	/** The new version; after a conflict, the stored version if known. */
	version: number
	detail: string
}

/** Expected version of a write that must create the object. */
export const absentVersion = 0

/** Reads and writes objects. Methods reject with `PlatformError`, writes never. */
export abstract class Platform {
	/** Resolves to undefined when the object does not exist. */
	abstract read(kind: string, name: string): Promise<PlatformObject | undefined>

	abstract list(kind: string, prefix?: string): Promise<PlatformListing>

	/**
	 * Writes if the stored version equals `expected`, or creates the object for
	 * `absentVersion`. Never rejects: the outcome says whether it was written,
	 * or that this is unknown (`Lost`).
	 */
	abstract write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult>

	/** Deletes the object if its stored version equals `expected`; never rejects. */
	abstract remove(
		kind: string,
		name: string,
		expected: number
	): Promise<WriteResult>

	/** Waits for a change after `revision`, at most until `deadline` (epoch ms). */
	abstract watch(
		kind: string,
		revision: number,
		deadline: number
	): Promise<PlatformWatch>

	abstract hosts(): Promise<HostRecord[]>
}
