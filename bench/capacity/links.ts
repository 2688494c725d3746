/**
 * Measures the processor time and memory of an entry's report links to endpoint
 * processes, at the heartbeat interval that Fleet chooses for their number.
 */
import {Fleet} from "../../src/entry/fleet.js"
import {HostRole, HostState} from "../../src/host/host.js"
import type {HostRecord} from "../../src/link/index.js"
import {Counters, createLog} from "../../src/program/index.js"
import {sleep} from "../../src/utils/common.js"
import {fitLine, type Point} from "./fit.js"
import {IdlePlatform} from "./idlePlatform.js"
import {createHostId} from "./peerOrders.js"
import {PeerProcess} from "./peerProcess.js"
import {type Cell, printTable} from "./print.js"
import {readCpuUs, readMemoryBytes} from "./probe.js"

const linkCounts = [1, 10, 50, 200, 320]
const busyCounts = [50, 200, 320]
const warmUpMs = 2500
const measureMs = 3000
const usPerMs = 1000
const usPerSecond = 1_000_000

export async function measureLinks(): Promise<void> {
	await measureLinkCounts("idle", linkCounts, false)
	await measureLinkCounts("busy", busyCounts, true)
}

async function measureLinkCounts(
	state: string,
	counts: readonly number[],
	isBusy: boolean
): Promise<void> {
	const rows: Cell[][] = []
	const points: Point[] = []
	for (const count of counts) {
		const {entryCoreShare, peerCoreShare, memoryBytes} = await measureLinkCount(
			count,
			isBusy
		)
		points.push({x: count, y: entryCoreShare})
		rows.push([
			String(count),
			100 * entryCoreShare,
			(usPerSecond * entryCoreShare) / count,
			(usPerSecond * peerCoreShare) / count,
			memoryBytes / count / 1000
		])
	}
	printTable(
		`${state} links of one entry (Fleet)`,
		[
			"links",
			"entry % of a core",
			"entry us per link and second",
			"endpoint us per link and second",
			"entry KB of heap per link"
		],
		rows
	)
	const {slope, intercept, maxResidual} = fitLine(points)
	console.log(
		`fit: ${(100 * slope).toFixed(4)}% of a core per link, ` +
			`${(100 * intercept).toFixed(2)}% constant, ` +
			`largest residual ${(100 * maxResidual).toFixed(0)}%`
	)
}

interface LinkCosts {
	entryCoreShare: number
	peerCoreShare: number
	memoryBytes: number
}

async function measureLinkCount(
	count: number,
	isBusy: boolean
): Promise<LinkCosts> {
	const peer = new PeerProcess()
	const addresses = await peer.startEndpoints(count)
	const memoryBefore = readMemoryBytes()
	const fleet = createFleet(addresses)
	await sleep(warmUpMs)
	const memoryBytes = readMemoryBytes() - memoryBefore
	if (isBusy) await peer.simulateLoad()
	const peerBefore = await peer.readCpuUs()
	const startedAt = performance.now()
	const entryBefore = readCpuUs()
	await sleep(measureMs)
	const entryUs = readCpuUs() - entryBefore
	const elapsedUs = (performance.now() - startedAt) * usPerMs
	const peerUs = (await peer.readCpuUs()) - peerBefore
	fleet.close()
	peer.close()
	return {
		entryCoreShare: entryUs / elapsedUs,
		peerCoreShare: peerUs / elapsedUs,
		memoryBytes
	}
}

/**
 * A Fleet on a platform whose list of hosts never changes, so that it opens its
 * links once.
 */
export function createFleet(addresses: readonly string[]): Fleet {
	const records = addresses.map((address, index): HostRecord => ({
		id: createHostId(index),
		role: HostRole.Endpoint,
		address,
		failureDomain: "a",
		pool: "loom-1",
		state: HostState.Live
	}))
	const role = HostRole.Entry
	const hostId = "entry-01"
	const fleet = new Fleet({
		selfId: hostId,
		selfAddress: "127.0.0.1:1",
		platform: new IdlePlatform(records),
		tls: undefined,
		counters: new Counters({role, hostId}),
		log: createLog({role, hostId, level: "error"}),
		generation: () => 1,
		onGeneration: () => undefined
	})
	void fleet.run()
	return fleet
}
