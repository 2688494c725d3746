import {describe, expect, it} from "vitest"
import {MemoryWatch} from "../memoryWatch.js"

const use = {
	rssBytes: 50,
	heapBytes: 10,
	heapLimitBytes: 100,
	externalBytes: 5
}

describe("an end by memory can be told apart afterwards", () => {
	const lines: [string, Record<string, unknown>][] = []
	let now = 0
	let current = use
	const watch = new MemoryWatch({
		log: (event, fields) => lines.push([event, fields]),
		maxRssBytes: 200,
		getBufferedBytes: () => 3,
		read: () => current,
		now: () => now
	})

	function listEvents(...uses: Partial<typeof use>[]): string[] {
		lines.length = 0
		for (const change of uses) {
			current = {...use, ...change}
			watch.tick()
		}
		return lines.map(([event]) => event)
	}

	it("since memory near either limit is logged, once a crossing", () => {
		const high = {heapBytes: 85}
		expect(listEvents({heapBytes: 84}, high, high, {heapBytes: 75})).toEqual([
			"memory.high"
		])
		expect(lines[0]?.[1]).toMatchObject({...use, ...high, bufferedBytes: 3})
		expect(listEvents({})).toEqual(["memory.normal"])
		now += 5000
		expect(listEvents({rssBytes: 170}, {rssBytes: 190})).toEqual([
			"memory.high"
		])
	})

	it("and one that goes up and down doesn't fill the log", () => {
		now += 5000
		const up = {rssBytes: 199}
		expect(listEvents({}, up, {}, up, {}, up, {})).toEqual([
			"memory.normal",
			"memory.high",
			"memory.normal"
		])
	})
})
