/**
 * Ports on the loopback interface for the processes of a deployment. A listening
 * socket on the first port of a block reserves the block for this process, so
 * that deployments that start at the same time never share a port.
 */
import {createServer, type Server} from "node:net"

/** Below the range that outgoing connections take their ports from. */
const firstPort = 10_000
const lastPort = 32_000
const blockPorts = 100
const maxTries = 400

export const loopbackIp = "127.0.0.1"

interface Block {
	lock: Server
	next: number
	end: number
}

let block: Block | undefined

/** Finds `count` consecutive free ports and returns the first of them. */
export async function findPorts(count = 1): Promise<number> {
	for (let i = 0; i < maxTries; i++) {
		const port = await takePorts(count)
		if (await areFree(port, count)) return port
	}
	throw new Error(`no ${count} consecutive free ports after ${maxTries} tries`)
}

/** Finds a free port and returns it as `ip:port`. */
export async function findAddress(): Promise<string> {
	return `${loopbackIp}:${await findPorts()}`
}

async function takePorts(count: number): Promise<number> {
	if (count >= blockPorts) throw new RangeError(`${count} ports are too many`)
	while (block === undefined || block.next + count > block.end) {
		block = await reserveBlock()
	}
	const port = block.next
	block.next += count
	return port
}

async function reserveBlock(): Promise<Block> {
	const blocks = Math.floor((lastPort - firstPort) / blockPorts)
	for (let i = 0; i < maxTries; i++) {
		const start = firstPort + Math.floor(Math.random() * blocks) * blockPorts
		const lock = await listenAt(start)
		if (lock === undefined) continue
		lock.unref()
		return {lock, next: start + 1, end: start + blockPorts}
	}
	throw new Error(`no free block of ports after ${maxTries} tries`)
}

async function areFree(port: number, count: number): Promise<boolean> {
	for (let i = 0; i < count; i++) {
		const server = await listenAt(port + i)
		if (server === undefined) return false
		await new Promise(resolve => server.close(resolve))
	}
	return true
}

/** Resolves to undefined when the port is taken. */
function listenAt(port: number): Promise<Server | undefined> {
	const server = createServer()
	return new Promise(resolve => {
		server.once("error", () => {
			resolve(undefined)
		})
		server.listen(port, loopbackIp, () => {
			resolve(server)
		})
	})
}
