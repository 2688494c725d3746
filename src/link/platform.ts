/**
 * Client of the platform's object API: objects with versions, conditional
 * updates, long-poll watches and the list of live and leaving hosts.
 *
 * The wire protocol is described in docs/STANDINS.md.
 */
import {HostRole, HostState} from "../host/host.js"

/** An object as stored by the platform. */
export interface PlatformObject {
	name: string
	version: number
	value: unknown
}

/** A change seen by a watch; `value` is null when the object was deleted. */
export interface PlatformEvent {
	name: string
	version: number
	value: unknown
}

export interface PlatformListing {
	/** Revision to pass to the next watch. */
	revision: number
	items: PlatformObject[]
}

export interface PlatformWatch {
	revision: number
	events: PlatformEvent[]
	/** True when events were missed and the caller must list again. */
	gap: boolean
}

/** One row of the platform's lagging list of hosts. */
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

/** How a write ended. Lost means it may or may not have taken effect. */
export enum WriteOutcome {
	Written = "written",
	Conflict = "conflict",
	Lost = "lost",
	Refused = "refused"
}

export interface WriteResult {
	outcome: WriteOutcome
	/** The new version, or the version that conflicted when known. */
	version: number
	detail: string
}

/** The version to pass for "the object must not exist". */
export const absentVersion = 0

/** Reads and writes objects; every method rejects with `PlatformError`. */
export abstract class Platform {
	/** Resolves to undefined when the object does not exist. */
	abstract read(kind: string, name: string): Promise<PlatformObject | undefined>

	abstract list(kind: string, prefix?: string): Promise<PlatformListing>

	/**
	 * Writes if the stored version equals `expected` (`absentVersion` for
	 * create-if-absent). Never rejects: the outcome says what is known.
	 */
	abstract write(
		kind: string,
		name: string,
		value: unknown,
		expected: number
	): Promise<WriteResult>

	abstract remove(
		kind: string,
		name: string,
		expected: number
	): Promise<WriteResult>

	/** Waits until a change after `revision` or until `deadline` (epoch ms). */
	abstract watch(
		kind: string,
		revision: number,
		deadline: number
	): Promise<PlatformWatch>

	abstract hosts(): Promise<HostRecord[]>
}
