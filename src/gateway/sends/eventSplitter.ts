/**
 * Splits a stream of server-sent events into complete events. The gateway never
 * forwards a truncated event, so that another engine can resume the generation
 * after the last complete one.
 */
import {ChunkList} from "../callers/chunkList.js"
import {isHeaderText} from "../../contract/wireValues.js"

export interface StreamEvent {
	/** The event's bytes, including the blank line that ends it. */
	bytes: Buffer
	/** Value of the `id` field; empty when there is none. */
	id: string
	/** Whether it is comments and blank lines only, as sent to keep a connection open. */
	isComment: boolean
	/** Why it is neither an event of a stream nor a comment. */
	defect: EventDefect | undefined
}

export enum EventDefect {
	NotAnEvent = "text that is no event",
	/** Another engine couldn't be told to go on after it. */
	UnreadableId = "unreadable id of an event"
}

const lineFeed = 0x0a
const carriageReturn = 0x0d
const colon = 0x3a

/** Bytes before a blank line's last one that tell that it is blank. */
const overlapBytes = 2

export class EventSplitter {
	private readonly pending = new ChunkList()
	/** The last bytes of `pending`. */
	private tail: Buffer = Buffer.alloc(0)

	/** Number of bytes received of an event that is not complete. */
	get pendingBytes(): number {
		return this.pending.length
	}

	/**
	 * Appends a chunk and returns the events that it completes, up to the first one with
	 * a defect. Comments and blank lines between two events are one, so that an endpoint
	 * can't fill the memory with objects for a few bytes each.
	 */
	push(chunk: Buffer): StreamEvent[] {
		const events: StreamEvent[] = []
		let rest = chunk
		const firstEnd = this.findFirstEnd(chunk)
		if (firstEnd > 0 && this.pending.length > 0) {
			this.pending.push(chunk.subarray(0, firstEnd))
			const [event] = splitEvents(Buffer.concat(this.pending.take())).events
			if (event !== undefined) events.push(event)
			if (event?.defect !== undefined) return events
			rest = chunk.subarray(firstEnd)
		}
		if (firstEnd > 0) {
			const split = splitEvents(rest)
			events.push(...split.events)
			rest = split.rest
			this.tail = Buffer.alloc(0)
		}
		this.pending.push(rest)
		this.tail = Buffer.concat([this.tail, rest.subarray(-overlapBytes)])
		this.tail = this.tail.subarray(-overlapBytes)
		return events
	}

	/** Index in the chunk after the first blank line, or -1 if there is none. */
	private findFirstEnd(chunk: Buffer): number {
		const {tail} = this
		const seam = Buffer.concat([tail, chunk.subarray(0, overlapBytes)])
		const end = findEventEnd(seam, 0)
		return end < 0 ? findEventEnd(chunk, 0) : end - tail.length
	}
}

function splitEvents(bytes: Buffer): {events: StreamEvent[]; rest: Buffer} {
	const events: StreamEvent[] = []
	let from = 0
	for (;;) {
		const commentsEnd = findCommentsEnd(bytes, from)
		if (commentsEnd > from) {
			events.push(createComments(bytes.subarray(from, commentsEnd)))
			from = commentsEnd
		}
		const end = findEventEnd(bytes, from)
		if (end < 0) return {events, rest: bytes.subarray(from)}
		const event = decodeEvent(bytes.subarray(from, end))
		events.push(event)
		from = end
		if (event.defect !== undefined) return {events, rest: Buffer.alloc(0)}
	}
}

function createComments(bytes: Buffer): StreamEvent {
	return {bytes, id: "", isComment: true, defect: undefined}
}

/** Index after the last blank line before which there are only comments. */
function findCommentsEnd(buffer: Buffer, from: number): number {
	let end = from
	for (let at = from; ;) {
		const lineEnd = buffer.indexOf(lineFeed, at)
		if (lineEnd < 0) return end
		const isBlank =
			lineEnd === at || (lineEnd === at + 1 && buffer[at] === carriageReturn)
		if (!isBlank && buffer[at] !== colon) return end
		// The first line of a block may be blank without ending it.
		if (isBlank && at > end) end = lineEnd + 1
		at = lineEnd + 1
	}
}

/** Index after the first blank line at or after `from`, or -1 if there is none. */
function findEventEnd(buffer: Buffer, from: number): number {
	for (;;) {
		const at = buffer.indexOf(lineFeed, from)
		if (at < 0) return -1
		const next = buffer[at + 1] === carriageReturn ? at + 2 : at + 1
		if (buffer[next] === lineFeed) return next + 1
		from = at + 1
	}
}

/** Bytes that are no UTF-8 are read as U+FFFD. */
function isReadable(id: string): boolean {
	const sent = Buffer.from(id, "utf8").toString("latin1")
	return !id.includes("\ufffd") && isHeaderText(sent)
}

/** Engines write the names of fields in lower case. */
const fieldPattern = /^[a-z][a-z0-9-]*:|^:|^$/

function decodeEvent(bytes: Buffer): StreamEvent {
	const lines = bytes.toString("utf8").split(/\r?\n/)
	const line = lines.find(each => each.startsWith("id:"))
	const id = line?.slice("id:".length).trim() ?? ""
	return {bytes, id, isComment: false, defect: findDefect(lines, id)}
}

/** Text of an error, or the head of another answer, has no fields of an event. */
function findDefect(
	lines: readonly string[],
	id: string
): EventDefect | undefined {
	const hasFields = lines.every(line => fieldPattern.test(line))
	const hasData = lines.some(line => line.startsWith("data:"))
	if (!hasFields || !hasData || id === "") return EventDefect.NotAnEvent
	return isReadable(id) ? undefined : EventDefect.UnreadableId
}
