/**
 * Collects the body of an endpoint's response up to a limit, so that an endpoint
 * that sends without end can't use up the memory of the gateway.
 */
import type {AnswerHold} from "./answerHold.js"
import {ChunkList} from "./chunkList.js"

/** Longest body or event that an endpoint may send: the default limit on requests. */
export const maxBufferedBytes = 4 * 2 ** 20

export class BodyBuffer {
	private readonly chunks = new ChunkList()
	private length = 0

	/** What is collected counts as held of the call's answer. */
	constructor(private readonly hold: AnswerHold) {}

	/** Appends a chunk; returns false, and keeps nothing of it, beyond the limit. */
	tryPush(chunk: Buffer): boolean {
		this.length += chunk.length
		if (this.length > maxBufferedBytes) return false
		this.chunks.push(chunk)
		this.hold.add(chunk.length)
		return true
	}

	/**
	 * Returns what was collected and keeps nothing. The chunks are not joined, so that
	 * each is freed as soon as it was sent.
	 */
	take(): Buffer[] {
		this.hold.remove(this.chunks.length)
		return this.chunks.take()
	}
}
