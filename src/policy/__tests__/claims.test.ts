import {beforeEach, describe, expect, it} from "vitest"
import {absentVersion, WriteOutcome} from "../../link/platform.js"
import {
	BodyEncoding,
	type ClaimHead,
	type ClaimSegment,
	type StoredAnswer
} from "../claimLog.js"
import {ClaimBucket} from "../claims.js"
import {
	type ClaimAction,
	ClaimActionType,
	type ClaimEvent,
	ClaimEventType,
	type ClaimOptions,
	ClaimRefusal,
	ClaimResultType,
	type LogResult,
	SendEnd
} from "../claimTypes.js"

type HeadWrite = Extract<ClaimAction, {type: ClaimActionType.WriteHead}>

/** One bucket's objects, written at once unless a write is held back. */
class Store {
	head: ClaimHead | undefined
	version = absentVersion
	segments = new Map<string, ClaimSegment>()
	writes = 0

	apply({head, expected}: HeadWrite): WriteOutcome {
		this.writes += 1
		if (expected !== this.version) return WriteOutcome.Conflict
		this.head = head
		this.version += 1
		return WriteOutcome.Written
	}
}

/** A bucket whose actions are carried out at once. */
class Driver {
	readonly bucket: ClaimBucket
	readonly sent: string[] = []
	readonly results = new Map<number, LogResult>()
	/** Outcomes to pretend for the next head writes, which have no effect. */
	failing: WriteOutcome[] = []
	heldBack: HeadWrite[] = []
	/** When set, answers of head writes are kept here. */
	heldAnswers: ClaimEvent[] | undefined
	body = "booked"
	private callsMade = 0

	constructor(
		private readonly store: Store,
		name: string,
		options: Partial<ClaimOptions> = {}
	) {
		this.bucket = new ClaimBucket({
			pool: "orders-desk",
			bucket: 0,
			owner: {hostId: name, address: name, incarnation: 1},
			processId: name,
			...options
		})
	}

	feed(event: ClaimEvent): void {
		for (const action of this.bucket.step(event, now)) this.carryOut(action)
	}

	call(key: string, deadline = now + 5_000): number {
		this.callsMade += 1
		const id = this.callsMade
		const call = {
			id,
			key,
			bodyHash: "a",
			deadline,
			mayHaveBeenSent: false,
			isFirstAttempt: true
		}
		this.feed({type: ClaimEventType.Call, call})
		return id
	}

	/** Lets time pass, tick by tick. */
	pass(ms: number): void {
		const end = now + ms
		for (;;) {
			const at = this.bucket.nextTickAt()
			if (at > end) break
			now = Math.max(now, at)
			this.feed({type: ClaimEventType.Tick})
		}
		now = end
	}

	private carryOut(action: ClaimAction): void {
		const {store} = this
		switch (action.type) {
			case ClaimActionType.ReadHead: {
				const {head, version} = store
				this.feed({type: ClaimEventType.HeadRead, head, version})
				return
			}
			case ClaimActionType.ReadSegments: {
				const segments = action.refs.map(({id}) => store.segments.get(id))
				this.feed({type: ClaimEventType.SegmentsRead, segments})
				return
			}
			case ClaimActionType.WriteHead: {
				const outcome = this.write(action)
				const {version} = store
				const type = ClaimEventType.WriteEnded
				const answer: ClaimEvent = {type, outcome, version}
				if (this.heldAnswers === undefined) this.feed(answer)
				else this.heldAnswers.push(answer)
				return
			}
			case ClaimActionType.WriteSegment: {
				store.segments.set(action.id, action.segment)
				const outcome = WriteOutcome.Written
				this.feed({type: ClaimEventType.SegmentWritten, outcome})
				return
			}
			case ClaimActionType.RemoveSegment:
				store.segments.delete(action.id)
				return
			case ClaimActionType.Send:
				this.send(action.key, action.attempt)
				return
			case ClaimActionType.End:
				this.results.set(action.callId, action.result)
		}
	}

	private write(action: HeadWrite): WriteOutcome {
		const failure = this.failing.shift()
		if (failure === undefined) return this.store.apply(action)
		this.heldBack.push(action)
		return failure
	}

