// Guards against a platform or an engine whose bodies or events do not end and fill the
// memory of the process that reads them.
import {afterEach, beforeEach, expect, it} from "vitest"
import {EngineClient} from "../engineClient.js"
import {HttpPlatform} from "../httpPlatform.js"
import {EndlessServer, OpenedSockets} from "./endlessServer.js"

const mebibyte = 1024 * 1024
/** What a socket and the streams behind it hold beyond a limit. */
const heldBytes = mebibyte
/** Bytes after which the peer ends, several times each limit. */
const maxBytes = 80 * mebibyte
const signal = AbortSignal.timeout(60_000)

let opened: OpenedSockets
let server: EndlessServer

beforeEach(() => {
	opened = new OpenedSockets()
})

afterEach(() => {
	opened.stop()
	server.stop()
})

async function answer(status: string, rest: string): Promise<string> {
	const begin = `HTTP/1.1 ${status}\r\n\r\n`
	server = await EndlessServer.start({answer: {begin, rest}, maxBytes})
	return `http://${server.address}`
}

async function readEngine(
	url: string,
	read: (engine: EngineClient) => Promise<unknown>
): Promise<unknown> {
	const engine = new EngineClient({url, fence: 1, timeoutMs: 60_000})
	try {
		return await read(engine).catch((err: unknown) => err)
	} finally {
		await engine.close()
	}
}

it("cuts off what the platform sends", async () => {
	const url = await answer("200 OK", "body ")
	const platform = new HttpPlatform({url, timeoutMs: 60_000})
	await expect(platform.read("things", "a")).rejects.toMatchObject({
		step: "platform",
		peer: url,
		message: expect.stringContaining("over the limit") as string
	})
	expect(opened.bytesRead).toBeLessThan(64 * mebibyte + heldBytes)
	await platform.close()
})

it.each(["200 OK", "500 Internal Server Error"])(
	"cuts off an engine's report with status %s",
	async status => {
		const url = await answer(status, "body ")
		const err = await readEngine(url, engine => engine.report())
		expect(err).toMatchObject({
			step: "queue",
			peer: url,
			message: expect.stringContaining("over the limit of 1048576") as string
		})
		expect(opened.bytesRead).toBeLessThan(mebibyte + heldBytes)
	}
)

it.each(["data: no blank line\n", "no line end "])(
	"cuts off an event of an engine that consists of %j",
	async rest => {
		const url = await answer("200 OK", rest)
		const options = {requestId: "r", adapter: "a", prompt: "p", signal}
		const err = await readEngine(url, async engine => {
			const call = {...options, maxTokens: 1, priority: 0}
			for await (const event of await engine.complete(call)) return event
			return undefined
		})
		expect(err).toMatchObject({step: "stream", peer: url})
		expect(String(err)).toContain("over the limit of 4194304")
		// Field names and line ends don't count.
		expect(opened.bytesRead).toBeLessThan(8 * mebibyte + heldBytes)
	}
)
