import {describe, expect, it} from "vitest"
import {
	amountValidMs,
	QuotaPart,
	type QuotaTerms,
	type TakeQuery,
	type TakeResult
} from "../index.js"

/** Without tolerance a part has exactly a third of the quota. */
const bounds = {windowMs: 8000, overage: 0, slack: 0}
const terms: QuotaTerms = {
	version: 1,
	perSecond: 3000,
	burst: 9000,
	countsRequests: false
}

function createPart(hasPredecessor = false, maxMembers = 20_000): QuotaPart {
	return new QuotaPart({bounds, heldSince: 0, hasPredecessor, maxMembers})
}

let lastKey = 0

function take(
	part: QuotaPart,
	now: number,
	query: Partial<TakeQuery> = {}
): TakeResult & {key: string} {
	lastKey += 1
	const key = query.key ?? `k${lastKey}`
	const result = part.take(
		{
			key,
			member: "m",
			terms,
			tokens: 3000,
			deadline: now + 60_000,
			isRenewal: false,
			isLast: false,
			otherWaitMs: Number.POSITIVE_INFINITY,
			...query
		},
		now
	)
	return {...result, key}
}

describe("a part of a Member's quota", () => {
	it("gives its burst, then its rate, and says when it has as much again", () => {
		const part = createPart()
		expect(take(part, 0).refusal).toBeUndefined()
		// A third of the cost is needed; the bucket is empty and gets 1 a ms.
		expect(take(part, 0).refusal?.waitMs).toBe(1000)
		expect(take(part, 999).refusal).toBeDefined()
		expect(take(part, 1000).refusal).toBeUndefined()
		expect(take(part, 1000).refusal?.waitMs).toBe(3000)
	})

	it("gets an amount back once, however often that is said", () => {
		const part = createPart()
		const {key} = take(part, 0)
		part.giveBack(key, 10)
		part.giveBack(key, 10)
		part.markSent(key, 0, 10)
		expect(take(part, 10).refusal).toBeUndefined()
		expect(take(part, 10).refusal).toBeDefined()
	})

	it("counts an amount as sent of which it hears nothing in time", () => {
		const part = createPart()
		const {key} = take(part, 0)
		const at = amountValidMs + 1
		part.giveBack(key, at)
		expect(part.takenCount).toBe(0)
		expect(take(part, at, {tokens: 0}).fields.used).toBe(3000)
		const outOfWindow = amountValidMs + bounds.windowMs + 100
		expect(take(part, outOfWindow, {tokens: 0}).fields.used).toBe(0)
	})

	it("keeps an amount for a request that waits as long as it is renewed", () => {
		const part = createPart()
		const {key} = take(part, 0)
		for (let now = 1000; now <= 9000; now += 1000)
			expect(take(part, now, {key, isRenewal: true}).refusal).toBeUndefined()
		part.giveBack(key, 9100)
		expect(take(part, 9100, {tokens: 0}).fields.used).toBe(0)
	})

	it("gives nothing at first after another holder, and nothing on credit", () => {
		const part = createPart(true)
		expect(take(part, 0).refusal).toBeDefined()
		// One request of 10,000 tokens is assumed, of which a part needs 3,000 only:
		// the bucket holds nothing before 8,500, and 1 a ms from then on.
		expect(take(part, 8900, {tokens: 600}).refusal).toBeDefined()
		expect(take(part, 9100, {tokens: 600}).refusal).toBeUndefined()
	})

	it("gives each refused caller a turn of its own where it is asked last", () => {
		const part = createPart()
		take(part, 0)
		const turns = [1, 2, 3].map(
			() => take(part, 0, {isLast: true}).refusal?.retryAfterMs
		)
		expect(turns).toEqual([1000, 4000, 7000])
	})

	it("follows the newest version of the configuration, and its unit", () => {
		const part = createPart()
		const newer = {...terms, version: 3, countsRequests: true, perSecond: 3}
		take(part, 0, {terms: {...newer, burst: 3}})
		const at = amountValidMs + 8000
		// An older gateway states tokens; they count as one request.
		expect(take(part, at, {terms}).refusal).toBeUndefined()
		expect(take(part, at, {terms, tokens: 9}).fields.used).toBe(1)
	})

	it("forgets idle Members, and knows no more than it may", () => {
		const part = createPart()
		for (let n = 0; n < 10_000; n += 1) take(part, n, {member: `m${n}`})
		expect(part.memberCount).toBe(10_000)
		for (let n = 0; n < 20_000; n += 1) take(part, 60_000 + n)
		expect(part.memberCount).toBe(1)
		expect(part.takenCount).toBeLessThan(20_000)
		const bounded = createPart(false, 100)
		for (let n = 0; n < 10_000; n += 1) take(bounded, n, {member: `m${n}`})
		expect(bounded.memberCount).toBeLessThanOrEqual(100)
	})

	it("gives a Member that it forgot early no second burst", () => {
		const part = createPart(false, 2)
		take(part, 0)
		take(part, 1, {member: "a"})
		take(part, 2, {member: "b"})
		expect(take(part, 3).refusal).toBeDefined()
	})

	it("says what was used recently, in percent", () => {
		const part = createPart()
		const {key} = take(part, 10_000)
		part.markSent(key, 0, 10_100)
		expect(take(part, 12_000, {tokens: 0}).usePercent).toBe(38)
	})
})
