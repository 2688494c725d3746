/**
 * One generation as the endpoint process holds it: the text so far and the
 * calls that read it. The text outlives a reader, so that another entry can
 * resume the stream.
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

/** Receives events; `isLast` is true for the terminal one. */
export type Sink = (event: RunEvent, isLast: boolean) => void

export enum GenerationState {
	Waiting = "waiting",
	Running = "running",
	Ended = "ended"
}

interface Reader {
	sink: Sink
	/** Characters that this reader already holds. */
	offset: number
}

export class Generation {
	state = GenerationState.Waiting
	/** Engine the generation runs on, empty while it waits. */
	worker = ""
	attempts = 0
	/** Aborted when the generation must stop. */
	readonly abort = new AbortController()
	private text = ""
	private started: Started | undefined
	private terminal: RunEvent | undefined
	private readonly readers = new Set<Reader>()

	constructor(
		readonly req: RunRequest,
		readonly draft: Draft
	) {}

	get length(): number {
		return this.text.length
	}

	get isUnread(): boolean {
		return this.readers.size === 0
	}

	/** Adds a reader from `offset`; returns the function that removes it. */
	attach(sink: Sink, offset: number): () => void {
		const reader: Reader = {sink, offset}
		this.readers.add(reader)
		if (this.started !== undefined) {
			sink(wrap({case: "started", value: this.started}), false)
		}
		this.catchUp(reader)
		if (this.terminal !== undefined) this.finishReader(reader, this.terminal)
		return () => {
			this.readers.delete(reader)
		}
	}

	start(started: Started): void {
		this.state = GenerationState.Running
		this.started = started
		const event = wrap({case: "started", value: started})
		for (const reader of this.readers) reader.sink(event, false)
	}

	append(text: string): void {
		if (text === "") return
		this.text += text
		for (const reader of this.readers) this.catchUp(reader)
	}

	/** Ends the generation for every reader, present and future. */
	end(event: RunEvent["event"]): void {
		if (this.terminal !== undefined) return
		this.state = GenerationState.Ended
		this.terminal = create(RunEventSchema, {event})
		for (const reader of [...this.readers]) {
			this.finishReader(reader, this.terminal)
		}
	}

	refuse(reason: NotRunReason, detail: string, retryAfterMs = 0): void {
		this.end(notRun(reason, detail, retryAfterMs))
	}

	private catchUp(reader: Reader): void {
		if (reader.offset >= this.text.length) return
		const text = this.text.slice(reader.offset)
		const chunk = wrap({
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

	private finishReader(reader: Reader, terminal: RunEvent): void {
		this.readers.delete(reader)
		reader.sink(terminal, true)
	}
}

/** The terminal event of a request that was not run. */
export function notRun(
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

/** The terminal event of a request that may have run. */
export function unknownOutcome(
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

export function wrap(event: RunEvent["event"]): RunEvent {
	return create(RunEventSchema, {event})
}
