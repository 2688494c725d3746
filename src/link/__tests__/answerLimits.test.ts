// Guards against peers whose answers do not end and fill the memory of the process that
// called them, which ends the requests of all its callers.
import {Agent, createServer} from "node:http"
import {afterEach, beforeEach, describe, expect, it} from "vitest"
import {AnswerTooLargeError} from "../answerBytes.js"
import {callHttp, type HttpResponse} from "../httpCall.js"
import {
	type EndlessAnswer,
	endlessAnswers,
	EndlessServer,
	OpenedSockets
} from "./endlessServer.js"

const maxBytes = 256 * 1024
/** What one read from a socket may take beyond the limit. */
const readBytes = 64 * 1024

let server: EndlessServer
let opened: OpenedSockets
let agent: Agent

beforeEach(() => {
	opened = new OpenedSockets()
	agent = new Agent({keepAlive: true, maxSockets: 1})
})

afterEach(() => {
	opened.stop()
	agent.destroy()
})

function call(address: string): Promise<HttpResponse> {
	return callHttp({
		address,
		agent,
		method: "GET",
		path: "/",
		timeoutMs: 30_000,
		maxBytes
	})
}

describe("an answer that does not end", () => {
	afterEach(() => {
		server.stop()
	})

	async function callEndless(answer: EndlessAnswer): Promise<unknown> {
		server = await EndlessServer.start({answer, maxBytes: 32 * maxBytes})
		return call(server.address).then(
			() => undefined,
			(err: unknown) => err
		)
	}

	it.each(endlessAnswers)("is cut off in %s", async (_, answer) => {
		expect(await callEndless(answer)).toBeInstanceOf(Error)
		expect(opened.bytesRead).toBeLessThanOrEqual(maxBytes + readBytes)
		expect(opened.list.map(({destroyed}) => destroyed)).toEqual([true])
	})

	it("is cut off when the connection was switched to another protocol", async () => {
		const begin =
			"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
		expect(await callEndless({begin, rest: "noise "})).toBeInstanceOf(Error)
		expect(opened.list.map(({destroyed}) => destroyed)).toEqual([true])
	})

	it("is told from others by its peer and size", async () => {
		const answer = {begin: "HTTP/1.1 200 OK\r\n\r\n", rest: "body "}
		const err = await callEndless(answer)
		expect(err).toBeInstanceOf(AnswerTooLargeError)
		expect(err).toMatchObject({peer: server.address, bytes: opened.bytesRead})
		expect(String(err)).toContain(server.address)
	})

	it("is cut off with its head if that states more than the limit", async () => {
		const length = `Content-Length: ${maxBytes + 1}\r\n\r\n`
		const begin = `HTTP/1.1 200 OK\r\n${length}`
		server = await EndlessServer.start({
			answer: {begin, rest: "x"},
			maxBytes: 0
		})
		await expect(call(server.address)).rejects.toThrow(AnswerTooLargeError)
		expect(opened.bytesRead).toBe(begin.length)
	})
})

it("counts each answer of a connection anew", async () => {
	const body = "b".repeat(maxBytes - 1024)
	const sound = createServer((_req, res) => res.end(body))
	await new Promise<void>(resolve => sound.listen(0, "127.0.0.1", resolve))
	const address = sound.address()
	const port = address !== null && typeof address === "object" && address.port
	for (let n = 0; n < 3; n += 1)
		expect((await call(`127.0.0.1:${port}`)).body).toHaveLength(body.length)
	expect(opened.list).toHaveLength(1)
	sound.closeAllConnections()
	sound.close()
})
