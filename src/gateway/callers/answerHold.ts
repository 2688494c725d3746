/** What is held of the unfinished answer of one call to an endpoint. */
import {
	type AnswerTurns,
	BufferPart,
	type TurnChange
} from "../../policy/buffers/index.js"
import type {RequestBuffers} from "./callerBuffers.js"

/** The call, as far as its answer is to be read on. */
export interface AnswerSource {
	pause(): unknown
	resume(): void
	/** Ends the call as broken. */
	reject(detail: string): void
}

export interface AnswerHoldOptions {
	endpointId: string
	/** The call may not exist yet when what it reads is to be counted. */
	getSource: () => AnswerSource
	buffers: RequestBuffers
	turns: AnswerTurns<AnswerHold>
}

export class AnswerHold {
	private isClosed = false
	private unreadBytes = 0

	constructor(private readonly options: AnswerHoldOptions) {}

	add(bytes: number): void {
		this.options.buffers.add(BufferPart.Answer, bytes)
		this.count(bytes)
	}

	remove(bytes: number): void {
		this.options.buffers.remove(BufferPart.Answer, bytes)
		this.count(-bytes)
	}

	/** Bytes that were read and wait because the call is paused. */
	setUnread(bytes: number): void {
		const grownBytes = bytes - this.unreadBytes
		this.unreadBytes = bytes
		if (grownBytes > 0) this.add(grownBytes)
		else this.remove(-grownBytes)
	}

	/** The call has ended; what is kept of its answer counts for its request only. */
	close(): void {
		if (this.isClosed) return
		this.setUnread(0)
		this.isClosed = true
		const {turns, endpointId} = this.options
		apply(turns.close(endpointId, this))
	}

	/** Ends the call because the process holds too much. */
	end(): void {
		this.options.getSource().reject("answers fill the buffers")
		this.close()
	}

	private count(bytes: number): void {
		const {turns, endpointId} = this.options
		if (this.isClosed || bytes === 0) return
		apply(turns.add(endpointId, this, bytes))
	}

	pause(): void {
		this.options.getSource().pause()
	}

	resume(): void {
		this.options.getSource().resume()
	}
}

function apply({paused, resumed}: TurnChange<AnswerHold>): void {
	for (const hold of paused) hold.pause()
	for (const hold of resumed) hold.resume()
}
