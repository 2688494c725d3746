import {once} from "node:events"
import {
	type AddressInfo,
	connect,
	createServer,
	type Server,
	type Socket
} from "node:net"
import {afterEach, beforeEach, expect, test, vi} from "vitest"
import {sleep} from "../../src/utils/common.js"
import {Cut, type Relay, SlowLink, startRelay} from "../index.js"

let target: Server
let relay: Relay
let received = ""

/** Answers each chunk with the same chunk in upper case. */
function echoUpperCase(socket: Socket): void {
	socket.on("error", () => undefined)
	socket.on("data", chunk => {
		received += chunk.toString()
		socket.write(chunk.toString().toUpperCase())
	})
}

beforeEach(async () => {
	received = ""
	target = createServer(echoUpperCase)
	target.listen(0, "127.0.0.1")
	await once(target, "listening")
	const {port} = target.address() as AddressInfo
	relay = await startRelay({target: `127.0.0.1:${port}`})
})

afterEach(async () => {
	await relay.close()
	const closed = once(target, "close")
	target.close()
	await closed
})

class Client {
	text = ""
	error = ""
	isClosed = false

	constructor(readonly socket: Socket) {
		socket.on("data", chunk => (this.text += chunk.toString()))
		socket.on("error", (err: NodeJS.ErrnoException) => {
			this.error = err.code ?? ""
		})
		socket.on("close", () => {
			this.isClosed = true
		})
	}
}

async function open(): Promise<Client> {
	const [ip = "", port = ""] = relay.address.split(":")
	const client = new Client(connect(Number(port), ip))
	await once(client.socket, "connect")
	return client
}

async function waitUntil(isTrue: () => boolean): Promise<void> {
	while (!isTrue()) await sleep(5)
}

test("forwards bytes in both directions, and the close", async () => {
	const client = await open()
	client.socket.write("one")
	await waitUntil(() => client.text === "ONE")
	expect(relay.truth()).toMatchObject({open: 1, forwardedBytes: 6})
	client.socket.end()
	await waitUntil(() => relay.truth().open === 0)
	expect(client.error).toBe("")
})

test("discards bytes and keeps the connection while both directions are cut", async () => {
	const client = await open()
	client.socket.write("one")
	await waitUntil(() => client.text === "ONE")
	relay.cut()
	client.socket.write("two")
	await waitUntil(() => relay.truth().discardedBytes === 3)
	expect(received).toBe("one")
	expect(client.isClosed).toBe(false)
	const later = await open()
	later.socket.write("three")
	await waitUntil(() => relay.truth().discardedBytes === 8)
	expect([received, later.isClosed]).toEqual(["one", false])
})

test("forwards the other direction while one is cut", async () => {
	relay.cut(Cut.ToClient)
	const client = await open()
	client.socket.write("one")
	await waitUntil(() => relay.truth().discardedBytes === 3)
	expect(received).toBe("one")
	expect([client.text, client.isClosed]).toEqual(["", false])
})

test("does not forward a close while the direction is cut", async () => {
	const first = await open()
	await waitUntil(() => relay.truth().open === 1)
	relay.cut(Cut.ToTarget)
	first.socket.destroy()
	const second = await open()
	second.socket.write("one")
	await waitUntil(() => relay.truth().discardedBytes === 3)
	expect(relay.truth().open).toBe(2)
	relay.heal()
	await waitUntil(() => relay.truth().open === 0)
})

test("resets only the connections that lost bytes when the link heals", async () => {
	const broken = await open()
	const intact = await open()
	intact.socket.write("one")
	await waitUntil(() => intact.text === "ONE")
	relay.cut(Cut.ToTarget)
	broken.socket.write("two")
	await waitUntil(() => relay.truth().discardedBytes === 3)
	relay.heal()
	await waitUntil(() => broken.isClosed)
	expect(broken.error).toBe("ECONNRESET")
	intact.socket.write("three")
	await waitUntil(() => intact.text === "ONETHREE")
	expect(received).toBe("onethree")
})

test("delivers delayed bytes in order", async () => {
	relay.delay(50)
	const client = await open()
	client.socket.write("a")
	await waitUntil(() => relay.truth().open === 1)
	await sleep(10)
	relay.delay(0)
	client.socket.write("b")
	await waitUntil(() => client.text.length === 2)
	expect([received, client.text]).toEqual(["ab", "AB"])
})

test("resets every connection and accepts new ones", async () => {
	const client = await open()
	client.socket.write("one")
	await waitUntil(() => client.text === "ONE")
	relay.reset()
	await waitUntil(() => client.isClosed)
	expect(client.error).toBe("ECONNRESET")
	const later = await open()
	later.socket.write("two")
	await waitUntil(() => later.text === "TWO")
	expect(relay.truth()).toMatchObject({accepted: 2, open: 1})
})

test("resets the client when the target is unreachable", async () => {
	const closed = once(target, "close")
	target.close()
	await closed
	const client = await open()
	await waitUntil(() => client.isClosed)
	expect(client.error).toBe("ECONNRESET")
	target.listen(0, "127.0.0.1")
	await once(target, "listening")
})

// Guards against links that are slower for each connection but not in all.
test("connections that share a slow link divide its rate", async () => {
	const link = new SlowLink(1_000_000)
	const shared = await startRelay({target: relay.address, link})
	const [ip = "", port = ""] = shared.address.split(":")
	const clients = [0, 1].map(() => new Client(connect(Number(port), ip)))
	const startedAt = performance.now()
	for (const {socket} of clients) socket.write("a".repeat(100_000))
	await vi.waitFor(
		() => {
			for (const {text} of clients) expect(text).toHaveLength(100_000)
		},
		{timeout: 4000}
	)
	expect(performance.now() - startedAt).toBeGreaterThanOrEqual(195)
	await shared.close()
})
