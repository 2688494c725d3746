/**
 * Checks that a streamed answer is whole and comes from the adapter named. A
 * resumed stream has to continue at the exact offset, so that the pieces of two
 * different answers are never joined.
 */
import type {AdapterName} from "./types.js"

export enum StreamVerdict {
	/** The chunk continues the answer. */
	Continues = "continues",
	/** The terminal event matches: the answer is complete. */
	Whole = "whole",
	/** Text is missing before the chunk. */
	Gap = "gap",
	/** The chunk repeats or replaces text that the caller holds. */
	Overlap = "overlap",
	/** An event came after the terminal one, or after a fault. */
	AfterEnd = "afterEnd",
	/** The terminal event names another length than was received. */
	WrongLength = "wrongLength",
	/** The engine answered from another adapter or version. */
	WrongAdapter = "wrongAdapter",
	/** The stream ended without a terminal event. */
	Cut = "cut"
}

export interface StreamChunk {
	/** Characters before this chunk. */
	offset: number
	text: string
}

export interface StreamEnd {
	/** Characters of the whole answer. */
	length: number
	/** Adapter as echoed by the engine. */
	adapter: AdapterName
}

export interface StreamCheckOptions {
	adapter: AdapterName
	/** Characters that the caller already holds. */
	offset?: number
}

export class StreamCheck {
	private readonly adapter: AdapterName
	private length: number
	private outcome: StreamVerdict | undefined

	constructor(options: StreamCheckOptions) {
		this.adapter = options.adapter
		this.length = options.offset ?? 0
	}

	/** Characters received in order; where a resumed stream has to continue. */
	get offset(): number {
		return this.length
	}

	get isWhole(): boolean {
		return this.outcome === StreamVerdict.Whole
	}

	addChunk(chunk: StreamChunk): StreamVerdict {
		if (this.outcome) return this.fail(StreamVerdict.AfterEnd)
		if (chunk.offset > this.length) return this.fail(StreamVerdict.Gap)
		if (chunk.offset < this.length) return this.fail(StreamVerdict.Overlap)
		this.length += chunk.text.length
		return StreamVerdict.Continues
	}

	/** Takes the terminal event. */
	finish(end: StreamEnd): StreamVerdict {
		if (this.outcome) return this.fail(StreamVerdict.AfterEnd)
		if (end.adapter !== this.adapter) {
			return this.fail(StreamVerdict.WrongAdapter)
		}
		if (end.length !== this.length) return this.fail(StreamVerdict.WrongLength)
		this.outcome = StreamVerdict.Whole
		return this.outcome
	}

	/** Takes the end of the connection. */
	close(): StreamVerdict {
		return this.outcome ?? this.fail(StreamVerdict.Cut)
	}

	/** The first fault stands; an event after a whole answer spoils it. */
	private fail(verdict: StreamVerdict): StreamVerdict {
		const isFirst = !this.outcome || this.outcome === StreamVerdict.Whole
		if (isFirst) this.outcome = verdict
		return verdict
	}
}

/** True when a stream may be resumed at its offset, by the same answer only. */
export function isResumable(verdict: StreamVerdict): boolean {
	return verdict === StreamVerdict.Cut || verdict === StreamVerdict.Gap
}
