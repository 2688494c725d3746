import {describe, expect, it} from "vitest"
import {CommentRun, hasExcessFraming} from "../index.js"

const headBytes = 300
const hour = 3600

/** What has been read of a body in chunks of one size, each with its framing. */
function readChunks(
	chunks: number,
	bytes: number
): Parameters<typeof hasExcessFraming>[0] {
	const framingBytes = bytes.toString(16).length + 4
	return {
		readBytes: headBytes + chunks * (bytes + framingBytes),
		bodyBytes: chunks * bytes,
		pieces: chunks
	}
}

describe("the framing of an answer", () => {
	it.each([
		["a short answer in chunks of a byte", readChunks(4000, 1)],
		["a long stream of the shortest events", readChunks(10_000_000, 12)],
		["a long stream in a chunk for each line", readChunks(10_000_000, 6)],
		["a large body", readChunks(64, 65_536)],
		["the largest heads", {readBytes: 9 * 16_384, bodyBytes: 0, pieces: 0}]
	])("passes with %s", (_, received) => {
		expect(hasExcessFraming(received)).toBe(false)
	})

	it.each([
		["chunks of a byte", readChunks(6000, 1)],
		["sizes of zeros", {readBytes: 300_000, bodyBytes: 0, pieces: 0}],
		["large extensions", {readBytes: 900_000, bodyBytes: 90, pieces: 90}]
	])("ends it with %s without end", (_, received) => {
		expect(hasExcessFraming(received)).toBe(true)
	})
})

describe("comments between events", () => {
	it("pass for hours before each event, a few each second", () => {
		const run = new CommentRun()
		const bytes = ": still here\n\n".length
		for (let event = 0; event < 10; event += 1) {
			const seconds = Array.from({length: hour * 4}, () => run.tryAdd(bytes))
			expect(seconds).not.toContain(false)
			run.end()
		}
	})

	it("end the call when they come without an end", () => {
		const run = new CommentRun()
		let chunks = 0
		while (run.tryAdd(65_536)) chunks += 1
		expect(chunks).toBe(4)
	})
})
