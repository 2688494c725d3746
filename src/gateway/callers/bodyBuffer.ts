/**
 * Collects the body of an endpoint's response up to a limit, so that an endpoint
 * that sends without end can't use up the memory of the gateway.
 */

import {BufferPart} from "../../policy/buffers/index.js"
import type {RequestBuffers} from "./callerBuffers.js"

/** Longest body or event that an endpoint may send: the default limit on requests. */
export const maxBufferedBytes = 4 * 2 ** 20

export class BodyBuffer {
	private chunks: Buffer[] = []
	private length = 0
	private heldBytes = 0

	/** What is collected counts among the buffers of the caller's request. */
	constructor(private readonly buffers: RequestBuffers) {}

	/** Appends a chunk; returns false, and keeps nothing of it, beyond the limit. */
	tryPush(chunk: Buffer): boolean {
		this.length += chunk.length
		if (this.length > maxBufferedBytes) return false
		this.chunks.push(chunk)
		this.heldBytes += chunk.length
		this.buffers.add(BufferPart.Answer, chunk.length)
		return true
	}

	/**
	 * Returns what was collected and keeps nothing. The chunks are not joined, so that
	 * each is freed as soon as it was sent.
	 */
	take(): Buffer[] {
		const {chunks} = this
		this.buffers.remove(BufferPart.Answer, this.heldBytes)
		this.heldBytes = 0
		this.chunks = []
		return chunks
	}
}
