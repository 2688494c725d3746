/**
 * A child process that stands for endpoint processes: real link servers with
 * real reporters, and a source of chunks in place of an engine.
 */
import {create} from "@bufbuild/protobuf"
import {Agent, request} from "undici"
import {
	HostState,
	Residency,
	type RunEvent,
	RunEventSchema
} from "../../src/contract/gen/link_pb.js"
import {LinkServer, type RunCall} from "../../src/link/index.js"
import {Reporter} from "../../src/endpoint/reporter.js"
import {readCpuUs} from "./probe.js"
import {ChunkPlan} from "./chunkPlan.js"
import {
	hostIdOf,
	type PeerAnswer,
	type PeerOrder,
	PeerOrderType
} from "./peerOrders.js"

const workers = 5
const slotsPerWorker = 8
const seatsPerWorker = 8
/** 1,400 requests a second start and end at 320 endpoint processes. */
const loadChangeMs = 114
const maxAnswerBytes = 100_000_000
const agent = new Agent({connections: 2000, pipelining: 1})

class PeerEndpoint {
	readonly reporter: Reporter
	private readonly resident = new Map<string, Residency>()
	private next = 0
	private running = 12

	constructor(private readonly index: number) {
		for (let i = 0; i < workers * slotsPerWorker; i++) this.add()
		this.reporter = new Reporter({
			getStats: () => ({
				hostId: hostIdOf(index),
				incarnation: 1,
				pool: "loom-1",
				failureDomain: "a",
				state: HostState.LIVE,
				generation: 1,
				workers,
				seats: workers * seatsPerWorker,
				slots: workers * slotsPerWorker,
				running: this.running,
				queued: 3,
				loadDemand: 2,
				loadMs: 250
			}),
			getResidency: () => this.resident,
			onAck: () => undefined
		})
	}

	replace(): void {
		const [oldest] = this.resident.keys()
		if (oldest !== undefined) this.resident.delete(oldest)
		this.add()
		this.reporter.markChanged()
	}

	/** Changes the load figures as often as requests start and end. */
	work(): void {
		setInterval(() => {
			this.running = 12 + ((this.running + 1) % 5)
			this.reporter.markChanged()
		}, loadChangeMs)
	}

	private add(): void {
		this.next += 1
		const name = `loom-1:m-${this.index}-${String(this.next).padStart(5, "0")}@v1`
		this.resident.set(name, Residency.RESIDENT)
	}
}

const endpoints: PeerEndpoint[] = []

async function open(count: number): Promise<string[]> {
	const addresses: string[] = []
	for (let index = 0; index < count; index++) {
		const endpoint = new PeerEndpoint(index)
		endpoints.push(endpoint)
		const server = await LinkServer.start({
			address: "127.0.0.1:0",
			handlers: {
				run: call => {
					void run(call)
				},
				report: call => {
					endpoint.reporter.attach(call)
				}
			}
		})
		addresses.push(server.address)
	}
	return addresses
}

/** Sends what the prompt plans, at its pace. */
async function run(call: RunCall): Promise<void> {
	const plan = ChunkPlan.parse(call.request.prompt)
	call.on("error", () => undefined)
	write(call, {
		case: "started",
		value: {
			$typeName: "goldcrestloom.link.v1.Started",
			hostId: "host-0",
			incarnation: 1,
			loadStallMs: 0,
			queueMs: 0
		}
	})
	let offset = 0
	for (let sent = 0; sent < plan.chunks; sent++) {
		await new Promise(resolve => setTimeout(resolve, plan.intervalMs))
		if (call.cancelled) return
		const text = "word ".repeat(plan.tokensPerChunk)
		const value = {
			$typeName: "goldcrestloom.link.v1.Chunk" as const,
			offset,
			text
		}
		write(call, {case: "chunk", value})
		offset += text.length
	}
	write(call, {
		case: "finished",
		value: {
			$typeName: "goldcrestloom.link.v1.Finished",
			length: offset,
			finishReason: "stop",
			adapter: call.request.adapter,
			completionTokens: plan.chunks * plan.tokensPerChunk,
			promptTokens: 10
		}
	})
	call.end()
}

function write(call: RunCall, event: RunEvent["event"]): void {
	call.write(create(RunEventSchema, {event}))
}

async function callAll(url: string, count: number): Promise<void> {
	const calls = Array.from({length: count}, async () => {
		const res = await request(url, {dispatcher: agent})
		await res.body.dump({limit: maxAnswerBytes})
	})
	await Promise.all(calls)
}

async function obey(order: PeerOrder): Promise<void> {
	const answer: PeerAnswer = {addresses: [], cpuUs: 0}
	if (order.type === PeerOrderType.Open) {
		answer.addresses = await open(order.count)
	}
	if (order.type === PeerOrderType.Replace) {
		for (const endpoint of endpoints) endpoint.replace()
	}
	if (order.type === PeerOrderType.Work) {
		for (const endpoint of endpoints) endpoint.work()
	}
	if (order.type === PeerOrderType.Call) await callAll(order.url, order.count)
	answer.cpuUs = readCpuUs()
	process.send?.(answer)
}

process.on("message", (order: PeerOrder) => {
	void obey(order)
})
process.on("disconnect", () => process.exit(0))
