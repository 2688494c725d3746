/** Reads the data of server-sent events from a byte stream. */
import type {Readable} from "node:stream"
import {createParser} from "eventsource-parser"

/** Yields the data of each event; ends when the stream ends. */
export async function* readEvents(body: Readable): AsyncGenerator<string> {
	const ready: string[] = []
	const parser = createParser({
		onEvent: event => {
			ready.push(event.data)
		}
	})
	const decoder = new TextDecoder()
	// A reader that stops early destroys the stream, which then emits an error.
	body.on("error", () => undefined)
	for await (const chunk of body) {
		parser.feed(decoder.decode(chunk as Buffer, {stream: true}))
		yield* ready.splice(0)
	}
}
