import {once} from "node:events"
import {create} from "@bufbuild/protobuf"
import * as grpc from "@grpc/grpc-js"
import {afterEach, expect, test} from "vitest"
import {Step} from "../../contract/errors.js"
import {
	AckSchema,
	ConfigResponseSchema,
	type ReportAck,
	ReportAckSchema,
	ReportSchema,
	type RunEvent,
	RunEventSchema,
	RunRequestSchema
} from "../../contract/gen/link_pb.js"
import {ClientPool} from "../clientPool.js"
import {LinkClient, LinkError} from "../linkClient.js"
import {
	type LinkHandlers,
	LinkServer,
	RefusedCallError,
	type RunCall
} from "../linkServer.js"

const deadlineMs = 30_000
const servers: LinkServer[] = []
const clients: LinkClient[] = []

afterEach(() => {
	for (const client of clients.splice(0)) client.close()
	for (const server of servers.splice(0)) server.close()
})

async function start(
	handlers: LinkHandlers,
	address = "127.0.0.1:0"
): Promise<LinkServer> {
	const server = await LinkServer.start({
		address,
		handlers,
		onError: err => {
			throw err
		}
	})
	servers.push(server)
	return server
}

function open(address: string, timeoutMs = 3000): LinkClient {
	const client = new LinkClient({address, timeoutMs})
	clients.push(client)
	return client
}

async function connect(handlers: LinkHandlers): Promise<LinkClient> {
	return open((await start(handlers)).address)
}

test("a unary call delivers the request and the answer unchanged", async () => {
	const roots: Uint8Array[] = []
	const client = await connect({
		offer: offer => {
			roots.push(offer.root)
			const {generation} = offer
			return Promise.resolve(create(AckSchema, {generation}))
		}
	})
	const root = new Uint8Array([0, 255, 7])
	const ack = await client.offer({root, generation: 2 ** 40})
	expect(ack.generation).toBe(2 ** 40)
	expect(roots.map(bytes => [...bytes])).toEqual([[0, 255, 7]])
})

test("answers sent in reverse order reach their own calls", async () => {
	const replies: (() => void)[] = []
	const client = await connect({
		config: req =>
			new Promise(resolve => {
				const {knownGeneration: generation} = req
				const res = create(ConfigResponseSchema, {generation})
				replies.push(() => {
					resolve(res)
				})
				if (replies.length < 3) return
				for (const reply of replies.reverse()) reply()
			})
	})
	const calls = [1, 2, 3].map(knownGeneration =>
		client.config({knownGeneration})
	)
	const generations = (await Promise.all(calls)).map(res => res.generation)
	expect(generations).toEqual([1, 2, 3])
})

test("RefusedCallError keeps its status code and other errors become INTERNAL", async () => {
	const {NOT_FOUND, INTERNAL, UNIMPLEMENTED} = grpc.status
	const client = await connect({
		drain: () => Promise.reject(new RefusedCallError(NOT_FOUND, "who")),
		status: () => Promise.reject(new TypeError("a fault"))
	})
	const peer = client.address
	await expect(client.drain({})).rejects.toMatchObject({
		code: NOT_FOUND,
		message: "who",
		step: Step.Forward,
		peer
	})
	await expect(client.status()).rejects.toMatchObject({code: INTERNAL, peer})
	await expect(client.ticket({})).rejects.toMatchObject({code: UNIMPLEMENTED})
})

test("a unary call without an answer fails at its timeout", async () => {
	const server = await start({status: () => new Promise(() => undefined)})
	const client = open(server.address, 50)
	await expect(client.status()).rejects.toMatchObject({
		code: grpc.status.DEADLINE_EXCEEDED
	})
})

test("a call to an address without a listener rejects with LinkError", async () => {
	const server = await start({})
	server.close()
	const client = open(server.address)
	await expect(client.status()).rejects.toThrow(LinkError)
	expect(await client.waitForReady(Date.now() + 50)).toBe(false)
})

