/** Measures the processor time and memory of an entry's running streams. */
import {create} from "@bufbuild/protobuf"
import {createServer, type Server, type ServerResponse} from "node:http"
import type {AddressInfo} from "node:net"
import {
	RequestClass as LinkRequestClass,
	RunRequestSchema
} from "../../src/contract/gen/link_pb.js"
import {StreamWriter} from "../../src/entry/completionWriter.js"
import type {Fleet} from "../../src/entry/fleet.js"
import {GenerationCall} from "../../src/entry/generationCall.js"
import {
	RequestClass,
	ResidencyRouter,
	RetryBudget
} from "../../src/policy/index.js"
import {Counters} from "../../src/program/index.js"
import {sleep} from "../../src/utils/common.js"
import {ChunkPlan} from "./chunkPlan.js"
import {fitLine, type Point} from "./fit.js"
import {createFleet} from "./links.js"
import {PeerProcess} from "./peerProcess.js"
import {type Cell, formatNumber, printTable} from "./print.js"
import {readCpuUs, readMemoryBytes} from "./probe.js"
import {createRoute} from "./settings.js"

const pool = "loom-1"
const model = "loom-1:m-000001@v1"
const connectWaitMs = 1500
const endpointCount = 8
const requestTimeoutMs = 60_000
const memoryTestRequests = 500
const memorySampleDelayMs = 3000
const concurrentStreams = 200
const singleTokenPlans = [
	new ChunkPlan(1, 1, 36),
	new ChunkPlan(20, 1, 36),
	new ChunkPlan(60, 1, 36)
]
const multiTokenPlans = [new ChunkPlan(20, 8, 100), new ChunkPlan(20, 40, 100)]

/** The entry's routing, calls and stream writer behind a plain HTTP server. */
class StreamEntry {
	private readonly router = new ResidencyRouter()
	private readonly budget = new RetryBudget()
	private readonly counters = new Counters({role: "entry", hostId: "entry-01"})
	private server: Server | undefined
	failures = 0

	constructor(private readonly fleet: Fleet) {}

	async start(): Promise<string> {
		const server = createServer((req, res) => {
			void this.serve(new URL(req.url ?? "", "http://entry"), res)
		})
		this.server = server
		await new Promise<void>(resolve => {
			server.listen(0, "127.0.0.1", resolve)
		})
		const {address, port} = server.address() as AddressInfo
		return `http://${address}:${port}`
	}

	close(): void {
		this.server?.closeAllConnections()
		this.server?.close()
	}

	private async serve(url: URL, res: ServerResponse): Promise<void> {
		const requestId = `request-${Math.random()}`
		const deadline = Date.now() + requestTimeoutMs
		const writer = new StreamWriter({res, requestId, model, isChat: true})
		const call = new GenerationCall({
			route: createRoute(pool, pool),
			req: create(RunRequestSchema, {
				requestId,
				adapter: model,
				class: LinkRequestClass.INTERACTIVE,
				deadlineMs: deadline,
				prompt: url.searchParams.get("plan") ?? ""
			}),
			adapter: model,
			query: {
				adapter: model,
				class: RequestClass.Interactive,
				member: "member",
				deadline,
				prefixHash: 0,
				failureDomain: "a"
			},
			fleet: this.fleet,
			router: this.router,
			budget: this.budget,
			counters: this.counters,
			sink: writer,
			signal: new AbortController().signal
		})
		const failed = await call.run()
		if (failed === undefined) return
		this.failures += 1
		writer.fail(failed)
	}
}

/**
 * Prints the processor time per chunk and token, that of a request without its
 * chunks, and the memory per running request.
 */
export async function measureStreams(): Promise<void> {
	const peer = new PeerProcess()
	const caller = new PeerProcess()
	const fleet = createFleet(await peer.startEndpoints(endpointCount))
	const entry = new StreamEntry(fleet)
	const url = await entry.start()
	await sleep(connectWaitMs)
	const send = async (
		plan: ChunkPlan,
		count = concurrentStreams
	): Promise<void> => {
		await caller.sendRequests(
			`${url}/?plan=${encodeURIComponent(String(plan))}`,
			count
		)
	}
	await send(new ChunkPlan(20, 1, 36))
	const measureUsPerRequest = async (plan: ChunkPlan): Promise<number> => {
		const before = readCpuUs()
		await send(plan)
		return (readCpuUs() - before) / concurrentStreams
	}
	const points: Point[] = []
	const rows: Cell[][] = []
	for (const plan of singleTokenPlans) {
		points.push({x: plan.chunks, y: await measureUsPerRequest(plan)})
	}
	const {slope, intercept, maxResidual} = fitLine(points)
	rows.push(["1", slope, slope])
	for (const plan of multiTokenPlans) {
		const us = ((await measureUsPerRequest(plan)) - intercept) / plan.chunks
		rows.push([String(plan.tokensPerChunk), us, us / plan.tokensPerChunk])
	}
	printTable(
		`an entry with ${concurrentStreams} concurrent streams`,
		["tokens per chunk", "us per chunk", "us per token"],
		rows
	)
	console.log(
		`a request without its chunks: ${formatNumber(intercept)} us, ` +
			`largest residual of the fit ${(100 * maxResidual).toFixed(0)}%`
	)
	await printMemory(plan => send(plan, memoryTestRequests))
	console.log(`failed streams: ${entry.failures}`)
	entry.close()
	fleet.close()
	peer.close()
	caller.close()
}

async function printMemory(
	send: (plan: ChunkPlan) => Promise<void>
): Promise<void> {
	const before = readMemoryBytes()
	const sent = send(new ChunkPlan(5, 40, 1000))
	await sleep(memorySampleDelayMs)
	const bytes = (readMemoryBytes() - before) / memoryTestRequests
	await sent
	console.log(`a running request: ${formatNumber(bytes / 1000)} KB of memory`)
}
