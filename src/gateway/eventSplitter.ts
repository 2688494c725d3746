/**
 * Splits a stream into whole events, so that one that is cut in the middle is
 * never passed on and a generation can go on after the last whole one.
 */

export interface StreamEvent {
	/** The event's bytes with the blank line that ends it. */
	bytes: Buffer
	/** Empty when the event has none. */
	id: string
}

const lineFeed = 0x0a
const carriageReturn = 0x0d

export class EventSplitter {
	private rest: Buffer = Buffer.alloc(0)

	/** Bytes of an event that has not ended. */
	get pendingBytes(): number {
		return this.rest.length
	}

	/** Whole events that end in `chunk`. */
	push(chunk: Buffer): StreamEvent[] {
		this.rest =
			this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
		const events: StreamEvent[] = []
		for (;;) {
			const end = findEventEnd(this.rest)
			if (end < 0) return events
			const bytes = this.rest.subarray(0, end)
			this.rest = this.rest.subarray(end)
			events.push({bytes, id: readId(bytes)})
		}
	}
}

/** Index after the first blank line, or -1. */
function findEventEnd(buffer: Buffer): number {
	let from = 0
	for (;;) {
		const at = buffer.indexOf(lineFeed, from)
		if (at < 0) return -1
		const next = buffer[at + 1] === carriageReturn ? at + 2 : at + 1
		if (buffer[next] === lineFeed) return next + 1
		from = at + 1
	}
}

function readId(event: Buffer): string {
	for (const line of event.toString("utf8").split(/\r?\n/)) {
		if (line.startsWith("id:")) return line.slice("id:".length).trim()
	}
	return ""
}
