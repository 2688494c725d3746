/**
 * Closes the responses of a connection that its caller has closed. Node.js itself
 * reports that late while the connection has bytes that the caller doesn't read, and
 * never of responses that wait for an earlier one on the connection.
 */
import type {ServerResponse} from "node:http"
import type {Socket} from "node:net"

export class CallerConnections {
	private readonly responses = new WeakMap<Socket, Set<ServerResponse>>()

	/** Adds a response; it emits `close` once it is complete or the caller has left. */
	add(socket: Socket, res: ServerResponse): void {
		const responses = this.getResponses(socket)
		responses.add(res)
		res.once("close", () => responses.delete(res))
	}

	private getResponses(socket: Socket): Set<ServerResponse> {
		const known = this.responses.get(socket)
		if (known !== undefined) return known
		const responses = new Set<ServerResponse>()
		this.responses.set(socket, responses)
		socket.once("end", () => {
			// What was written whole may still be read.
			for (const res of responses) if (!res.writableEnded) close(res)
		})
		socket.once("close", () => {
			for (const res of responses) close(res)
		})
		return responses
	}
}

function close(res: ServerResponse): void {
	const isWaiting = res.socket === null
	res.destroy()
	if (isWaiting && !res.closed) res.emit("close")
}
