/** Limits and collects the bytes of one HTTP answer as they are read. */
import type {Socket} from "node:net"

/** An answer is larger than its caller reads; `bytes` were read or stated. */
export class AnswerTooLargeError extends Error {
	constructor(
		/** `host:port`. */
		readonly peer: string,
		readonly bytes: number,
		readonly maxBytes: number
	) {
		super(
			`answer of ${peer} has ${bytes} bytes or more, over the limit of ${maxBytes}`
		)
		this.name = new.target.name
	}
}

/**
 * Calls `onExceeded` when more than `maxBytes` arrive on a connection from now on, with
 * their number: heads, chunk framing and trailers never reach the body, and some of
 * them have no end either. Returns a function that ends this.
 */
export function limitBytesRead(
	socket: Socket,
	maxBytes: number,
	onExceeded: (bytes: number) => void
): () => void {
	const before = socket.bytesRead
	const check = (): void => {
		const bytes = socket.bytesRead - before
		if (bytes > maxBytes) onExceeded(bytes)
	}
	// Before the parser, which may take the bytes for the answer's end.
	socket.prependListener("data", check)
	return () => socket.removeListener("data", check)
}

const minCapacity = 4096

/**
 * A body in one buffer: a list of small parts would keep a whole read of the socket for
 * each of them.
 */
export class CollectedBody {
	private buffer = Buffer.alloc(0)
	private length = 0

	/** Returns by how many bytes the buffer grew. */
	add(part: Buffer): number {
		const before = this.buffer.length
		const length = this.length + part.length
		if (length > this.buffer.length) {
			const capacity = Math.max(minCapacity, length, 2 * this.buffer.length)
			const larger = Buffer.allocUnsafeSlow(capacity)
			this.buffer.copy(larger, 0, 0, this.length)
			this.buffer = larger
		}
		part.copy(this.buffer, this.length)
		this.length = length
		return this.buffer.length - before
	}

	take(): Buffer {
		return this.buffer.subarray(0, this.length)
	}
}
