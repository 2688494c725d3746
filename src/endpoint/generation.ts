/**
 * One generation in the endpoint process, with the text generated so far and
 * the calls that read it. The text is kept when a reader disconnects, so that
 * another entry can resume the stream.
 */
import {create} from "@bufbuild/protobuf"
import {
	NotRunReason,
	type RunEvent,
	RunEventSchema,
	type RunRequest,
	type Started
} from "../contract/gen/link_pb.js"
import type {Draft} from "../policy/types.js"

/** Receives the events of a request; `isLast` is true for the terminal one. */
export type Sink = (event: RunEvent, isLast: boolean) => void

export enum GenerationState {
	Waiting = "waiting",
	Running = "running",
	Ended = "ended"
}

interface Reader {
	sink: Sink
	/** Number of characters that this reader has received. */
	offset: number
}

export class Generation {
	state = GenerationState.Waiting
	/** Engine that runs the generation; empty while it waits. */
	worker = ""
	attempts = 0
	/** Set once a run was lost that an engine may have begun. */
	lostRun: {step: string; worker: string} | undefined
	/** Aborted at the deadline, or when no reader resumes in time. */
	readonly abort = new AbortController()
	private text = ""
	private started: Started | undefined
	private terminal: RunEvent | undefined
	private readonly readers = new Set<Reader>()

	constructor(
		readonly req: RunRequest,
		readonly draft: Draft
	) {}

	/** Number of characters generated so far. */
	get length(): number {
		return this.text.length
	}

	/** True while no reader is attached. */
	get isAbandoned(): boolean {
		return this.readers.size === 0
	}

	/**
	 * Adds a reader that has the first `offset` characters. It gets the text
	 * after them at once. The returned function removes the reader.
	 */
	attach(sink: Sink, offset: number): () => void {
		const reader: Reader = {sink, offset}
		this.readers.add(reader)
		if (this.started !== undefined) {
			sink(toRunEvent({case: "started", value: this.started}), false)
		}
		this.sendUnreadText(reader)
		if (this.terminal !== undefined) this.endReader(reader, this.terminal)
		return () => {
			this.readers.delete(reader)
		}
	}

	start(started: Started): void {
		this.state = GenerationState.Running
		this.started = started
		const event = toRunEvent({case: "started", value: started})
		for (const reader of this.readers) reader.sink(event, false)
	}

	append(text: string): void {
		if (text === "") return
		this.text += text
		for (const reader of this.readers) this.sendUnreadText(reader)
	}

	/** Sends the terminal event to all readers and to any that attach later. */
	end(event: RunEvent["event"]): void {
		if (this.terminal !== undefined) return
		this.state = GenerationState.Ended
		this.terminal = create(RunEventSchema, {event})
		for (const reader of [...this.readers]) {
			this.endReader(reader, this.terminal)
		}
	}

	/** Ends it as not run, or as unknown if an engine may have begun a run of it. */
	refuse(reason: NotRunReason, detail: string, retryAfterMs = 0): void {
		if (this.lostRun !== undefined) {
			const {step, worker} = this.lostRun
			this.end(createUnknownEvent(step, worker, detail))
		} else this.end(createNotRunEvent(reason, detail, retryAfterMs))
	}

	private sendUnreadText(reader: Reader): void {
		if (reader.offset >= this.text.length) return
		const text = this.text.slice(reader.offset)
		const chunk = toRunEvent({
			case: "chunk",
			value: {
				$typeName: "goldcrestloom.link.v1.Chunk",
				offset: reader.offset,
				text
			}
		})
		reader.offset = this.text.length
		reader.sink(chunk, false)
	}

	private endReader(reader: Reader, terminal: RunEvent): void {
		this.readers.delete(reader)
		reader.sink(terminal, true)
	}
}

/** Creates the terminal event of a request that was not run. */
export function createNotRunEvent(
	reason: NotRunReason,
	detail: string,
	retryAfterMs = 0
): RunEvent["event"] {
	return {
		case: "notRun",
		value: {
			$typeName: "goldcrestloom.link.v1.NotRun",
			reason,
			detail,
			retryAfterMs
		}
	}
}

/** Creates the terminal event of a request that may have run. */
export function createUnknownEvent(
	step: string,
	peer: string,
	detail: string
): RunEvent["event"] {
	return {
		case: "unknown",
		value: {
			$typeName: "goldcrestloom.link.v1.UnknownOutcome",
			step,
			peer,
			detail
		}
	}
}

export function toRunEvent(event: RunEvent["event"]): RunEvent {
	return create(RunEventSchema, {event})
}
