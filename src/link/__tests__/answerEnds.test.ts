/** Answers that have neither a length nor chunks and end with their connection. */
import {Agent} from "node:http"
import {afterEach, expect, it} from "vitest"
import {Worker} from "node:worker_threads"
import {callHttp} from "../httpCall.js"
import {ServiceClient} from "../serviceClient.js"

let worker: Worker | undefined

afterEach(async () => {
	await worker?.terminate()
})

enum Ending {
	Regular = "end",
	Reset = "resetAndDestroy"
}

/** A service that writes an answer without a length and ends the connection. */
async function listen(
	ending: Ending
): Promise<{port: number; asked: Promise<void>}> {
	worker = new Worker(
		`
		const {createServer} = require("node:net")
		const {parentPort} = require("node:worker_threads")
		const server = createServer(socket => {
			socket.on("error", () => undefined)
			socket.once("data", () => {
				parentPort.postMessage("asked")
				setTimeout(() => {
					socket.write("HTTP/1.1 200 OK\\r\\n\\r\\n{\\"all\\":1}")
					setTimeout(() => socket.${ending}(), 10)
				}, 20)
			})
		})
		server.listen(0, "127.0.0.1", () => {
			parentPort.postMessage(server.address().port)
		})
	`,
		{eval: true}
	)
	const started = worker
	const port = await new Promise<number>(resolve => {
		started.once("message", resolve)
	})
	const asked = new Promise<void>(resolve => {
		started.once("message", () => {
			resolve()
		})
	})
	return {port, asked}
}

/** Blocks this thread until the bytes and the end of the answer have arrived. */
async function blockOnceAsked(asked: Promise<void>): Promise<void> {
	await asked
	const until = Date.now() + 150
	while (Date.now() < until);
}

async function callService(port: number): Promise<string> {
	const client = new ServiceClient(`http://127.0.0.1:${port}`, 1)
	try {
		const {body} = await client.call({
			requestId: "r1",
			method: "POST",
			path: "/book",
			body: Buffer.from("x"),
			contentType: "text/plain",
			idempotencyKey: "",
			deadline: Date.now() + 2000
		})
		return Buffer.from(body).toString()
	} finally {
		await client.close()
	}
}

async function callPlatform(port: number): Promise<string> {
	const address = `127.0.0.1:${port}`
	const agent = new Agent({keepAlive: true})
	const call = {address, agent, method: "GET", path: "/", timeoutMs: 2000}
	try {
		return (await callHttp(call)).body.toString()
	} finally {
		agent.destroy()
	}
}

it.each([
	["a service", callService],
	["the platform or an engine", callPlatform]
])(
	"takes what %s sent before a regular end for the answer",
	async (_, call) => {
		const {port, asked} = await listen(Ending.Regular)
		const answer = call(port)
		await blockOnceAsked(asked)
		expect(await answer).toBe('{"all":1}')
	}
)

it.each([
	["a service", callService],
	["the platform or an engine", callPlatform]
])("takes no answer of %s that was reset for complete", async (_, call) => {
	const {port, asked} = await listen(Ending.Reset)
	const answer = call(port)
	answer.catch(() => undefined)
	await blockOnceAsked(asked)
	await expect(answer).rejects.toThrow()
})
