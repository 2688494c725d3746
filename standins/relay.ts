/**
 * A TCP relay that simulates network faults between two processes: it can
 * discard the bytes of one or both directions, delay them, and reset
 * connections. Several relays may share a slow link.
 */
import {once} from "node:events"
import {
	type AddressInfo,
	connect,
	createServer,
	type Server,
	type Socket
} from "node:net"
import {sleep} from "../src/utils/common.js"
import type {ListenOptions} from "./common/index.js"

export interface RelayOptions extends ListenOptions {
	/** `ip:port` that connections are forwarded to. */
	target: string
	/** What the bytes to clients pass through; without it they pass at once. */
	link?: SlowLink
}

/** Directions in which a relay discards bytes, as a network partition does. */
export enum Cut {
	None = "none",
	/** From the client to the target. */
	ToTarget = "toTarget",
	/** From the target to the client. */
	ToClient = "toClient",
	Both = "both"
}

export interface RelayTruth {
	/** Number of open connections. */
	open: number
	/** Number of connections accepted since the start. */
	accepted: number
	forwardedBytes: number
	discardedBytes: number
}

/** Passes bytes on at a fixed rate, in the order of their arrival. */
export class SlowLink {
	private freeAt = 0

	constructor(private readonly bytesPerSecond: number) {}

	/** Time at which the last of these bytes has passed, in monotonic milliseconds. */
	pass(bytes: number): number {
		const beginAt = Math.max(this.freeAt, performance.now())
		this.freeAt = beginAt + (bytes / this.bytesPerSecond) * 1000
		return this.freeAt
	}
}

/** A sender may have as much on its way before it has to wait. */
const linkWindowBytes = 65_536

/** The two sockets of a relayed connection. */
interface Connection {
	client: Socket
	target: Socket
	/** Bytes or a close were discarded, so the rest can't be forwarded. */
	isBroken: boolean
}

export async function startRelay(options: RelayOptions): Promise<Relay> {
	const {ip = "127.0.0.1", port = 0} = options
	const relay = new Relay(options.target, options.link)
	await relay.listen(ip, port)
	return relay
}

export class Relay {
	private readonly server: Server
	private readonly connections = new Set<Connection>()
	private readonly targetIp: string
	private readonly targetPort: number
	private cutDirection = Cut.None
	private delayMs = 0
	private accepted = 0
	private forwardedBytes = 0
	private discardedBytes = 0

	constructor(
		target: string,
		private readonly link?: SlowLink
	) {
		const separator = target.lastIndexOf(":")
		this.targetIp = target.slice(0, separator)
		this.targetPort = Number(target.slice(separator + 1))
		this.server = createServer(client => {
			this.accept(client)
		})
	}

	/** `ip:port` on which the relay accepts connections. */
	get address(): string {
		const {address, port} = this.server.address() as AddressInfo
		return `${address}:${port}`
	}

	truth(): RelayTruth {
		return {
			open: this.connections.size,
			accepted: this.accepted,
			forwardedBytes: this.forwardedBytes,
			discardedBytes: this.discardedBytes
		}
	}

	/**
	 * Discards the bytes of a direction without closing anything. Connections stay
	 * open, and new ones are accepted.
	 */
	cut(direction: Cut = Cut.Both): void {
		this.cutDirection = direction
	}

	/** Forwards bytes in order, each `delayMs` after its arrival. */
	delay(delayMs: number): void {
		this.delayMs = delayMs
	}

	/** Resets every open connection. New ones are accepted. */
	reset(): void {
		for (const connection of this.connections) resetBoth(connection)
	}

	/** Discards all further bytes of open connections, without a close. New ones work. */
	silence(): void {
		for (const connection of this.connections) connection.isBroken = true
	}

	/** Ends all faults, and resets the connections that lost bytes. */
	heal(): void {
		this.cutDirection = Cut.None
		this.delayMs = 0
		for (const connection of this.connections) {
			if (connection.isBroken) resetBoth(connection)
		}
	}

	async listen(ip: string, port: number): Promise<void> {
		this.server.listen(port, ip)
		await once(this.server, "listening")
	}

	async close(): Promise<void> {
		const closed = once(this.server, "close")
		this.server.close()
		this.reset()
		await closed
	}

	private accept(client: Socket): void {
		this.accepted += 1
		const target = connect(this.targetPort, this.targetIp)
		const connection = {client, target, isBroken: false}
		this.connections.add(connection)
		this.forward(connection, client, target, Cut.ToTarget)
		this.forward(connection, target, client, Cut.ToClient)
	}

	/** Forwards one direction. Chunks keep their order even when delayed. */
	private forward(
		connection: Connection,
		from: Socket,
		to: Socket,
		direction: Cut
	): void {
		let sent = Promise.resolve()
		let waitingBytes = 0
		const link = direction === Cut.ToClient ? this.link : undefined
		const enqueue = (send: () => void, bytes = 0): void => {
			const arrivedAt = link?.pass(bytes) ?? performance.now()
			const dueAt = arrivedAt + this.delayMs
			sent = sent.then(() => waitUntil(dueAt)).then(send)
		}
		from.setNoDelay(true)
		from.on("data", chunk => {
			waitingBytes += chunk.length
			if (link !== undefined && waitingBytes >= linkWindowBytes) from.pause()
			enqueue(() => {
				waitingBytes -= chunk.length
				if (waitingBytes < linkWindowBytes) from.resume()
				this.forwardChunk(connection, to, chunk, direction)
			}, chunk.length)
		})
		from.on("error", () => undefined)
		from.on("close", hadError => {
			this.removeIfClosed(connection)
			enqueue(() => {
				this.forwardClose(connection, to, hadError, direction)
			})
		})
	}

	private forwardChunk(
		connection: Connection,
		to: Socket,
		chunk: Buffer,
		direction: Cut
	): void {
		if (this.isCut(direction)) {
			connection.isBroken = true
			this.discardedBytes += chunk.length
			return
		}
		// The receiver would take bytes after a gap for the missing ones.
		if (connection.isBroken || to.destroyed) return
		this.forwardedBytes += chunk.length
		to.write(chunk)
	}

	/** Closes the other side too, unless the direction is cut. */
	private forwardClose(
		connection: Connection,
		to: Socket,
		hadError: boolean,
		direction: Cut
	): void {
		if (to.destroyed) return
		if (this.isCut(direction)) connection.isBroken = true
		else if (hadError) to.resetAndDestroy()
		else to.destroySoon()
	}

	private isCut(direction: Cut): boolean {
		return this.cutDirection === Cut.Both || this.cutDirection === direction
	}

	/** Removes a connection when both of its sockets are closed. */
	private removeIfClosed(connection: Connection): void {
		const {client, target} = connection
		if (client.closed && target.closed) this.connections.delete(connection)
	}
}

function resetBoth({client, target}: Connection): void {
	if (!client.destroyed) client.resetAndDestroy()
	if (!target.destroyed) target.resetAndDestroy()
}

function waitUntil(dueAt: number): Promise<void> {
	const waitMs = dueAt - performance.now()
	return waitMs > 0 ? sleep(waitMs) : Promise.resolve()
}
