/** Processor time and memory of report links between entry and endpoints. */
import {Fleet} from "../../src/entry/fleet.js"
import {HostRole, HostState} from "../../src/host/host.js"
import type {HostRecord} from "../../src/link/index.js"
import {Counters, createLog} from "../../src/program/index.js"
import {sleep} from "../../src/utils/common.js"
import {fitLine, type Point} from "./fit.js"
import {IdlePlatform} from "./idlePlatform.js"
import {hostIdOf} from "./peerOrders.js"
import {PeerProcess} from "./peerProcess.js"
import {type Cell, printTable} from "./print.js"
import {readCpuUs, readMemoryBytes} from "./probe.js"

const linkCounts = [1, 10, 50, 200, 320]
const busyCounts = [50, 200, 320]
const settleMs = 2500
const measureMs = 3000
const usPerMs = 1000
const usPerSecond = 1_000_000

/** Prints processor time and memory against links, idle and busy. */
export async function measureLinks(): Promise<void> {
	await measureSizes("idle", linkCounts, false)
	await measureSizes("busy", busyCounts, true)
}

async function measureSizes(
	state: string,
	counts: readonly number[],
	isBusy: boolean
): Promise<void> {
	const rows: Cell[][] = []
	const points: Point[] = []
	for (const count of counts) {
		const {entryShare, peerShare, memoryBytes} = await measureOne(count, isBusy)
		points.push({x: count, y: entryShare})
		rows.push([
			String(count),
			100 * entryShare,
			(usPerSecond * entryShare) / count,
			(usPerSecond * peerShare) / count,
			memoryBytes / count / 1000
		])
	}
	printTable(
		`${state} links of one entry (Fleet)`,
		[
			"links",
			"entry % of a core",
			"entry us a link and second",
			"endpoint us a link and second",
			"entry KB of heap a link"
		],
		rows
	)
	const {slope, intercept, maxResidual} = fitLine(points)
	console.log(
		`fit: ${(100 * slope).toFixed(4)}% of a core a link, ` +
			`${(100 * intercept).toFixed(2)}% constant, ` +
			`largest residual ${(100 * maxResidual).toFixed(0)}%`
	)
}

interface LinkCosts {
	entryShare: number
	peerShare: number
	memoryBytes: number
}

async function measureOne(count: number, isBusy: boolean): Promise<LinkCosts> {
	const peer = new PeerProcess()
	const addresses = await peer.open(count)
	const memoryBefore = readMemoryBytes()
	const fleet = createFleet(addresses)
	await sleep(settleMs)
	const memoryBytes = readMemoryBytes() - memoryBefore
	if (isBusy) await peer.work()
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
		entryShare: entryUs / elapsedUs,
		peerShare: peerUs / elapsedUs,
		memoryBytes
	}
}

/** A fleet that reads its list once and then only follows its links. */
export function createFleet(addresses: readonly string[]): Fleet {
	const records = addresses.map((address, index): HostRecord => ({
		id: hostIdOf(index),
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
