/** How an answer ends that has neither a length nor chunks: with its connection. */
import type {IncomingHttpHeaders} from "node:http"
import type {Socket} from "node:net"

/** Whether the answer itself states where it ends. */
export function isFramed(headers: IncomingHttpHeaders): boolean {
	return (
		headers["content-length"] !== undefined ||
		headers["transfer-encoding"] !== undefined
	)
}

/**
 * Why a connection that has just ended was reset; undefined if it ended regularly.
 * libuv reports a regular end in place of a reset if bytes were still unread; only a
 * write tells them apart. Behind an upload that is still pending the write is queued and
 * fails too late; then only a reset has left the socket without a peer. Node.js caches
 * the peer's address, so nothing may read it earlier.
 */
export function findReset(socket: Socket): Error | undefined {
	socket.write("\r\n")
	if (socket.errored !== null) return socket.errored
	const isQueued = socket.writableLength > 0
	return isQueued && socket.remoteAddress === undefined
		? new Error("connection was reset")
		: undefined
}
