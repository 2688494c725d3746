/**
 * Verifies that a streamed answer is complete and comes from the requested
 * adapter. A resumed stream must continue at the exact offset, so that parts of
 * two different answers are never joined. Offsets and lengths count UTF-16 code
 * units, as the length of a JavaScript string does.
 */
import type {AdapterName} from "./types.js"

export enum StreamVerdict {
	/** The chunk continues the answer. */
	Continues = "continues",
	/** The terminal event matches: the answer is complete. */
	Whole = "whole",
	/** The chunk starts after the end of the text received so far. */
	Gap = "gap",
	/** The chunk starts before the end of the text received so far. */
	Overlap = "overlap",
	/** An event arrived after the terminal event or after a fault. */
	AfterEnd = "afterEnd",
	/** The length in the terminal event differs from the length received. */
	WrongLength = "wrongLength",
	/** The engine used another adapter or version than was requested. */
	WrongAdapter = "wrongAdapter",
	/** The stream ended without a terminal event. */
	Cut = "cut"
}

export interface StreamChunk {
	/** Position of the chunk in the answer. */
	offset: number
	text: string
}

export interface StreamEnd {
	/** Length of the complete answer. */
	length: number
	/** Adapter that the engine names in its answer. */
	adapter: AdapterName
}

export interface StreamCheckOptions {
	adapter: AdapterName
	/** Length of the text that the caller has received already. */
	offset?: number
}

export class StreamCheck {
	private readonly adapter: AdapterName
	/** Length received so far, including the part before a resumed stream. */
	private length: number
	private outcome: StreamVerdict | undefined

	constructor(options: StreamCheckOptions) {
		this.adapter = options.adapter
		this.length = options.offset ?? 0
	}

	/** Position at which the next chunk, or a resumed stream, must continue. */
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

	/** Handles the terminal event. */
	finish(end: StreamEnd): StreamVerdict {
		if (this.outcome) return this.fail(StreamVerdict.AfterEnd)
		if (end.adapter !== this.adapter) {
			return this.fail(StreamVerdict.WrongAdapter)
		}
		if (end.length !== this.length) return this.fail(StreamVerdict.WrongLength)
		this.outcome = StreamVerdict.Whole
		return this.outcome
	}

	/** Handles the end of the connection. */
	close(): StreamVerdict {
		return this.outcome ?? this.fail(StreamVerdict.Cut)
	}

	/** Keeps the first fault; one after a complete answer replaces `Whole`. */
	private fail(verdict: StreamVerdict): StreamVerdict {
		const isFirst = !this.outcome || this.outcome === StreamVerdict.Whole
		if (isFirst) this.outcome = verdict
		return verdict
	}
}

/** True when the stream may be resumed at its offset, by the same answer only. */
export function isResumable(verdict: StreamVerdict): boolean {
	return verdict === StreamVerdict.Cut || verdict === StreamVerdict.Gap
}
