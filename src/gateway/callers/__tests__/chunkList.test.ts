import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {ChunkList} from "../chunkList.js"

describe("a list of chunks", () => {
	it("returns what was pushed, once", () => {
		const sizes = fc.array(fc.nat({max: 20_000}), {maxLength: 20})
		fc.assert(
			fc.property(sizes, each => {
				const list = new ChunkList()
				const chunks = each.map((size, at) => Buffer.alloc(size, at))
				for (const chunk of chunks) list.push(chunk)
				expect(list.length).toBe(Buffer.concat(chunks).length)
				const taken = Buffer.concat(list.take())
				expect(taken.equals(Buffer.concat(chunks))).toBe(true)
				expect(list.length).toBe(0)
				expect(list.take()).toEqual([])
			}),
			{seed: 54}
		)
	})

	// Guards against a body in chunks of a byte that takes 200 times its length.
	it("keeps small chunks in few blocks, none much larger than its bytes", () => {
		const list = new ChunkList()
		const bytes = 100_000
		for (let at = 0; at < bytes; at += 1) list.push(Buffer.from("b"))
		const chunks = list.take()
		const kept = chunks.reduce((sum, {buffer}) => sum + buffer.byteLength, 0)
		expect(chunks.length).toBeLessThan(10)
		expect(kept).toBeLessThan(2 * bytes)
	})
})
