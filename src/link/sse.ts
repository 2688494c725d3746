/** Parses server-sent events from a byte stream. */
import type {Readable} from "node:stream"
import {createParser} from "eventsource-parser"

/** Limit for one event and for one line, characters: a whole answer in one event. */
const maxEventLength = 4 * 1024 * 1024

/**
 * Yields the data of each complete event; ends when the stream ends. Throws when an event
 * is too large.
 */
export async function* readEvents(body: Readable): AsyncGenerator<string> {
	const pendingData: string[] = []
	const excesses: Error[] = []
	const parser = createParser({
		maxBufferSize: maxEventLength,
		onError: err => {
			if (err.type === "max-buffer-size-exceeded") excesses.push(err)
		},
		onEvent: event => {
			pendingData.push(event.data)
		}
	})
	const decoder = new TextDecoder()
	// A consumer that stops early destroys the stream, which then emits an error
	// that would be unhandled.
	body.on("error", () => undefined)
	for await (const chunk of body) {
		parser.feed(decoder.decode(chunk as Buffer, {stream: true}))
		yield* pendingData.splice(0)
		if (excesses.length > 0)
			throw new Error(`an event is over the limit of ${maxEventLength}`)
	}
}
