/**
 * Collects the body of an endpoint's response up to a limit, so that an endpoint
 * that sends without end can't use up the memory of the gateway.
 */

import {BufferPart} from "../../policy/buffers/index.js"
import type {RequestBuffers} from "./callerBuffers.js"
import {ChunkList} from "./chunkList.js"

/** Longest body or event that an endpoint may send: the default limit on requests. */
export const maxBufferedBytes = 4 * 2 ** 20

export class BodyBuffer {
	private readonly chunks = new ChunkList()
	private length = 0

	/** What is collected counts among the buffers of the caller's request. */
	constructor(private readonly buffers: RequestBuffers) {}

	/** Appends a chunk; returns false, and keeps nothing of it, beyond the limit. */
	tryPush(chunk: Buffer): boolean {
		this.length += chunk.length
		if (this.length > maxBufferedBytes) return false
		this.chunks.push(chunk)
		this.buffers.add(BufferPart.Answer, chunk.length)
		return true
	}

	/**
	 * Returns what was collected and keeps nothing. The chunks are not joined, so that
	 * each is freed as soon as it was sent.
	 */
	take(): Buffer[] {
		this.buffers.remove(BufferPart.Answer, this.chunks.length)
		return this.chunks.take()
	}
}
