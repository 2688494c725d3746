/**
 * Collects the body of an endpoint's response up to a limit, so that an endpoint
 * that sends without end can't use up the memory of the gateway.
 */

import {BufferPart} from "../policy/buffers/index.js"
import type {RequestBuffers} from "./callerBuffers.js"

/** Longest body or event that an endpoint may send: the default limit on requests. */
export const maxBufferedBytes = 4 * 2 ** 20

export class BodyBuffer {
	private readonly chunks: Buffer[] = []
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

	/** The bytes are about to be counted elsewhere, or dropped. */
	release(): void {
		this.buffers.remove(BufferPart.Answer, this.heldBytes)
		this.heldBytes = 0
	}

	toBuffer(): Buffer {
		return Buffer.concat(this.chunks)
	}
}
