import fc from "fast-check"
import {afterEach, beforeEach, describe, expect, it, vi} from "vitest"
import type {ServiceLevel} from "../../contract/config/types.js"
import {
	BurnCause,
	createLedger,
	createPart,
	hourMs,
	mergeIntoLedger,
	minuteMs,
	recordSample,
	sumWindow
} from "../../policy/burn.js"
import {
	burnKind,
	burnObjectName,
	decodeBurnPart,
	encodeBurnPart
} from "../burnObject.js"
import {burnFlushIntervalMs, BurnRecorder} from "../burnRecorder.js"
import {Fault, MemoryPlatform} from "./memoryPlatform.js"

const start = 490_000 * hourMs
const drafts: ServiceLevel = {
	name: "drafts",
	routes: ["draft", "summary"],
	target: 0.99,
	windowMs: 20_000
}
const maxValueBytes = 1_000_000

let now: number
let platform: MemoryPlatform

beforeEach(() => {
	now = start
	platform = new MemoryPlatform()
})

afterEach(() => {
	vi.useRealTimers()
})

function createRecorder(incarnation = 1): BurnRecorder {
	return new BurnRecorder({
		entryId: "e1",
		incarnation,
		serviceLevels: [drafts],
		clock: () => now
	})
}

function record(recorder: BurnRecorder, good = true, at = now): void {
	const cause = BurnCause.Queue
	recorder.record({route: "draft", member: "club", good, cause, at})
}

/** Sums the good and bad counts stored in the platform. */
function sumStoredCounts(): {good: number; bad: number} {
	const ledger = createLedger()
	for (const {value} of platform.objects.values()) {
		const part = decodeBurnPart(value)
		if (part !== undefined) mergeIntoLedger(ledger, part)
	}
	const filter = {serviceLevel: "drafts"}
	const {good, bad} = sumWindow(ledger, filter, now + 2 * hourMs, 26 * hourMs)
	return {good, bad}
}

