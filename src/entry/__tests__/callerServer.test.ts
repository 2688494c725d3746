/**
 * Guards against an answer that promises something about a request that is being
 * served, because bytes behind it on its connection can't be read.
 */
import type {IncomingMessage, ServerResponse} from "node:http"
import {connect, type Socket} from "node:net"
import {expect, test} from "vitest"
import {createLoopbackIp} from "../../gateway/__tests__/loopback.js"
import {sleep} from "../../utils/common.js"
import {CallerServer, type CallerServerOptions} from "../callerServer.js"

const port = 9300
const serveMs = 300

interface StartedServer {
	server: CallerServer
	host: string
	/** Number of calls that were begun. */
	countRuns: () => number
}

async function startServer(
	options: Partial<CallerServerOptions> = {}
): Promise<StartedServer> {
	const host = createLoopbackIp()
	let runs = 0
	const handleService = async (
		_req: IncomingMessage,
		res: ServerResponse
	): Promise<void> => {
		runs += 1
		await sleep(serveMs)
		res.end("booked")
	}
	const server = await CallerServer.start({
		address: `${host}:${port}`,
		handler: {services: {handleService}} as never,
		isReady: () => true,
		counters: {add: () => undefined} as never,
		log: {debug: () => undefined} as never,
		callerCert: "",
		callerKey: "",
		...options
	})
	return {server, host, countRuns: () => runs}
}

const call =
	"POST /v1/services/book HTTP/1.1\r\nHost: entry\r\nContent-Length: 0\r\n\r\n"

/** Opens a connection; `statuses` resolves as it closes. */
function openConnection(host: string): {
	socket: Socket
	statuses: Promise<string[]>
} {
	const socket = connect(port, host)
	let received = ""
	socket.on("data", chunk => (received += chunk.toString()))
	socket.on("error", () => undefined)
	const statuses = new Promise<string[]>(resolve =>
		socket.once("close", () => {
			resolve(received.match(/(?<=HTTP\/1\.1 )\d+/g) ?? [])
		})
	)
	return {socket, statuses}
}

/** Sends a call and then `bytes`, and returns the statuses that the caller gets. */
async function callBefore(bytes: string): Promise<string[]> {
	const {server, host, countRuns} = await startServer()
	const {socket, statuses} = openConnection(host)
	socket.write(call)
	await expect.poll(countRuns).toBe(1)
	socket.write(bytes)
	const received = await statuses
	await server.drain(0, Date.now())
	return received
}

test("a call that is being served isn't answered 400 for what follows it", async () => {
	expect(await callBefore("nonsense\r\n\r\n")).toEqual(["200"])
})

// Guards against calls that are begun as the process ends and cut with it (LOST).
test("a call on an open connection isn't begun after the lame-duck time", async () => {
	const {server, host, countRuns} = await startServer()
	const late = openConnection(host)
	const early = openConnection(host)
	await sleep(50)
	early.socket.write(call)
	await expect.poll(countRuns).toBe(1)
	// A connection with a part of a request isn't closed as idle.
	late.socket.write(call.slice(0, 20))
	await sleep(50)
	const drained = server.drain(50, Date.now() + 2000)
	await sleep(100)
	late.socket.write(call.slice(20))
	expect(await late.statuses).toEqual(["503"])
	expect(await early.statuses).toEqual(["200"])
	await drained
	expect(countRuns()).toBe(1)
})

// Guards against a close that meets a call which arrived in time, and which the process
// had yet to read since it had stood still.
test("a connection is kept if a call came while the process stood still", async () => {
	const {server, host, countRuns} = await startServer({keepAliveMs: 100})
	const {socket, statuses} = openConnection(host)
	socket.write(call)
	await expect.poll(countRuns).toBe(1)
	await sleep(serveMs + 100)
	// What is blocked before the next turn of the event loop meets its timers first.
	await new Promise(setImmediate)
	socket.write(call)
	// Node.js closes connections one second after the limit that it announces.
	const frozenUntil = performance.now() + 1500
	while (performance.now() < frozenUntil);
	expect(await statuses).toEqual(["200", "200"])
	await server.drain(0, Date.now())
})
