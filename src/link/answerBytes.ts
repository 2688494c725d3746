/** Limits and collects the bytes of one HTTP answer as they are read. */
import type {Socket} from "node:net"
import type {Readable} from "node:stream"

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

/** Most answers fit into it. */
const firstBlockBytes = 4096
const blockBytes = 64 * 1024

/**
 * A body in blocks of its own: a list of small parts would keep a whole read of the
 * socket for each of them.
 */
export class CollectedBody {
	private readonly blocks: Buffer[] = []
	private length = 0
	/** Of the last block. */
	private free = 0

	/** Returns by how many bytes the memory grew. */
	add(part: Buffer): number {
		let grownBytes = 0
		for (let at = 0; at < part.length;) {
			if (this.free === 0) {
				const isFirst = this.blocks.length === 0
				this.free = isFirst ? firstBlockBytes : blockBytes
				this.blocks.push(Buffer.allocUnsafeSlow(this.free))
				grownBytes += this.free
			}
			const block = this.blocks.at(-1) ?? part
			const copied = part.copy(block, block.length - this.free, at)
			at += copied
			this.free -= copied
			this.length += copied
		}
		return grownBytes
	}

	take(): Buffer {
		return Buffer.concat(this.blocks, this.length)
	}
}

/** Reads a whole body; a larger one ends with its connection. */
export async function readLimited(
	body: Readable,
	{peer, maxBytes}: {peer: string; maxBytes: number}
): Promise<Buffer> {
	const collected = new CollectedBody()
	let bytes = 0
	// Leaving the loop destroys the body and its connection.
	for await (const part of body as AsyncIterable<Buffer>) {
		bytes += part.length
		if (bytes > maxBytes) throw new AnswerTooLargeError(peer, bytes, maxBytes)
		collected.add(part)
	}
	return collected.take()
}
