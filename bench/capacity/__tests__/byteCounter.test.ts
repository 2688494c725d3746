import {createServer, type Server, type Socket} from "node:net"
import {connect} from "node:net"
import {once} from "node:events"
import {afterEach, expect, it} from "vitest"
import {ByteCounter, getWireBytes} from "../byteCounter.js"

let server: Server | undefined
let counter: ByteCounter | undefined

afterEach(() => {
	counter?.close()
	server?.close()
})

it("forwards the bytes of both directions and counts them until they are read", async () => {
	server = createServer((socket: Socket) => {
		socket.on("error", () => undefined)
		socket.on("data", () => socket.write("four"))
	})
	server.listen(0, "127.0.0.1")
	await once(server, "listening")
	const address = server.address()
	if (address === null || typeof address === "string") throw new Error("port")
	counter = await ByteCounter.start(`127.0.0.1:${address.port}`)
	const [host = "", port = ""] = counter.address.split(":")
	const client = connect(Number(port), host)
	client.write("seven77")
	const [answer] = (await once(client, "data")) as [Buffer]
	expect(answer.toString()).toBe("four")
	expect(counter.readAndReset()).toEqual({payload: 11, segments: 2})
	expect(counter.readAndReset()).toEqual({payload: 0, segments: 0})
	client.destroy()
})

it("adds one header per segment and one per acknowledgement", () => {
	expect(getWireBytes({payload: 100, segments: 3})).toBe(100 + 6 * 52)
})
