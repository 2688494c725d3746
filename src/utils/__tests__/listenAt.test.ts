import {createServer} from "node:net"
import {expect, it} from "vitest"
import {listenAt} from "../listenAt.js"

const onError = (): void => undefined

it("leaves no listeners on a server that fails to listen many times", async () => {
	const holder = createServer()
	await listenAt(holder, "127.0.0.1:0", {onError})
	const held = holder.address()
	if (held === null || typeof held === "string") throw new Error("no port")
	const address = `127.0.0.1:${held.port}`
	const server = createServer()
	const listLeft = (): number[] =>
		["error", "listening"].map(name => server.listenerCount(name))
	for (let attempt = 0; attempt < 12; attempt += 1)
		await expect(listenAt(server, address, {onError})).rejects.toThrow(
			"EADDRINUSE"
		)
	await new Promise(resolve => holder.close(resolve))
	expect(listLeft()).toEqual([0, 0])
	await listenAt(server, address, {onError})
	expect(listLeft()).toEqual([1, 0])
	expect(server.address()).toEqual(held)
	server.close()
})
