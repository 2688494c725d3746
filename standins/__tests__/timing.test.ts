import {IncomingMessage, ServerResponse} from "node:http"
import {Socket} from "node:net"
import {afterEach, beforeEach, expect, test, vi} from "vitest"
import {LaggedValue, TokenBucket} from "../common/index.js"
import {Batch} from "../engine/batch.js"
import {Sequence, SequenceState} from "../engine/sequence.js"

beforeEach(() => {
	vi.useFakeTimers({toFake: ["performance", "setTimeout", "clearTimeout"]})
})

afterEach(() => {
	vi.useRealTimers()
})

function createBatch(seats: number): Batch {
	return new Batch({
		seats,
		maxWaiting: 10,
		msPerToken: 100,
		prefillMsPerToken: 10,
		onStart: () => undefined,
		onEnd: () => undefined,
		onCounts: () => undefined
	})
}

function createSequence(prompt: string, maxTokens: number): Sequence {
	return new Sequence({
		id: prompt,
		model: "a",
		echoedModel: "a",
		loraPath: "/a",
		prompt,
		maxTokens,
		priority: 0,
		cutAfterEvents: Infinity,
		isDroppingEvent: false
	})
}

test("refills a token bucket at its rate, up to one second of tokens", () => {
	const bucket = new TokenBucket(2)
	expect([bucket.tryTake(), bucket.tryTake(), bucket.tryTake()]).toEqual([
		true,
		true,
		false
	])
	expect(bucket.waitMs).toBe(500)
	vi.advanceTimersByTime(500)
	expect(bucket.tryTake()).toBe(true)
	bucket.forceTake()
	expect(bucket.waitMs).toBe(1000)
	vi.advanceTimersByTime(60_000)
	expect(bucket.waitMs).toBe(0)
	bucket.setRate(1)
	expect([bucket.tryTake(), bucket.tryTake()]).toEqual([true, false])
})

test("returns the value that was current lagMs ago", () => {
	const value = new LaggedValue("old")
	vi.advanceTimersByTime(1000)
	value.set("new")
	vi.advanceTimersByTime(400)
	expect(value.read(500)).toBe("old")
	vi.advanceTimersByTime(100)
	expect(value.read(500)).toBe("new")
	vi.advanceTimersByTime(120_000)
	value.set("newest")
	expect(value.read(500)).toBe("new")
})

test("generates one token per step after the prefill", () => {
	const batch = createBatch(2)
	const sequence = createSequence("12345678", 3)
	batch.add(sequence)
	vi.advanceTimersByTime(119)
	expect(sequence.tokens).toBe(0)
	vi.advanceTimersByTime(1)
	expect(sequence.tokens).toBe(1)
	vi.advanceTimersByTime(200)
	expect(sequence.state).toBe(SequenceState.Finished)
})

test("skips the prefill of a cached prefix until it is evicted", () => {
	const batch = createBatch(1)
	batch.add(createSequence("12345678", 1))
	vi.advanceTimersByTime(120)
	const cached = createSequence("12345678", 1)
	batch.add(cached)
	vi.advanceTimersByTime(100)
	expect(cached.tokens).toBe(1)
	batch.evictPrefixes("a")
	const uncached = createSequence("12345678", 1)
	batch.add(uncached)
	vi.advanceTimersByTime(100)
	expect(uncached.tokens).toBe(0)
})

test("lengthens a step per further sequence and counts only seats that generated a token", () => {
	const batch = createBatch(4)
	const sequences = [createSequence("", 2), createSequence("", 2)]
	for (const sequence of sequences) batch.add(sequence)
	vi.advanceTimersByTime(100)
	expect(sequences.map(({tokens}) => tokens)).toEqual([1, 0])
	vi.advanceTimersByTime(101)
	expect(batch.tokenSum).toBe(1)
	vi.advanceTimersByTime(1)
	expect(batch.tokenSum).toBe(3)
	expect(batch.efficiency).toBe(3 / 8)
})

test("aborts a sequence ten seconds after its last stream closed", () => {
	const batch = createBatch(1)
	const sequence = createSequence("", 250)
	const res = new ServerResponse(new IncomingMessage(new Socket()))
	sequence.attachStream(res, 0)
	batch.add(sequence)
	vi.advanceTimersByTime(1000)
	res.emit("close")
	vi.advanceTimersByTime(9_900)
	expect(sequence.state).toBe(SequenceState.Running)
	vi.advanceTimersByTime(200)
	expect(sequence.state).toBe(SequenceState.Aborted)
})

test("keeps a finished sequence for a minute", () => {
	const batch = createBatch(1)
	const sequence = createSequence("", 1)
	batch.add(sequence)
	vi.advanceTimersByTime(100)
	expect(sequence.expiresAt).toBe(performance.now() + 60_000)
})
