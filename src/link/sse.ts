/** Parses server-sent events from a byte stream. */
import type {Readable} from "node:stream"
import {createParser} from "eventsource-parser"

/** Yields the data of each complete event; ends when the stream ends. */
export async function* readEvents(body: Readable): AsyncGenerator<string> {
	const pendingData: string[] = []
	const parser = createParser({
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
	}
}
