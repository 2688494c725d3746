import {describe, expect, it} from "vitest"
import {EventSequence, SequenceDefect} from "../index.js"

function createSequence(ids: readonly string[], after?: string): EventSequence {
	const sequence = new EventSequence(after)
	for (const id of ids) sequence.add(id)
	return sequence
}

// Guards against pieces of two runs that are joined with a gap, or twice.
describe("an event", () => {
	const {Repeated, Skipped, Incomparable} = SequenceDefect

	it.each([
		[[], "5", undefined],
		[["1"], "2", undefined],
		[["1"], "3", Skipped],
		[["7"], "9", undefined],
		[["7", "8"], "9", undefined],
		[["7", "8"], "10", Skipped],
		[["3", "6"], "9", undefined],
		[["3", "6"], "8", undefined],
		[["3", "6"], "12", Skipped],
		[["3", "6", "8"], "12", undefined],
		[["1", "2"], "2", Repeated],
		[["1", "2"], "1", Repeated],
		[["1", "2"], "x", Incomparable],
		[["a"], "b", undefined],
		[["a"], "a", Repeated]
	])("of another run after %j with id %s: %s", (ids, next, defect) => {
		expect(createSequence(ids).findDefect(next, true)).toBe(defect)
	})

	it("of the same run may skip ids, and not go back", () => {
		const sequence = createSequence(["1", "2"])
		expect(sequence.findDefect("5", false)).toBeUndefined()
		expect(sequence.findDefect("2", false)).toBe(Repeated)
	})

	it("follows the one that the caller states, if that can be compared", () => {
		expect(createSequence([], "4").findDefect("4", true)).toBe(Repeated)
		expect(createSequence([], "4").findDefect("1", true)).toBe(Repeated)
		expect(createSequence([], "4").findDefect("5", true)).toBeUndefined()
		expect(createSequence([], "x").findDefect("5", true)).toBeUndefined()
	})
})
