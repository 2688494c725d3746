import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {EventDefect, EventSplitter} from "../eventSplitter.js"

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
	// Guards against an id that no header can carry as the stream goes on elsewhere,
	// and against text of an error that is forwarded as an event.
	it.each([
		["id: 7\ndata: a\n\n", undefined],
		["id: \u00e9\ndata: a\n\n", undefined],
		["x-weight-versions: 2\nid: 7\ndata:\n\n", undefined],
		[": note\n\n", undefined],
		["id: a\u0001b\ndata: a\n\n", EventDefect.UnreadableId],
		["id: \ufffd\ndata: a\n\n", EventDefect.UnreadableId],
		["id: 7\n\n", EventDefect.NotAnEvent],
		["data: a\n\n", EventDefect.NotAnEvent],
		["id:\ndata: a\n\n", EventDefect.NotAnEvent],
		["error text\n\n", EventDefect.NotAnEvent],
		["error text\nid: 7\ndata: a\n\n", EventDefect.NotAnEvent],
		["HTTP/1.1 500 Error\r\nA: b\r\n\r\n", EventDefect.NotAnEvent]
	])("tells what is no event of %j", (text, defect) => {
		const [event] = new EventSplitter().push(Buffer.from(text))
		expect(event).toMatchObject({defect})
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

	// Guards against an object for each blank line that an endpoint sends.
	it.each(["\n", "\r\n", ": note\n\n", ":\n\n\n"])(
		"are one as long as there is only %j",
		rest => {
			const splitter = new EventSplitter()
			const sent = rest.repeat(1000)
			const events = [
				...splitter.push(Buffer.from(sent)),
				...splitter.push(Buffer.from("id: 1\ndata: a\n\n"))
			]
			expect(events.length).toBeLessThanOrEqual(3)
			expect(events.map(({id}) => id).join("")).toBe("1")
			const bytes = Buffer.concat(events.map(each => each.bytes)).toString()
			expect(bytes).toBe(`${sent}id: 1\ndata: a\n\n`)
		}
	)
})
