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
	type StoredCallResult,
	SendEnd
} from "../claimTypes.js"

type HeadWrite = Extract<ClaimAction, {type: ClaimActionType.WriteHead}>

/** In-memory objects of one bucket. */
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

/** Carries out the actions of one process's bucket synchronously. */
class Driver {
	readonly bucket: ClaimBucket
	readonly sent: string[] = []
	readonly results = new Map<number, StoredCallResult>()
	/** Outcomes reported for the next head writes, which are not applied. */
	simulatedOutcomes: WriteOutcome[] = []
	/** Writes that were not applied; a test may apply them later. */
	unappliedWrites: HeadWrite[] = []
	/** When set, collects the answers to head writes instead of delivering them. */
	undelivered: ClaimEvent[] | undefined
	/** Body that the endpoint answers with. */
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

	dispatch(event: ClaimEvent): void {
		for (const action of this.bucket.step(event, now)) this.execute(action)
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
		this.dispatch({type: ClaimEventType.Call, call})
		return id
	}

	/** Advances the time, delivering each tick that falls due. */
	advance(ms: number): void {
		const end = now + ms
		for (;;) {
			const at = this.bucket.nextTickAt()
			if (at > end) break
			now = Math.max(now, at)
			this.dispatch({type: ClaimEventType.Tick})
		}
		now = end
	}

