import {afterEach, beforeEach, describe, expect, it, vi} from "vitest"
import {LaterSearch} from "../laterSearch.js"

beforeEach(() => {
	vi.useFakeTimers()
})

afterEach(() => {
	vi.useRealTimers()
})

function createSearch(): {later: LaterSearch; onSearch: () => void} {
	const onSearch = vi.fn()
	const later = new LaterSearch({
		getStartBy: () => 10_000,
		onSearch,
		onTooLate: () => undefined,
		now: () => performance.now()
	})
	return {later, onSearch}
}

describe("a search that is put off twice", () => {
	it("is made once", () => {
		const {later, onSearch} = createSearch()
		later.trySchedule()
		vi.advanceTimersByTime(100)
		later.trySchedule()
		vi.advanceTimersByTime(2000)
		expect(onSearch).toHaveBeenCalledTimes(1)
	})

	// Guards against requests that are sent after their caller has left.
	it("is not made once it is cleared", () => {
		const {later, onSearch} = createSearch()
		later.trySchedule()
		later.trySchedule()
		later.clear()
		vi.advanceTimersByTime(2000)
		expect(onSearch).not.toHaveBeenCalled()
	})
})
