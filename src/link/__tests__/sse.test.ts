import {Readable} from "node:stream"
import fc from "fast-check"
import {expect, test} from "vitest"
import {readEvents} from "../sse.js"

const seed = 20_261_203

async function read(chunks: readonly Uint8Array[]): Promise<string[]> {
	const texts: string[] = []
	for await (const text of readEvents(Readable.from(chunks))) texts.push(text)
	return texts
}

function encodeText(text: string): Uint8Array {
	return new TextEncoder().encode(text)
}

test("yields the data of events and skips comments and other fields", async () => {
	const text = ": hello\nevent: x\nid: 7\ndata: one\n\ndata:two\r\n\r\n"
	expect(await read([encodeText(text)])).toEqual(["one", "two"])
	const lines = "data: a\ndata: b\n\n"
	expect(await read([encodeText(lines)])).toEqual(["a\nb"])
})

test("does not yield an event that is cut off before its blank line", async () => {
	expect(await read([encodeText("data: one\n\ndata: tw")])).toEqual(["one"])
	expect(await read([encodeText("data: one\n\ndata: two\n")])).toEqual(["one"])
	expect(await read([])).toEqual([])
})

test("yields whole events for any split of the bytes", async () => {
	const texts = fc.array(fc.string({unit: "grapheme", minLength: 1}), {
		minLength: 1,
		maxLength: 8
	})
	const property = fc.asyncProperty(texts, fc.nat(), async (values, size) => {
		const wanted = values.map(value => JSON.stringify(value))
		const bytes = encodeText(wanted.map(text => `data: ${text}\n\n`).join(""))
		expect(await read(split(bytes, 1 + (size % 7)))).toEqual(wanted)
	})
	await fc.assert(property, {seed, numRuns: 300})
})

test("a consumer that stops early destroys the stream", async () => {
	const body = Readable.from([
		encodeText("data: one\n\n"),
		encodeText("data: two\n\n")
	])
	for await (const text of readEvents(body)) {
		expect(text).toBe("one")
		break
	}
	expect(body.destroyed).toBe(true)
})

test("a stream error is thrown after the events before it", async () => {
	const body = Readable.from(yieldThenFail())
	const texts: string[] = []
	const reading = (async () => {
		for await (const text of readEvents(body)) texts.push(text)
	})()
	await expect(reading).rejects.toThrow("reset")
	expect(texts).toEqual(["one"])
})

async function* yieldThenFail(): AsyncGenerator<Uint8Array> {
	yield encodeText("data: one\n\n")
	await Promise.resolve()
	throw new Error("reset")
}

function split(bytes: Uint8Array, size: number): Uint8Array[] {
	const count = Math.ceil(bytes.length / size)
	return Array.from({length: count}, (_, index) =>
		bytes.slice(index * size, (index + 1) * size)
	)
}