describe("BurnRecorder", () => {
	it("writes one object per hour, and only when its counts changed", async () => {
		const recorder = createRecorder()
		record(recorder)
		record(recorder, false)
		expect(await recorder.flush(platform)).toEqual({written: 1, pending: 0})
		expect(await recorder.flush(platform)).toEqual({written: 0, pending: 0})
		record(recorder)
		await recorder.flush(platform)
		expect([...platform.objects.keys()]).toEqual(["burn/490000.e1.1"])
		expect(platform.writes).toBe(2)
		expect(sumStoredCounts()).toEqual({good: 2, bad: 1})
	})

	it("ignores routes that no service level covers", async () => {
		const recorder = createRecorder()
		const sample = {member: "club", good: true, cause: BurnCause.Queue, at: now}
		recorder.record({...sample, route: "status"})
		expect((await recorder.flush(platform)).written).toBe(0)
		recorder.setServiceLevels([{...drafts, name: "all", routes: ["status"]}])
		recorder.record({...sample, route: "status"})
		expect((await recorder.flush(platform)).written).toBe(1)
	})

	it("counts each request once when writes are lost, refused or interrupted by outages", async () => {
		const fault = fc.constantFrom(...Object.values(Fault))
		const step = fc.oneof(
			fc.record({kind: fc.constant("record"), good: fc.boolean()}),
			fc.record({kind: fc.constant("flush"), faults: fc.array(fault)}),
			fc.record({kind: fc.constant("outage")}),
			fc.record({kind: fc.constant("hour")})
		)
		await fc.assert(
			fc.asyncProperty(fc.array(step, {maxLength: 30}), async steps => {
				now = start
				platform = new MemoryPlatform()
				const recorder = createRecorder()
				const expected = {good: 0, bad: 0}
				let hours = 0
				for (const action of steps) {
					if ("good" in action) {
						record(recorder, action.good)
						expected[action.good ? "good" : "bad"] += 1
					}
					if ("faults" in action) {
						platform.faults.push(...action.faults)
						await recorder.flush(platform)
						platform.faults.length = 0
					}
					if (action.kind === "outage") platform.isDown = !platform.isDown
					if (action.kind === "hour" && hours++ < 5) now += hourMs
				}
				platform.isDown = false
				expect((await recorder.stop(platform)).pending).toBe(0)
				expect(sumStoredCounts()).toEqual(expected)
			})
		)
	})

	it("counts a request that is recorded after its hour was written", async () => {
		const recorder = createRecorder()
		record(recorder)
		now += hourMs
		await recorder.flush(platform)
		record(recorder, true, start + 5)
		await recorder.flush(platform)
		expect(sumStoredCounts()).toEqual({good: 2, bad: 0})
	})

	it("stores the counts of two incarnations of one entry separately", async () => {
		const first = createRecorder(1)
		record(first)
		await first.flush(platform)
		const second = createRecorder(2)
		record(second)
		await second.flush(platform)
		expect(sumStoredCounts()).toEqual({good: 2, bad: 0})
	})

	it("flushes at each interval and on stop, and not after it", async () => {
		vi.useFakeTimers()
		const recorder = createRecorder()
		recorder.start(platform)
		record(recorder)
		expect(platform.writes).toBe(0)
		await vi.advanceTimersByTimeAsync(burnFlushIntervalMs)
		expect(sumStoredCounts()).toEqual({good: 1, bad: 0})
		record(recorder)
		await recorder.stop(platform)
		expect(sumStoredCounts()).toEqual({good: 2, bad: 0})
		await vi.advanceTimersByTimeAsync(4 * burnFlushIntervalMs)
		expect(platform.writes).toBe(2)
	})

	it("removes only expired objects, at most 16 in each flush", async () => {
		for (let i = 0; i < 40; i++) {
			const part = createPart(`old${i}.1`, 490_000 - 30)
			const name = burnObjectName(part.hour, part.recorder)
			await platform.write(burnKind, name, encodeBurnPart(part), 0)
		}
		const kept = burnObjectName(490_000 - 25, "old.1")
		const part = createPart("old.1", 490_000 - 25)
		await platform.write(burnKind, kept, encodeBurnPart(part), 0)
		const recorder = createRecorder()
		let before = 0
		for (let i = 0; i < 12; i++) {
			await recorder.flush(platform)
			expect(platform.removals - before).toBeLessThanOrEqual(16)
			before = platform.removals
		}
		expect([...platform.objects.keys()]).toEqual([`burn/${kept}`])
		for (let i = 0; i < 200; i++) await recorder.flush(platform)
		expect(platform.lists).toBeLessThan(120)
	})
})

describe("burn object", () => {
	it("stays below 1 MB with many Members and high counts", () => {
		const part = createPart("entry-with-a-long-name.1764793200000", 490_000)
		for (let member = 0; member < 400; member++) {
			for (let minute = 0; minute < 60; minute++) {
				recordSample(part, {
					serviceLevel: "drafts",
					member: `${member}${"m".repeat(200)}`,
					good: true,
					cause: BurnCause.Queue,
					at: start + minute * minuteMs
				})
			}
		}
		for (const series of part.series.values()) {
			for (const counts of series.minutes.values()) {
				counts.good = 9_999_999
				for (const cause of Object.values(BurnCause)) {
					counts.bad[cause] = 9_999_999
				}
			}
		}
		const text = JSON.stringify(encodeBurnPart(part))
		expect(Buffer.byteLength(text)).toBeLessThan(maxValueBytes)
		expect(decodeBurnPart(JSON.parse(text))).toEqual(part)
	})

	it("is not decoded when its shape is invalid", () => {
		expect(decodeBurnPart({recorder: "e1.1", hour: 1})).toBeUndefined()
		expect(decodeBurnPart(null)).toBeUndefined()
	})
})
