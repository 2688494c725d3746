/** Where the accepted configuration is in force, host by host. */
import {
	HostState as LinkState,
	type HostStatus,
	type StatusResponse
} from "../contract/gen/link_pb.js"
import {HostState} from "../host/host.js"
import type {HostRecord, Platform} from "../link/platform.js"
import {messageOf} from "../utils/common.js"
import type {EntryLink} from "./entryLink.js"
import {readRoot} from "./storedConfig.js"

/** What is known of one host. */
export interface HostRow {
	id: string
	role: string
	failureDomain: string
	pool: string
	address: string
	state: HostState
	/** Undefined when no process told. */
	generation: number | undefined
	running: number
	queued: number
	platformReachable: boolean | undefined
}

export interface FleetStatus {
	/** Accepted generation, or the highest seen while the platform is out. */
	generation: number
	/** True when the generation was read from the platform. */
	isFromPlatform: boolean
	inForce: number
	hosts: HostRow[]
	/** What could not be asked. */
	faults: string[]
}

/** Asks the platform, if there is one, and all entries; never rejects. */
export async function readStatus(
	platform: Platform | undefined,
	links: readonly EntryLink[]
): Promise<FleetStatus> {
	const faults: string[] = []
	const rows = new Map<string, HostRow>()
	const accepted = await readAccepted(platform, faults)
	for (const record of await readHosts(platform, faults)) {
		rows.set(record.id, rowOfRecord(record))
	}
	const answers = await Promise.all(links.map(link => ask(link, faults)))
	const others = answers.flatMap(answer => answer?.hosts ?? [])
	const selves = answers.flatMap(answer => answer?.self ?? [])
	// What a process says of itself is newer than what others know of it.
	for (const status of [...others, ...selves]) {
		rows.set(status.hostId, mergeStatus(rows.get(status.hostId), status))
	}
	const hosts = [...rows.values()].sort((a, b) => compareRows(a, b))
	const seen = hosts.map(row => row.generation ?? 0)
	const generation = accepted ?? Math.max(0, ...seen)
	const inForce = hosts.filter(row => row.generation === generation).length
	const isFromPlatform = accepted !== undefined
	return {generation, isFromPlatform, inForce, hosts, faults}
}

async function readAccepted(
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

async function ask(
	link: EntryLink,
	faults: string[]
): Promise<StatusResponse | undefined> {
	try {
		return await link.status()
	} catch (err) {
		faults.push(`entry ${link.address}: ${messageOf(err)}`)
		return undefined
	}
}

function rowOfRecord(record: HostRecord): HostRow {
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

/** Entries see each host at different times; generations only rise. */
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
