/** Reads the data of server-sent events from a byte stream. */
import {createInterface} from "node:readline"
import type {Readable} from "node:stream"

const dataPrefix = "data:"

/** Yields the text of each `data:` line; ends when the stream ends. */
export async function* readEvents(body: Readable): AsyncGenerator<string> {
	const lines = createInterface({input: body, crlfDelay: Infinity})
	for await (const line of lines) {
		if (line.startsWith(dataPrefix)) {
			yield line.slice(dataPrefix.length).trim()
		}
	}
}
