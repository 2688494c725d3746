/** A TCP proxy on loopback that counts the bytes of its connections. */
import {createServer, type Server, Socket} from "node:net"

/** IPv4 header (20) and TCP header with the timestamp option (32). */
const headerBytesPerSegment = 52

export interface WireBytes {
	/** Bytes read from the sockets, HTTP/2 framing included; TLS is not used. */
	payload: number
	/** Socket reads; each is taken for one TCP segment that carries data. */
	segments: number
}

/**
 * Payload plus IP and TCP headers, without the data link layer. Assumes that
 * each data segment is acknowledged by one segment without payload, so that it
 * costs two headers.
 */
export function getWireBytes({payload, segments}: WireBytes): number {
	return payload + 2 * segments * headerBytesPerSegment
}

export class ByteCounter {
	private readonly sockets = new Set<Socket>()
	private counts: WireBytes = {payload: 0, segments: 0}

	private constructor(private readonly server: Server) {}

	/** Listens on a free loopback port and proxies connections to `target`. */
	static async start(target: string): Promise<ByteCounter> {
		const server = createServer()
		const counter = new ByteCounter(server)
		server.on("connection", socket => {
			counter.proxyConnection(socket, target)
		})
		await new Promise<void>(resolve => {
			server.listen(0, "127.0.0.1", resolve)
		})
		return counter
	}

	get address(): string {
		const address = this.server.address()
		if (address === null || typeof address === "string") return ""
		return `${address.address}:${address.port}`
	}

	/** Returns the counts of both directions since the last call. */
	readAndReset(): WireBytes {
		const {counts} = this
		this.counts = {payload: 0, segments: 0}
		return counts
	}

	close(): void {
		this.server.close()
		for (const socket of this.sockets) socket.destroy()
	}

	private proxyConnection(client: Socket, target: string): void {
		const [host = "", port = "0"] = target.split(":")
		const upstream = new Socket()
		upstream.connect(Number(port), host)
		this.pipeAndCount(client, upstream)
		this.pipeAndCount(upstream, client)
	}

	private pipeAndCount(from: Socket, to: Socket): void {
		this.sockets.add(from)
		from.setNoDelay(true)
		from.on("data", (bytes: Buffer) => {
			this.counts.payload += bytes.length
			this.counts.segments += 1
			to.write(bytes)
		})
		from.on("error", () => to.destroy())
		from.on("close", () => {
			this.sockets.delete(from)
			to.destroy()
		})
	}
}
