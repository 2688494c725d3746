/** Stand-in for a peer in trouble, whose answers do not end. */
import {subscribe, unsubscribe} from "node:diagnostics_channel"
import {createServer, type Server, Socket} from "node:net"

export interface EndlessAnswer {
	/** What is sent once. */
	begin: string
	/** What is then sent again and again. */
	rest: string
}

/** Beginnings of an answer and bytes that never complete it. */
export const endlessAnswers: [name: string, answer: EndlessAnswer][] = [
	["no HTTP", {begin: "", rest: "noise "}],
	["a head", {begin: "HTTP/1.1 200 OK\r\n", rest: "X-More: more\r\n"}],
	[
		"interim heads",
		{begin: "", rest: "HTTP/1.1 103 Early Hints\r\nX-More: more\r\n\r\n"}
	],
	[
		"a body with a length",
		{
			begin: `HTTP/1.1 200 OK\r\nContent-Length: ${2 ** 50}\r\n\r\n`,
			rest: "body "
		}
	],
	["a body without", {begin: "HTTP/1.1 200 OK\r\n\r\n", rest: "body "}],
	["a body in chunks", inChunks("", `1000\r\n${"b".repeat(0x1000)}\r\n`)],
	["a body in tiny chunks", inChunks("", "1\r\nb\r\n")],
	["the size of a chunk", inChunks("", "0")],
	["the extension of a chunk", inChunks("1;x=", "x")],
	["trailers", inChunks("0\r\n", "X-More: more\r\n")]
]

function inChunks(begin: string, rest: string): EndlessAnswer {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return {begin: head + begin, rest}
}

export interface EndlessServerOptions {
	answer: EndlessAnswer
	/** Bytes after which a connection ends all the same, so that a test does. */
	maxBytes: number
}

/** Answers the first request of each connection as fast as the bytes are taken. */
export class EndlessServer {
	address = ""
	private readonly sockets = new Set<Socket>()
	private readonly server: Server

	private constructor({answer, maxBytes}: EndlessServerOptions) {
		const {begin, rest} = answer
		const chunk = Buffer.from(rest.repeat(Math.ceil(16_384 / rest.length)))
		const pour = (socket: Socket): void => {
			if (socket.destroyed) return
			if (socket.bytesWritten >= maxBytes) {
				socket.end()
				return
			}
			const isTaken = socket.write(chunk)
			if (isTaken) setImmediate(pour, socket)
			else socket.once("drain", () => setImmediate(pour, socket))
		}
		this.server = createServer(socket => {
			this.sockets.add(socket)
			socket.on("error", () => undefined)
			socket.once("data", () => {
				socket.write(begin)
				pour(socket)
			})
		})
	}

	static async start(options: EndlessServerOptions): Promise<EndlessServer> {
		const endless = new EndlessServer(options)
		const {server} = endless
		await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
		const address = server.address()
		const hasPort = address !== null && typeof address === "object"
		endless.address = `127.0.0.1:${hasPort ? address.port : 0}`
		return endless
	}

	stop(): void {
		for (const socket of this.sockets) socket.destroy()
		this.server.close()
	}
}

const channel = "net.client.socket"

/** Records the connections that this process opens, with the bytes that each read. */
export class OpenedSockets {
	readonly list: Socket[] = []
	private readonly note = (message: unknown): void => {
		const {socket} = message as {socket: unknown}
		if (socket instanceof Socket) this.list.push(socket)
	}

	constructor() {
		subscribe(channel, this.note)
	}

	get bytesRead(): number {
		return this.list.reduce((sum, {bytesRead}) => sum + bytesRead, 0)
	}

	stop(): void {
		unsubscribe(channel, this.note)
	}
}