	private send(key: string, attempt: string): void {
		this.sent.push(key)
		const outcome = {
			end: SendEnd.Answered as const,
			answer: makeAnswer(this.body)
		}
		this.feed({type: ClaimEventType.CallEnded, key, attempt, outcome})
	}
}

function makeAnswer(body: string): StoredAnswer {
	const encoding = BodyEncoding.Utf8
	return {status: 201, contentType: "", encoding, body, size: body.length}
}

let now: number
let store: Store

beforeEach(() => {
	now = 1_000_000
	store = new Store()
})

describe("ClaimBucket", () => {
	it("writes calls that arrive together, and their outcomes, at once", () => {
		const one = new Driver(store, "one")
		for (let i = 0; i < 10; i++) one.call(`k${i}`)
		one.pass(100)
		expect(one.sent).toHaveLength(10)
		expect(store.writes).toBe(1)
		one.pass(2_000)
		expect(store.writes).toBe(2)
	})

	it("sends only after a lost write is settled", () => {
		const one = new Driver(store, "one")
		one.failing = [WriteOutcome.Lost]
		const id = one.call("k")
		one.pass(5)
		expect(one.sent).toEqual([])
		one.pass(100)
		expect(one.sent).toEqual(["k"])
		expect(one.results.get(id)?.type).toBe(ClaimResultType.Answered)
	})

	it("finds its own claim when the lost write had landed", () => {
		const one = new Driver(store, "one")
		one.failing = [WriteOutcome.Lost]
		one.call("k")
		one.pass(5)
		for (const write of one.heldBack) store.apply(write)
		one.pass(100)
		expect(one.sent).toEqual(["k"])
		expect(store.head?.next).toBe(1)
	})

	it("keeps a lost claim in mind that lands after it was given up", () => {
		const one = new Driver(store, "one")
		one.failing = [WriteOutcome.Lost, WriteOutcome.Refused]
		const first = one.call("k")
		one.pass(200)
		expect(one.results.get(first)).toMatchObject({
			type: ClaimResultType.NotRun,
			reason: ClaimRefusal.PlatformUnavailable
		})
		const [lost] = one.heldBack
		if (lost !== undefined) store.apply(lost)
		one.pass(5_000)
		const other = new Driver(store, "two")
		const retry = other.call("k")
		other.pass(1_000)
		expect(other.results.get(retry)?.type).toBe(ClaimResultType.Answered)
		expect([...one.sent, ...other.sent]).toEqual(["k"])
	})

	it("never sends a claim that no caller waits for", () => {
		const one = new Driver(store, "one")
		one.failing = [WriteOutcome.Lost]
		const id = one.call("k", now + 10)
		one.pass(5_000)
		expect(one.sent).toEqual([])
		expect(one.results.get(id)?.type).toBe(ClaimResultType.NotRun)
		const again = one.call("k")
		one.pass(100)
		expect(one.results.get(again)?.type).toBe(ClaimResultType.Answered)
	})

	it("does not send when it resumes after the deadline", () => {
		const one = new Driver(store, "one")
		const held: ClaimEvent[] = []
		one.heldAnswers = held
		const id = one.call("k", now + 1_000)
		one.pass(5)
		expect(held).toHaveLength(1)
		now += 60_000
		one.heldAnswers = undefined
		for (const answer of held) one.feed(answer)
		one.pass(5_000)
		expect(one.sent).toEqual([])
		expect(one.results.get(id)).toMatchObject({
			type: ClaimResultType.NotRun,
			reason: ClaimRefusal.Deadline
		})
		const two = new Driver(store, "two")
		const retry = two.call("k")
		two.pass(100)
		expect(two.results.get(retry)?.type).toBe(ClaimResultType.Answered)
	})

	it("conflicts after a pause longer than the retention", () => {
		const options = {retentionMs: 60_000, maxHeadChars: 400}
		const paused = new Driver(store, "paused", options)
		paused.call("k0")
		paused.pass(2_000)
		const busy = new Driver(store, "busy", options)
		for (let i = 1; i < 60; i++) {
			busy.call(i === 50 ? "k" : `k${i}`)
			busy.pass(5_000)
		}
		const id = paused.call("k")
		paused.pass(100)
		expect(paused.sent).toEqual(["k0"])
		expect(paused.results.get(id)?.type).toBe(ClaimResultType.Answered)
	})

	it("forgets keys, and drops segments, past the retention", () => {
		const one = new Driver(store, "one", {
			retentionMs: 60_000,
			maxHeadChars: 400
		})
		for (let i = 0; i < 100; i++) {
			one.call(`k${i}`)
			one.pass(5_000)
		}
		expect(one.bucket.size).toBeLessThan(20)
		expect(store.segments.size).toBeLessThan(20)
		expect(store.head?.segments).toHaveLength(store.segments.size)
	})

	it("merges small segments, and reads them whole", () => {
		const options = {maxHeadChars: 400, mergeCount: 5}
		const one = new Driver(store, "one", options)
		for (let i = 0; i < 100; i++) {
			one.call(`k${i}`)
			one.pass(50)
		}
		one.pass(2_000)
		expect(store.segments.size).toBeLessThan(12)
		const two = new Driver(store, "two", options)
		const ids = Array.from({length: 100}, (_, i) => two.call(`k${i}`))
		two.pass(100)
		expect(two.sent).toEqual([])
		for (const id of ids) {
			expect(two.results.get(id)).toMatchObject({replayed: true})
		}
	})

	it("merges what fills a segment, however few it takes", () => {
		const countSegments = (options: Partial<ClaimOptions>): number => {
			store = new Store()
			const one = new Driver(store, "one", {maxHeadChars: 400, ...options})
			for (let i = 0; i < 100; i++) {
				one.call(`k${i}`)
				one.pass(50)
			}
			return store.segments.size
		}
		const unmerged = countSegments({mergeCount: Infinity})
		const merged = countSegments({maxSegmentChars: 4_000})
		expect(merged).toBeLessThanOrEqual(unmerged / 2)
		for (const segment of store.segments.values()) {
			expect(JSON.stringify(segment).length).toBeLessThan(4_100)
		}
	})

	it("leaves no segment behind when a merge's answer is lost", () => {
		const options = {maxHeadChars: 400, mergeCount: 3, retryBaseMs: 50}
		const one = new Driver(store, "one", options)
		for (let i = 0; i < 40; i++) {
			one.failing = [WriteOutcome.Lost]
			one.call(`k${i}`)
			one.pass(25)
			for (const write of one.heldBack.splice(0)) store.apply(write)
			one.pass(200)
		}
		expect(one.sent).toHaveLength(40)
		expect(store.segments.size).toBe(store.head?.segments.length)
	})

	it("records large answers without their body", () => {
		const one = new Driver(store, "one", {maxAnswerChars: 10})
		one.body = "x".repeat(11)
		const first = one.call("k")
		one.pass(100)
		expect(one.results.get(first)).toMatchObject({answer: {body: one.body}})
		const again = one.call("k")
		expect(one.results.get(again)).toMatchObject({
			type: ClaimResultType.Unknown,
			detail: "answered 201; its 11 characters are not kept"
		})
	})

	it("refuses at once while the platform is down, and tries again", () => {
		const one = new Driver(store, "one")
		one.call("k0")
		one.pass(2_000)
		const refusals = Array.from({length: 4}, () => WriteOutcome.Refused)
		one.failing = refusals
		one.call("k1")
		one.pass(50)
		const early = one.call("k2")
		expect(one.results.get(early)).toMatchObject({
			type: ClaimResultType.NotRun,
			retryAfterMs: expect.any(Number) as number
		})
		one.failing = []
		one.pass(3_000)
		const late = one.call("k3")
		one.pass(100)
		expect(one.results.get(late)?.type).toBe(ClaimResultType.Answered)
	})

	it("records outcomes without delay when it leaves", () => {
		const one = new Driver(store, "one", {outcomeDelayMs: 60_000})
		one.call("k")
		one.pass(100)
		expect(one.bucket.isIdle).toBe(false)
		one.feed({type: ClaimEventType.Flush})
		expect(one.bucket.isIdle).toBe(true)
	})
})
