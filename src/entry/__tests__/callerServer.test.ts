/**
 * Guards against an answer that promises something about a request that is being
 * served, because bytes behind it on its connection can't be read.
 */
import type {IncomingMessage, ServerResponse} from "node:http"
import {connect} from "node:net"
import {expect, test} from "vitest"
import {createLoopbackIp} from "../../gateway/__tests__/loopback.js"
import {sleep} from "../../utils/common.js"
import {CallerServer} from "../callerServer.js"

const port = 9300
const serveMs = 300

/** Sends a call and then `bytes`, and returns the statuses that the caller gets. */
async function callBefore(bytes: string): Promise<string[]> {
	const address = `${createLoopbackIp()}:${port}`
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
		address,
		handler: {services: {handleService}} as never,
		isReady: () => true,
		counters: {add: () => undefined} as never,
		log: {debug: () => undefined} as never,
		callerCert: "",
		callerKey: ""
	})
	const [host = ""] = address.split(":")
	const socket = connect(port, host)
	let received = ""
	socket.on("data", chunk => (received += chunk.toString()))
	socket.on("error", () => undefined)
	const closed = new Promise(resolve => socket.once("close", resolve))
	const head = `POST /v1/services/book HTTP/1.1\r\nHost: entry\r\n`
	socket.write(`${head}Content-Length: 0\r\n\r\n`)
	await expect.poll(() => runs).toBe(1)
	socket.write(bytes)
	await closed
	await server.drain(0, Date.now())
	return received.match(/(?<=HTTP\/1\.1 )\d+/g) ?? []
}

test("a call that is being served isn't answered 400 for what follows it", async () => {
	expect(await callBefore("nonsense\r\n\r\n")).toEqual(["200"])
})