	private execute(action: ClaimAction): void {
		const {store} = this
		switch (action.type) {
			case ClaimActionType.ReadHead: {
				const {head, version} = store
				this.dispatch({type: ClaimEventType.HeadRead, head, version})
				return
			}
			case ClaimActionType.ReadSegments: {
				const segments = action.refs.map(({id}) => store.segments.get(id))
				this.dispatch({type: ClaimEventType.SegmentsRead, segments})
				return
			}
			case ClaimActionType.WriteHead: {
				const outcome = this.write(action)
				const {version} = store
				const type = ClaimEventType.WriteEnded
				const answer: ClaimEvent = {type, outcome, version}
				if (this.undelivered === undefined) this.dispatch(answer)
				else this.undelivered.push(answer)
				return
			}
			case ClaimActionType.WriteSegment: {
				store.segments.set(action.id, action.segment)
				const outcome = WriteOutcome.Written
				this.dispatch({type: ClaimEventType.SegmentWritten, outcome})
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
		const simulated = this.simulatedOutcomes.shift()
		if (simulated === undefined) return this.store.apply(action)
		this.unappliedWrites.push(action)
		return simulated
	}

	private send(key: string, attempt: string): void {
		this.sent.push(key)
		const outcome = {
			end: SendEnd.Answered as const,
			answer: makeAnswer(this.body)
		}
		this.dispatch({type: ClaimEventType.CallEnded, key, attempt, outcome})
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
	it("writes concurrent claims in one batch and their outcomes in another", () => {
		const one = new Driver(store, "one")
		for (let i = 0; i < 10; i++) one.call(`k${i}`)
		one.advance(100)
		expect(one.sent).toHaveLength(10)
		expect(store.writes).toBe(1)
		one.advance(2_000)
		expect(store.writes).toBe(2)
	})

	it("sends a call only after a repeat of its lost claim write succeeds", () => {
		const one = new Driver(store, "one")
		one.simulatedOutcomes = [WriteOutcome.Lost]
		const id = one.call("k")
		one.advance(5)
		expect(one.sent).toEqual([])
		one.advance(100)
		expect(one.sent).toEqual(["k"])
		expect(one.results.get(id)?.type).toBe(ClaimResultType.Answered)
	})

	it("sends the call once when the write that lost its answer was applied", () => {
		const one = new Driver(store, "one")
		one.simulatedOutcomes = [WriteOutcome.Lost]
		one.call("k")
		one.advance(5)
		for (const write of one.unappliedWrites) store.apply(write)
		one.advance(100)
		expect(one.sent).toEqual(["k"])
		expect(store.head?.next).toBe(1)
	})

	it("releases a lost claim that is applied after its call was refused", () => {
		const one = new Driver(store, "one")
		one.simulatedOutcomes = [WriteOutcome.Lost, WriteOutcome.Refused]
		const first = one.call("k")
		one.advance(200)
		expect(one.results.get(first)).toMatchObject({
			type: ClaimResultType.NotRun,
			reason: ClaimRefusal.PlatformUnavailable
		})
		const [lost] = one.unappliedWrites
		if (lost !== undefined) store.apply(lost)
		one.advance(5_000)
		const other = new Driver(store, "two")
		const retry = other.call("k")
		other.advance(1_000)
		expect(other.results.get(retry)?.type).toBe(ClaimResultType.Answered)
		expect([...one.sent, ...other.sent]).toEqual(["k"])
	})

	it("releases a lost claim that is written again after the deadline", () => {
		const one = new Driver(store, "one")
		one.simulatedOutcomes = [WriteOutcome.Lost]
		const id = one.call("k", now + 10)
		one.advance(5_000)
		expect(one.sent).toEqual([])
		expect(one.results.get(id)?.type).toBe(ClaimResultType.NotRun)
		const again = one.call("k")
		one.advance(100)
		expect(one.results.get(again)?.type).toBe(ClaimResultType.Answered)
	})

	it("releases a claim whose write is acknowledged after the deadline", () => {
		const one = new Driver(store, "one")
		const undelivered: ClaimEvent[] = []
		one.undelivered = undelivered
		const id = one.call("k", now + 1_000)
		one.advance(5)
		expect(undelivered).toHaveLength(1)
		now += 60_000
		one.undelivered = undefined
		for (const answer of undelivered) one.dispatch(answer)
		one.advance(5_000)
		expect(one.sent).toEqual([])
		expect(one.results.get(id)).toMatchObject({
			type: ClaimResultType.NotRun,
			reason: ClaimRefusal.Deadline
		})
		const two = new Driver(store, "two")
		const retry = two.call("k")
		two.advance(100)
		expect(two.results.get(retry)?.type).toBe(ClaimResultType.Answered)
	})

	it("replays a key claimed elsewhere in a pause longer than the retention", () => {
		const options = {retentionMs: 60_000, maxHeadChars: 400}
		const paused = new Driver(store, "paused", options)
		paused.call("k0")
		paused.advance(2_000)
		const busy = new Driver(store, "busy", options)
		for (let i = 1; i < 60; i++) {
			busy.call(i === 50 ? "k" : `k${i}`)
			busy.advance(5_000)
		}
		const id = paused.call("k")
		paused.advance(100)
		expect(paused.sent).toEqual(["k0"])
		expect(paused.results.get(id)?.type).toBe(ClaimResultType.Answered)
	})

	it("deletes keys and segments past their retention", () => {
		const one = new Driver(store, "one", {
			retentionMs: 60_000,
			maxHeadChars: 400
		})
		for (let i = 0; i < 100; i++) {
			one.call(`k${i}`)
			one.advance(5_000)
		}
		expect(one.bucket.size).toBeLessThan(20)
		expect(store.segments.size).toBeLessThan(20)
		expect(store.head?.segments).toHaveLength(store.segments.size)
	})

	it("replays the answer of every key from merged segments", () => {
		const options = {maxHeadChars: 400, mergeCount: 5}
		const one = new Driver(store, "one", options)
		for (let i = 0; i < 100; i++) {
			one.call(`k${i}`)
			one.advance(50)
		}
		one.advance(2_000)
		expect(store.segments.size).toBeLessThan(12)
		const two = new Driver(store, "two", options)
		const ids = Array.from({length: 100}, (_, i) => two.call(`k${i}`))
		two.advance(100)
		expect(two.sent).toEqual([])
		for (const id of ids) {
			expect(two.results.get(id)).toMatchObject({replayed: true})
		}
	})

	it("merges fewer than mergeCount segments when they fill a segment", () => {
		const countSegments = (options: Partial<ClaimOptions>): number => {
			store = new Store()
			const one = new Driver(store, "one", {maxHeadChars: 400, ...options})
			for (let i = 0; i < 100; i++) {
				one.call(`k${i}`)
				one.advance(50)
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

	it("leaves no unreferenced segment when head writes lose their answers", () => {
		const options = {maxHeadChars: 400, mergeCount: 3, retryBaseMs: 50}
		const one = new Driver(store, "one", options)
		for (let i = 0; i < 40; i++) {
			one.simulatedOutcomes = [WriteOutcome.Lost]
			one.call(`k${i}`)
			one.advance(25)
			for (const write of one.unappliedWrites.splice(0)) store.apply(write)
			one.advance(200)
		}
		expect(one.sent).toHaveLength(40)
		expect(store.segments.size).toBe(store.head?.segments.length)
	})

	it("stores an answer above maxAnswerChars without its body", () => {
		const one = new Driver(store, "one", {maxAnswerChars: 10})
		one.body = "x".repeat(11)
		const first = one.call("k")
		one.advance(100)
		expect(one.results.get(first)).toMatchObject({answer: {body: one.body}})
		const again = one.call("k")
		expect(one.results.get(again)).toMatchObject({
			type: ClaimResultType.Unknown,
			detail: "answered 201; its 11 characters are not kept"
		})
	})

	it("refuses calls while the platform is down and accepts them afterwards", () => {
		const one = new Driver(store, "one")
		one.call("k0")
		one.advance(2_000)
		const refusals = Array.from({length: 4}, () => WriteOutcome.Refused)
		one.simulatedOutcomes = refusals
		one.call("k1")
		one.advance(50)
		const early = one.call("k2")
		expect(one.results.get(early)).toMatchObject({
			type: ClaimResultType.NotRun,
			retryAfterMs: expect.any(Number) as number
		})
		one.simulatedOutcomes = []
		one.advance(3_000)
		const late = one.call("k3")
		one.advance(100)
		expect(one.results.get(late)?.type).toBe(ClaimResultType.Answered)
	})

	it("writes queued outcomes at once on a flush", () => {
		const one = new Driver(store, "one", {outcomeDelayMs: 60_000})
		one.call("k")
		one.advance(100)
		expect(one.bucket.isIdle).toBe(false)
		one.dispatch({type: ClaimEventType.Flush})
		expect(one.bucket.isIdle).toBe(true)
	})
})
