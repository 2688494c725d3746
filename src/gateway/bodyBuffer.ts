/**
 * Collects the body of an endpoint's response up to a limit, so that an endpoint
 * that sends without end can't use up the memory of the gateway.
 */

/** Longest body or event that an endpoint may send: the default limit on requests. */
export const maxBufferedBytes = 4 * 2 ** 20

export class BodyBuffer {
	private readonly chunks: Buffer[] = []
	private length = 0

	/** Appends a chunk; returns false, and keeps nothing of it, beyond the limit. */
	tryPush(chunk: Buffer): boolean {
		this.length += chunk.length
		if (this.length > maxBufferedBytes) return false
		this.chunks.push(chunk)
		return true
	}

	toBuffer(): Buffer {
		return Buffer.concat(this.chunks)
	}
}
