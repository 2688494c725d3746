import fc from "fast-check"
import {describe, expect, it} from "vitest"
import {StreamCheck, StreamVerdict, isResumable} from "../streamCheck.js"

const seed = 20_261_203
const adapter = "base:a@1"

describe("StreamCheck", () => {
	it(`finds only unchanged streams whole (seed ${seed})`, () => {
		const texts = fc.array(fc.string({minLength: 1}), {
			minLength: 1,
			maxLength: 8
		})
		const property = fc.property(texts, fc.nat(7), (all, lost) => {
			const length = all.join("").length
			const read = (skip: number): StreamVerdict => {
				const check = new StreamCheck({adapter})
				let offset = 0
				all.forEach((text, index) => {
					if (index !== skip) check.addChunk({offset, text})
					offset += text.length
				})
				return check.finish({length, adapter})
			}
			expect(read(-1)).toBe(StreamVerdict.Whole)
			if (lost < all.length) expect(read(lost)).not.toBe(StreamVerdict.Whole)
		})
		fc.assert(property, {seed})
	})

	it("refuses an answer from another adapter or version", () => {
		const check = new StreamCheck({adapter})
		check.addChunk({offset: 0, text: "abc"})
		const end = {length: 3, adapter: "base:a@2"}
		expect(check.finish(end)).toBe(StreamVerdict.WrongAdapter)
		expect(check.isWhole).toBe(false)
	})

	it("resumes only at its exact offset", () => {
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

	it("finds a stream without a terminal event cut, and resumable", () => {
		const check = new StreamCheck({adapter})
		check.addChunk({offset: 0, text: "abc"})
		const verdict = check.close()
		expect(verdict).toBe(StreamVerdict.Cut)
		expect(isResumable(verdict)).toBe(true)
		expect(check.offset).toBe(3)
	})

	it("reports what comes after the terminal event", () => {
		const check = new StreamCheck({adapter})
		check.finish({length: 0, adapter})
		const verdict = check.addChunk({offset: 0, text: "a"})
		expect(verdict).toBe(StreamVerdict.AfterEnd)
		expect(check.isWhole).toBe(false)
	})
})
