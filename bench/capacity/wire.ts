/**
 * Measures the bytes on the wire of a report link between an entry and an
 * endpoint process, and the bytes and time of an announcement.
 */
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
import {ByteCounter, type WireBytes, getWireBytes} from "./byteCounter.js"
import {createHostId} from "./peerOrders.js"
import {PeerProcess} from "./peerProcess.js"
import {type Cell, printTable} from "./print.js"
import {readCpuUs} from "./probe.js"

const warmUpMs = 2500
const measureMs = 5000
const ackIntervalMs = 1000
const adapterReplacements = 8
const replacementIntervalMs = 600
const countedAnnouncements = 20
const timedAnnouncements = 500
const announceSettleMs = 500
const generation = 1700
const msPerSecond = 1000

export async function measureWire(): Promise<void> {
	await measureLinkBytes()
	await measureAnnouncements()
}

async function measureLinkBytes(): Promise<void> {
	const peer = new PeerProcess()
	const [target = ""] = await peer.startEndpoints(1)
	const counter = await ByteCounter.start(target)
	let report: Report | undefined
	const link = new EndpointLink({
		hostId: createHostId(0),
		address: counter.address,
		tls: undefined,
		onReport: (_link, latest) => {
			report = latest
		},
		onReset: () => undefined
	})
	link.open()
	await sleep(warmUpMs)
	const opening = counter.readAndReset()
	await sleep(measureMs)
	const reports = counter.readAndReset()
	const acks = setInterval(() => {
		link.acknowledge(ackFields)
	}, ackIntervalMs)
	await sleep(measureMs)
	const both = counter.readAndReset()
	for (let count = 0; count < adapterReplacements; count++) {
		await peer.replaceAdapters()
		await sleep(replacementIntervalMs)
	}
	const changing = counter.readAndReset()
	await peer.simulateLoad()
	await sleep(measureMs)
	const busy = counter.readAndReset()
	clearInterval(acks)
	link.close()
	counter.close()
	peer.close()
	const seconds = measureMs / msPerSecond
	const changeSeconds =
		(adapterReplacements * replacementIntervalMs) / msPerSecond
	printTable(
		"one report link, both directions, without TLS",
		["event", "payload bytes", "segments", "bytes with IP and TCP headers"],
		[
			createRow("opening, 40 resident adapters", opening, 1),
			createRow("1 s of heartbeats", reports, seconds),
			createRow("1 s of heartbeats and acknowledgements", both, seconds),
			createRow(
				"1 s with one load and one eviction every 600 ms",
				changing,
				changeSeconds
			),
			createRow("1 s with requests that start and end", busy, seconds)
		]
	)
	const idle = getWireBytes(both) / seconds
	const extra = getWireBytes(changing) - idle * changeSeconds
	console.log(
		`a replaced adapter: ${(extra / adapterReplacements).toFixed(0)} bytes`
	)
	if (report === undefined) return
	const heartbeat = create(ReportSchema, {...report, full: false, changes: []})
	const ack = create(ReportAckSchema, ackFields)
	console.log(
		`encoded: heartbeat ${toBinary(ReportSchema, heartbeat).length} bytes, ` +
			`acknowledgement ${toBinary(ReportAckSchema, ack).length} bytes`
	)
}

const ackFields = {
	entryId: "entry-01",
	entryAddress: "10.0.10.11:7000",
	generation,
	fleetLoadDemand: 12.5,
	fleetDemanding: 40,
	loadingProcesses: 320,
	poolHosts: [],
	heartbeatMs: ackIntervalMs,
	minReportMs: 200
}

function createRow(event: string, bytes: WireBytes, divisor: number): Cell[] {
	const {payload, segments} = bytes
	return [
		event,
		payload / divisor,
		segments / divisor,
		getWireBytes(bytes) / divisor
	]
}

async function measureAnnouncements(): Promise<void> {
	const server = await LinkServer.start({
		address: "127.0.0.1:0",
		onError: console.error,
		handlers: {announce: () => Promise.resolve(create(AckSchema, {generation}))}
	})
	const counter = await ByteCounter.start(server.address)
	const counted = new LinkClient({address: counter.address})
	const direct = new LinkClient({address: server.address})
	await sendAnnouncements(counted, 1)
	await sleep(announceSettleMs)
	counter.readAndReset()
	await sendAnnouncements(counted, countedAnnouncements)
	await sleep(announceSettleMs)
	const bytes = getWireBytes(counter.readAndReset()) / countedAnnouncements
	await sendAnnouncements(direct, timedAnnouncements)
	const before = readCpuUs()
	await sendAnnouncements(direct, timedAnnouncements)
	const cpuUs = (readCpuUs() - before) / timedAnnouncements
	console.log(
		`an announcement: ${bytes.toFixed(0)} bytes with headers, ` +
			`${cpuUs.toFixed(0)} us of processor time, client and server together`
	)
	counted.close()
	direct.close()
	server.close()
	counter.close()
}

async function sendAnnouncements(
	client: LinkClient,
	times: number
): Promise<void> {
	const message = create(AnnounceSchema, {
		hostId: createHostId(0),
		address: "10.0.10.12:7000",
		pool: "loom-1",
		failureDomain: "a",
		role: HostRole.Endpoint,
		state: HostState.LIVE,
		incarnation: 1_800_000_000_000
	})
	for (let count = 0; count < times; count++) await client.announce(message)
}
