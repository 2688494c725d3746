/** Collects the state and the configuration generation of every host. */
import {
	HostState as LinkState,
	type HostStatus,
	type StatusResponse
} from "../contract/gen/link_pb.js"
import {HostState} from "../host/host.js"
import type {HostRecord, Platform} from "../link/platform.js"
import {messageOf} from "../utils/common.js"
import type {ProcessLink} from "./processLink.js"
import {readRoot} from "./storedConfig.js"

/** One host, as reported by the platform's list of hosts and by processes. */
export interface HostRow {
	id: string
	role: string
	failureDomain: string
	pool: string
	address: string
	state: HostState
	/**
	 * Generation in force; 0 when the host has none, or when the entry that lists it
	 * has no report from it. Undefined when no process has reported the host.
	 */
	generation: number | undefined
	/** Running requests; 0 when not reported. */
	running: number
	/** Queued requests; 0 when not reported. */
	queued: number
	/**
	 * Not measured: a process sets it to true for itself, and an entry omits it, which
	 * reads as false, for the hosts it lists. Undefined when no process has reported
	 * the host.
	 */
	platformReachable: boolean | undefined
}

export interface FleetStatus {
	/** Accepted generation; if the platform was not read, the highest reported. */
	generation: number
	/** Whether `generation` was read from the platform. */
	isFromPlatform: boolean
	/** Number of hosts that report `generation` as in force. */
	inForce: number
	hosts: HostRow[]
	/** Errors of the calls that failed, one for each call. */
	faults: string[]
}

/**
 * Queries the platform, if it is set, and all entries. Never rejects: each failed
 * call adds a line to `faults`.
 */
export async function readStatus(
	platform: Platform | undefined,
	links: readonly ProcessLink[]
): Promise<FleetStatus> {
	const faults: string[] = []
	const rows = new Map<string, HostRow>()
	const acceptedGeneration = await readAcceptedGeneration(platform, faults)
	for (const record of await readHosts(platform, faults)) {
		rows.set(record.id, createRow(record))
	}
	const answers = await Promise.all(
		links.map(link => fetchStatus(link, faults))
	)
	const reportedStatuses = answers.flatMap(answer => answer?.hosts ?? [])
	const ownStatuses = answers.flatMap(answer => answer?.self ?? [])
	// Merged last, since what a process reports of itself is newer than what
	// the entries know of it.
	for (const status of [...reportedStatuses, ...ownStatuses]) {
		rows.set(status.hostId, mergeStatus(rows.get(status.hostId), status))
	}
	const hosts = [...rows.values()].sort((a, b) => compareRows(a, b))
	const reportedGenerations = hosts.map(row => row.generation ?? 0)
	const generation = acceptedGeneration ?? Math.max(0, ...reportedGenerations)
	const inForce = hosts.filter(row => row.generation === generation).length
	const isFromPlatform = acceptedGeneration !== undefined
	return {generation, isFromPlatform, inForce, hosts, faults}
}

async function readAcceptedGeneration(
	platform: Platform | undefined,
	faults: string[]
): Promise<number | undefined> {
	if (platform === undefined) return undefined
	try {
		const {root} = await readRoot(platform)
		return root?.generation ?? 0
	} catch (err) {
		faults.push(`platform: ${messageOf(err)}`)
		return undefined
	}
}

async function readHosts(
	platform: Platform | undefined,
	faults: string[]
): Promise<HostRecord[]> {
	if (platform === undefined) return []
	try {
		return await platform.hosts()
	} catch (err) {
		faults.push(`list of hosts: ${messageOf(err)}`)
		return []
	}
}

async function fetchStatus(
	link: ProcessLink,
	faults: string[]
): Promise<StatusResponse | undefined> {
	try {
		return await link.status()
	} catch (err) {
		faults.push(`entry ${link.address}: ${messageOf(err)}`)
		return undefined
	}
}

function createRow(record: HostRecord): HostRow {
	const {id, role, failureDomain, pool, address, state} = record
	return {
		id,
		role,
		failureDomain,
		pool,
		address,
		state,
		generation: undefined,
		running: 0,
		queued: 0,
		platformReachable: undefined
	}
}

/**
 * Merges a reported status into a row. Entries may report a host as of different
 * times, so a status with a lower generation than the row's is taken for stale and
 * ignored. Incarnations are not compared: a status that a restarted host sends
 * before it has installed a configuration is ignored as well. A row that is leaving
 * stays so.
 */
function mergeStatus(row: HostRow | undefined, status: HostStatus): HostRow {
	const isStale = (row?.generation ?? 0) > status.generation
	if (row !== undefined && isStale) return row
	const isLeaving =
		status.state === LinkState.LEAVING || row?.state === HostState.Leaving
	return {
		id: status.hostId,
		role: status.role,
		failureDomain: status.failureDomain,
		pool: status.pool,
		address: status.address === "" ? (row?.address ?? "") : status.address,
		state: isLeaving ? HostState.Leaving : HostState.Live,
		generation: status.generation,
		running: status.running,
		queued: status.queued,
		platformReachable: status.platformReachable
	}
}

function compareRows(a: HostRow, b: HostRow): number {
	return a.role.localeCompare(b.role) || a.id.localeCompare(b.id)
}
