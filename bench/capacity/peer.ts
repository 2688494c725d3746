/**
 * The child process at the other end of the measured connections, apart from
 * the measuring process so that its processor time is not counted there. It
 * runs simulated endpoint processes, which are real link servers with real
 * reporters but generate chunks themselves instead of calling an engine, or
 * sends HTTP requests as a client. Executes the commands of peerOrders.ts.
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
	createHostId,
	type PeerReply,
	type PeerCommand,
	PeerCommandType
} from "./peerOrders.js"

const workers = 5
const slotsPerWorker = 8
const seatsPerWorker = 8
/**
 * At 1,400 requests per second over 320 endpoint processes, a request starts or
 * ends at each of them every 114 ms.
 */
const loadChangeIntervalMs = 114
const maxResponseBytes = 100_000_000
const httpAgent = new Agent({connections: 2000, pipelining: 1})

class SimulatedEndpoint {
	readonly reporter: Reporter
	private readonly resident = new Map<string, Residency>()
	private nextAdapterId = 0
	private running = 12

	constructor(private readonly index: number) {
		for (let i = 0; i < workers * slotsPerWorker; i++) this.addResidentAdapter()
		this.reporter = new Reporter({
			getStats: () => ({
				hostId: createHostId(index),
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

	replaceAdapter(): void {
		const [oldest] = this.resident.keys()
		if (oldest !== undefined) this.resident.delete(oldest)
		this.addResidentAdapter()
		this.reporter.markChanged()
	}

	/** Changes the reported load as often as requests start and end. */
	simulateLoad(): void {
		setInterval(() => {
			this.running = 12 + ((this.running + 1) % 5)
			this.reporter.markChanged()
		}, loadChangeIntervalMs)
	}

	private addResidentAdapter(): void {
		this.nextAdapterId += 1
		const name = `loom-1:m-${this.index}-${String(this.nextAdapterId).padStart(5, "0")}@v1`
		this.resident.set(name, Residency.RESIDENT)
	}
}

const endpoints: SimulatedEndpoint[] = []

async function startEndpoints(count: number): Promise<string[]> {
	const addresses: string[] = []
	for (let index = 0; index < count; index++) {
		const endpoint = new SimulatedEndpoint(index)
		endpoints.push(endpoint)
		const server = await LinkServer.start({
			address: "127.0.0.1:0",
			onError: console.error,
			handlers: {
				run: call => {
					void streamChunks(call)
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

/** Streams the chunks of the ChunkPlan in the prompt, at its interval. */
async function streamChunks(call: RunCall): Promise<void> {
	const plan = ChunkPlan.parse(call.request.prompt)
	call.on("error", () => undefined)
	writeEvent(call, {
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
		writeEvent(call, {case: "chunk", value})
		offset += text.length
	}
	writeEvent(call, {
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

function writeEvent(call: RunCall, event: RunEvent["event"]): void {
	call.write(create(RunEventSchema, {event}))
}

async function sendRequests(url: string, count: number): Promise<void> {
	const calls = Array.from({length: count}, async () => {
		const res = await request(url, {dispatcher: httpAgent})
		await res.body.dump({limit: maxResponseBytes})
	})
	await Promise.all(calls)
}

async function executeCommand(command: PeerCommand): Promise<void> {
	const reply: PeerReply = {addresses: [], cpuUs: 0}
	if (command.type === PeerCommandType.StartEndpoints) {
		reply.addresses = await startEndpoints(command.count)
	}
	if (command.type === PeerCommandType.ReplaceAdapters) {
		for (const endpoint of endpoints) endpoint.replaceAdapter()
	}
	if (command.type === PeerCommandType.SimulateLoad) {
		for (const endpoint of endpoints) endpoint.simulateLoad()
	}
	if (command.type === PeerCommandType.SendRequests)
		await sendRequests(command.url, command.count)
	reply.cpuUs = readCpuUs()
	process.send?.(reply)
}

process.on("message", (command: PeerCommand) => {
	void executeCommand(command)
})
process.on("disconnect", () => process.exit(0))
