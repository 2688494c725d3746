/** Counts what passes through a TCP connection, on its way to a server. */
import {createServer, type Server, Socket} from "node:net"

/** Bytes of the IPv4 and TCP headers, with the timestamp option. */
const headerBytes = 52

export interface WireBytes {
	/** What the sockets carried: TLS is not part of it, HTTP/2 frames are. */
	payload: number
	/** Reads of the sockets: an upper bound of the segments that carry data. */
	segments: number
}

/**
 * Bytes on the wire below the data link. Each segment with data is taken as
 * answered by one acknowledgement of its own, which counts to the other side.
 */
export function wireBytesOf({payload, segments}: WireBytes): number {
	return payload + 2 * segments * headerBytes
}

export class ByteCounter {
	private readonly sockets = new Set<Socket>()
	private total: WireBytes = {payload: 0, segments: 0}

	private constructor(private readonly server: Server) {}

	/** Listens on a free port of the loopback interface. */
	static async start(target: string): Promise<ByteCounter> {
		const server = createServer()
		const counter = new ByteCounter(server)
		server.on("connection", socket => {
			counter.join(socket, target)
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

	/** Bytes in both directions since the last call. */
	take(): WireBytes {
		const {total} = this
		this.total = {payload: 0, segments: 0}
		return total
	}

	close(): void {
		this.server.close()
		for (const socket of this.sockets) socket.destroy()
	}

	private join(client: Socket, target: string): void {
		const [host = "", port = "0"] = target.split(":")
		const upstream = new Socket()
		upstream.connect(Number(port), host)
		this.pass(client, upstream)
		this.pass(upstream, client)
	}

	private pass(from: Socket, to: Socket): void {
		this.sockets.add(from)
		from.setNoDelay(true)
		from.on("data", (bytes: Buffer) => {
			this.total.payload += bytes.length
			this.total.segments += 1
			to.write(bytes)
		})
		from.on("error", () => to.destroy())
		from.on("close", () => {
			this.sockets.delete(from)
			to.destroy()
		})
	}
}