test("an address in use cannot be bound again", async () => {
	const {address} = await start({})
	await expect(start({}, address)).rejects.toThrow(/EADDRINUSE|No address/)
})

/** Reads a run to its end; returns its events and its gRPC status code. */
async function collectRun(
	client: LinkClient,
	requestId: string
): Promise<{events: RunEvent[]; code: grpc.status}> {
	const req = create(RunRequestSchema, {requestId})
	const stream = client.run(req, Date.now() + deadlineMs)
	const events: RunEvent[] = []
	stream.on("data", (event: RunEvent) => events.push(event))
	stream.on("error", () => undefined)
	const code = await new Promise<grpc.status>(resolve => {
		stream.on("status", ended => {
			resolve(ended.code)
		})
	})
	return {events, code}
}

function createAnswer(text: string): RunEvent {
	const body = new TextEncoder().encode(text)
	const value = {status: 200, body}
	return create(RunEventSchema, {event: {case: "answer", value}})
}

test("a run streams its events in order and ends with OK", async () => {
	const client = await connect({
		run: call => {
			const {requestId} = call.request
			for (let i = 0; i < 50; i++) call.write(createAnswer(`${requestId}-${i}`))
			call.end()
		}
	})
	const runs = await Promise.all([
		collectRun(client, "a"),
		collectRun(client, "b")
	])
	const texts = runs.map(({events}) => events.map(textOf))
	expect(texts).toEqual(
		["a", "b"].map(id => listIndexes(50).map(i => `${id}-${i}`))
	)
	expect(runs.map(({code}) => code)).toEqual([grpc.status.OK, grpc.status.OK])
})

test("a run that the server cuts off does not end with OK", async () => {
	const calls: RunCall[] = []
	const server = await start({
		run: call => {
			calls.push(call)
			call.write(createAnswer("first"))
		}
	})
	const run = collectRun(open(server.address), "a")
	while (calls.length === 0) await new Promise(setImmediate)
	server.close()
	expect((await run).code).not.toBe(grpc.status.OK)
})

test("cancelling a run cancels the call on the server", async () => {
	const calls: RunCall[] = []
	const client = await connect({
		run: call => {
			calls.push(call)
			call.write(createAnswer("first"))
		}
	})
	const req = create(RunRequestSchema, {requestId: "a"})
	const stream = client.run(req, Date.now() + deadlineMs)
	stream.on("error", () => undefined)
	await new Promise(resolve => stream.once("data", resolve))
	const [call] = calls
	if (call === undefined) throw new Error("no call arrived")
	const cancelled = once(call, "cancelled")
	stream.cancel()
	await cancelled
	expect(call.cancelled).toBe(true)
})

test("reports and acknowledgements travel on one stream", async () => {
	const client = await connect({
		report: call => {
			call.on("data", ({generation}: ReportAck) => {
				call.write(create(ReportSchema, {generation: generation + 1}))
			})
		}
	})
	const stream = client.report()
	stream.on("error", () => undefined)
	const answered = new Promise<number>(resolve => {
		stream.once("data", ({generation}: {generation: number}) => {
			resolve(generation)
		})
	})
	stream.write(create(ReportAckSchema, {generation: 4}))
	expect(await answered).toBe(5)
	stream.cancel()
})

test("a client pool has one client per address and closes unused ones", () => {
	const pool = new ClientPool(undefined)
	const first = pool.get("127.0.0.1:1")
	expect(pool.get("127.0.0.1:1")).toBe(first)
	pool.get("127.0.0.1:2")
	pool.closeExcept(new Set(["127.0.0.1:2"]))
	expect(pool.addresses).toEqual(["127.0.0.1:2"])
	expect(pool.get("127.0.0.1:1")).not.toBe(first)
	pool.close()
	expect(pool.addresses).toEqual([])
})

function textOf({event}: RunEvent): string {
	if (event.case !== "answer") throw new TypeError("expected an answer")
	return new TextDecoder().decode(event.value.body)
}

function listIndexes(count: number): number[] {
	return Array.from({length: count}, (_, index) => index)
}
