import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {EventSplitter} from "../eventSplitter.js"

const text =
	'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: {"n":3}\n\n'

function split(chunks: readonly string[]): {bytes: string; id: string}[] {
	const splitter = new EventSplitter()
	return chunks.flatMap(chunk =>
		splitter
			.push(Buffer.from(chunk))
			.map(({bytes, id}) => ({bytes: bytes.toString(), id}))
	)
}

describe("the events of a stream", () => {
	// Guards against an id that no header can carry as the stream goes on elsewhere.
	it.each([
		["id: 7\n\n", true],
		["id: \u00e9\n\n", true],
		["id: a\u0001b\n\n", false],
		["id: \ufffd\n\n", false]
	])("tells whether a stream can go on after %j", (text, isIdReadable) => {
		const [event] = new EventSplitter().push(Buffer.from(text))
		expect(event?.isIdReadable).toBe(isIdReadable)
	})

	it("are the same however the stream is cut into chunks", () => {
		const whole = split([text])
		expect(whole.map(({id}) => id)).toEqual(["1", "2", "", "3"])
		fc.assert(
			fc.property(fc.array(fc.nat({max: text.length})), cuts => {
				const at = [0, ...cuts.sort((a, b) => a - b), text.length]
				const chunks = at.slice(1).map((end, n) => text.slice(at[n], end))
				expect(split(chunks)).toEqual(whole)
			}),
			{seed: 28}
		)
	})
})
