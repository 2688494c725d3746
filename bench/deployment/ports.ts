/** Finds free ports on the loopback interface. */
import {once} from "node:events"
import {createServer} from "node:net"

/** Below the range that outgoing connections take their ports from. */
const firstPort = 18_000
const portCount = 14_000
const maxTries = 200

export const loopbackIp = "127.0.0.1"

/** Finds `count` consecutive free ports and returns the first of them. */
export async function findPorts(count = 1): Promise<number> {
	for (let i = 0; i < maxTries; i++) {
		const port = firstPort + Math.floor(Math.random() * (portCount - count))
		if (await areFree(port, count)) return port
	}
	throw new Error(`no ${count} consecutive free ports after ${maxTries} tries`)
}

/** Finds a free port and returns it as `ip:port`. */
export async function findAddress(): Promise<string> {
	return `${loopbackIp}:${await findPorts()}`
}

async function areFree(port: number, count: number): Promise<boolean> {
	for (let i = 0; i < count; i++) {
		if (!(await isFree(port + i))) return false
	}
	return true
}

async function isFree(port: number): Promise<boolean> {
	const server = createServer()
	const failed = once(server, "error").then(() => false)
	const listening = once(server, "listening").then(() => true)
	failed.catch(() => undefined)
	listening.catch(() => undefined)
	server.listen(port, loopbackIp)
	const result = await Promise.race([failed, listening])
	if (!result) return false
	server.close()
	await once(server, "close")
	return true
}
