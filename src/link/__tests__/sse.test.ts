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

function bytesOf(text: string): Uint8Array {
	return new TextEncoder().encode(text)
}

test("data of events is read, comments and other fields are not", async () => {
	const text = ": hello\nevent: x\nid: 7\ndata: one\n\ndata:two\r\n\r\n"
	expect(await read([bytesOf(text)])).toEqual(["one", "two"])
	const lines = "data: a\ndata: b\n\n"
	expect(await read([bytesOf(lines)])).toEqual(["a\nb"])
})

test("an event that was cut off is not given", async () => {
	expect(await read([bytesOf("data: one\n\ndata: tw")])).toEqual(["one"])
	expect(await read([bytesOf("data: one\n\ndata: two\n")])).toEqual(["one"])
	expect(await read([])).toEqual([])
})

test("events arrive whole however the bytes are split", async () => {
	const texts = fc.array(fc.string({unit: "grapheme", minLength: 1}), {
		minLength: 1,
		maxLength: 8
	})
	const property = fc.asyncProperty(texts, fc.nat(), async (values, size) => {
		const wanted = values.map(value => JSON.stringify(value))
		const bytes = bytesOf(wanted.map(text => `data: ${text}\n\n`).join(""))
		expect(await read(split(bytes, 1 + (size % 7)))).toEqual(wanted)
	})
	await fc.assert(property, {seed, numRuns: 300})
})

test("a reader that stops early ends the stream", async () => {
	const body = Readable.from([
		bytesOf("data: one\n\n"),
		bytesOf("data: two\n\n")
	])
	for await (const text of readEvents(body)) {
		expect(text).toBe("one")
		break
	}
	expect(body.destroyed).toBe(true)
})

test("a broken stream is an error, not an end", async () => {
	const body = Readable.from(breakOff())
	const texts: string[] = []
	const reading = (async () => {
		for await (const text of readEvents(body)) texts.push(text)
	})()
	await expect(reading).rejects.toThrow("reset")
	expect(texts).toEqual(["one"])
})

async function* breakOff(): AsyncGenerator<Uint8Array> {
	yield bytesOf("data: one\n\n")
	await Promise.resolve()
	throw new Error("reset")
}

function split(bytes: Uint8Array, size: number): Uint8Array[] {
	const count = Math.ceil(bytes.length / size)
	return Array.from({length: count}, (_, index) =>
		bytes.slice(index * size, (index + 1) * size)
	)
}
