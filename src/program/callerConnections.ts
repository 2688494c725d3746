/**
 * The responses of each caller's connection, which may have several at a time.
 *
 * - Bytes that can't be read as a request: by default Node.js answers 400, 408 or 431 at
 *   once and closes the connection, even while earlier requests of it are being served.
 *   Their callers would take that answer for theirs.
 * - A caller that leaves: Node.js reports that late while the connection has bytes that
 *   the caller doesn't read, and never of responses that wait for an earlier one.
 */
import type {ServerResponse} from "node:http"
import type {Socket} from "node:net"

export interface CallerConnectionsOptions {
	/** Called with the error's code and the number of requests to be answered first. */
	onUnreadable: (code: string, serving: number) => void
}

const badRequest = "400 Bad Request"
/** The caller closed its side of the connection within a request. */
const closedWithinRequest = "HPE_INVALID_EOF_STATE"
/** Answers by the code of the parser's error. */
const answers: Partial<Record<string, string>> = {
	ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
	HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
	HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large"
}

export class CallerConnections {
	/** Responses of each connection that have not ended. */
	private readonly open = new WeakMap<Socket, Set<ServerResponse>>()
	/** Connections that close once their open responses have ended. */
	private readonly closing = new WeakSet<Socket>()

	constructor(private readonly options: CallerConnectionsOptions) {}

	/**
	 * Adds a response; it emits `close` once it is complete or the caller has left.
	 * Returns false if the request must be ignored, since its connection is closing.
	 */
	tryOpen(socket: Socket, res: ServerResponse): boolean {
		if (this.closing.has(socket)) return false
		const responses = this.track(socket)
		if ([...responses].some(isLast)) return false
		responses.add(res)
		res.once("close", () => {
			responses.delete(res)
			if (isLast(res)) this.closing.add(socket)
			if (!this.closing.has(socket)) return
			if (listComplete(responses).length === 0) socket.destroySoon()
		})
		return true
	}

	/** Lets requests that were read completely be answered, then closes. */
	handleError({code = ""}: NodeJS.ErrnoException, socket: Socket): void {
		if (!socket.writable) {
			socket.destroy()
			return
		}
		const served = listComplete(this.open.get(socket) ?? new Set())
		const last = served.at(-1)
		// Nobody is left to be answered, as after a close between two requests.
		if (served.length > 0 && code === closedWithinRequest) {
			socket.destroySoon()
			return
		}
		if (this.closing.has(socket)) return
		this.closing.add(socket)
		this.options.onUnreadable(code, served.length)
		if (last === undefined) {
			const status = answers[code] ?? badRequest
			socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`)
			socket.destroySoon()
		} else if (!last.headersSent) last.setHeader("Connection", "close")
	}

	private track(socket: Socket): Set<ServerResponse> {
		const known = this.open.get(socket)
		if (known !== undefined) return known
		const responses = new Set<ServerResponse>()
		this.open.set(socket, responses)
		socket.once("end", () => {
			// What was written whole may still be read.
			for (const res of [...responses]) if (!res.writableEnded) close(res)
		})
		socket.once("close", () => {
			for (const res of [...responses]) close(res)
		})
		return responses
	}
}

/** Responses to requests that were read completely, in their order. */
function listComplete(
	responses: ReadonlySet<ServerResponse>
): ServerResponse[] {
	return [...responses].filter(({req}) => req.complete)
}

/** Whether it tells its caller that no request behind it is processed. */
function isLast(res: ServerResponse): boolean {
	return res.getHeader("connection") === "close"
}

function close(res: ServerResponse): void {
	const isWaiting = res.socket === null
	res.destroy()
	if (isWaiting && !res.closed) res.emit("close")
}

/**
 * Calls back if nothing has arrived on a connection whose idle limit has passed. After
 * the process stood still, timers run before what arrived meanwhile is read.
 */
export function callIfIdle(socket: Socket, onIdle: () => void): void {
	const {bytesRead} = socket
	setImmediate(() => {
		if (!socket.destroyed && socket.bytesRead === bytesRead) onIdle()
	})
}
