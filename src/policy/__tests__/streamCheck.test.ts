import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {StreamCheck, StreamVerdict, isResumable} from "../streamCheck.js"

const seed = 20_261_203
const adapter = "base:a@1"

describe("StreamCheck", () => {
	it(`accepts a stream only if no chunk is missing (seed ${seed})`, () => {
		const texts = fc.array(fc.string({minLength: 1}), {
			minLength: 1,
			maxLength: 8
		})
		const property = fc.property(texts, fc.nat(7), (parts, lost) => {
			const length = parts.join("").length
			const feed = (skipped: number): StreamVerdict => {
				const check = new StreamCheck({adapter})
				let offset = 0
				parts.forEach((text, index) => {
					if (index !== skipped) check.addChunk({offset, text})
					offset += text.length
				})
				return check.finish({length, adapter})
			}
			expect(feed(-1)).toBe(StreamVerdict.Whole)
			if (lost < parts.length) expect(feed(lost)).not.toBe(StreamVerdict.Whole)
		})
		fc.assert(property, {seed})
	})

	it("reports an answer from another version of the adapter", () => {
		const check = new StreamCheck({adapter})
		check.addChunk({offset: 0, text: "abc"})
		const end = {length: 3, adapter: "base:a@2"}
		expect(check.finish(end)).toBe(StreamVerdict.WrongAdapter)
		expect(check.isWhole).toBe(false)
	})

	it("accepts a resumed stream only at the exact offset", () => {
		const rerun = new StreamCheck({adapter, offset: 3})
		const restarted = rerun.addChunk({offset: 0, text: "xyz"})
		expect(restarted).toBe(StreamVerdict.Overlap)
		expect(rerun.finish({length: 3, adapter})).toBe(StreamVerdict.AfterEnd)
		const resumed = new StreamCheck({adapter, offset: 3})
		expect(resumed.addChunk({offset: 3, text: "de"})).toBe(
			StreamVerdict.Continues
		)
		expect(resumed.finish({length: 5, adapter})).toBe(StreamVerdict.Whole)
	})

	it("reports a stream without a terminal event as cut and resumable", () => {
		const check = new StreamCheck({adapter})
		check.addChunk({offset: 0, text: "abc"})
		const verdict = check.close()
		expect(verdict).toBe(StreamVerdict.Cut)
		expect(isResumable(verdict)).toBe(true)
		expect(check.offset).toBe(3)
	})

	it("reports a chunk after the terminal event", () => {
		const check = new StreamCheck({adapter})
		check.finish({length: 0, adapter})
		const verdict = check.addChunk({offset: 0, text: "a"})
		expect(verdict).toBe(StreamVerdict.AfterEnd)
		expect(check.isWhole).toBe(false)
	})
})
