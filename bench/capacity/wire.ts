/** Bytes on the wire of one link between an entry and an endpoint process. */
import {create, toBinary} from "@bufbuild/protobuf"
import {
	AckSchema,
	AnnounceSchema,
	HostState,
	type Report,
	ReportAckSchema,
	ReportSchema
} from "../../src/contract/gen/link_pb.js"
import {EndpointLink} from "../../src/entry/endpointLink.js"
import {HostRole} from "../../src/host/host.js"
import {LinkClient, LinkServer} from "../../src/link/index.js"
import {sleep} from "../../src/utils/common.js"
import {ByteCounter, type WireBytes, wireBytesOf} from "./byteCounter.js"
import {hostIdOf} from "./peerOrders.js"
import {PeerProcess} from "./peerProcess.js"
import {type Cell, printTable} from "./print.js"
import {readCpuUs} from "./probe.js"

const settleMs = 2500
const measureMs = 5000
const ackMs = 1000
const replacements = 8
const replaceMs = 600
const announcements = 20
const timedAnnouncements = 500
const announceSettleMs = 500
const generation = 1700
const msPerSecond = 1000

/** Prints bytes of a report link and of an announcement. */
export async function measureWire(): Promise<void> {
	await measureLinkBytes()
	await measureAnnouncements()
}

async function measureLinkBytes(): Promise<void> {
	const peer = new PeerProcess()
	const [target = ""] = await peer.open(1)
	const counter = await ByteCounter.start(target)
	let report: Report | undefined
	const link = new EndpointLink({
		hostId: hostIdOf(0),
		address: counter.address,
		tls: undefined,
		onReport: (_link, latest) => {
			report = latest
		},
		onReset: () => undefined
	})
	link.open()
	await sleep(settleMs)
	const opening = counter.take()
	await sleep(measureMs)
	const reports = counter.take()
	const acks = setInterval(() => {
		link.acknowledge(ackFigures)
	}, ackMs)
	await sleep(measureMs)
	const both = counter.take()
	for (let count = 0; count < replacements; count++) {
		await peer.replace()
		await sleep(replaceMs)
	}
	const changing = counter.take()
	await peer.work()
	await sleep(measureMs)
	const busy = counter.take()
	clearInterval(acks)
	link.close()
	counter.close()
	peer.close()
	const seconds = measureMs / msPerSecond
	const changeSeconds = (replacements * replaceMs) / msPerSecond
	printTable(
		"one report link, both directions, without TLS",
		["what", "payload bytes", "segments", "bytes with IP and TCP headers"],
		[
			row("opening, 40 resident adapters", opening, 1),
			row("a second of heartbeats", reports, seconds),
			row("a second of heartbeats and acknowledgements", both, seconds),
			row(
				"a second with one load and one eviction each 600 ms",
				changing,
				changeSeconds
			),
			row("a second of requests that start and end", busy, seconds)
		]
	)
	const idle = wireBytesOf(both) / seconds
	const extra = wireBytesOf(changing) - idle * changeSeconds
	console.log(`a replaced adapter: ${(extra / replacements).toFixed(0)} bytes`)
	if (report === undefined) return
	const heartbeat = create(ReportSchema, {...report, full: false, changes: []})
	const ack = create(ReportAckSchema, ackFigures)
	console.log(
		`encoded: heartbeat ${toBinary(ReportSchema, heartbeat).length} bytes, ` +
			`acknowledgement ${toBinary(ReportAckSchema, ack).length} bytes`
	)
}

const ackFigures = {
	entryId: "entry-01",
	entryAddress: "10.0.10.11:7000",
	generation,
	fleetLoadDemand: 12.5,
	fleetDemanding: 40,
	loadingProcesses: 320,
	poolHosts: [],
	heartbeatMs: ackMs,
	minReportMs: 200
}

function row(what: string, bytes: WireBytes, by: number): Cell[] {
	const {payload, segments} = bytes
	return [what, payload / by, segments / by, wireBytesOf(bytes) / by]
}

/** Endpoint processes announce themselves to every entry from time to time. */
async function measureAnnouncements(): Promise<void> {
	const server = await LinkServer.start({
		address: "127.0.0.1:0",
		handlers: {announce: () => Promise.resolve(create(AckSchema, {generation}))}
	})
	const counter = await ByteCounter.start(server.address)
	const counted = new LinkClient({address: counter.address})
	const direct = new LinkClient({address: server.address})
	await announce(counted, 1)
	await sleep(announceSettleMs)
	counter.take()
	await announce(counted, announcements)
	await sleep(announceSettleMs)
	const bytes = wireBytesOf(counter.take()) / announcements
	await announce(direct, timedAnnouncements)
	const before = readCpuUs()
	await announce(direct, timedAnnouncements)
	const cpuUs = (readCpuUs() - before) / timedAnnouncements
	console.log(
		`an announcement: ${bytes.toFixed(0)} bytes with headers, ` +
			`${cpuUs.toFixed(0)} us at both ends together`
	)
	counted.close()
	direct.close()
	server.close()
	counter.close()
}

async function announce(client: LinkClient, times: number): Promise<void> {
	const message = create(AnnounceSchema, {
		hostId: hostIdOf(0),
		address: "10.0.10.12:7000",
		pool: "loom-1",
		failureDomain: "a",
		role: HostRole.Endpoint,
		state: HostState.LIVE,
		incarnation: 1_800_000_000_000
	})
	for (let count = 0; count < times; count++) await client.announce(message)
}
