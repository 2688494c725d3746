import {create} from "@bufbuild/protobuf"
import {afterEach, beforeEach, describe, expect, it, vi} from "vitest"
import {type Member, QuotaUnit} from "../../../contract/fleet.js"
import {
	type QuotaAnswer,
	QuotaAnswerSchema,
	type QuotaAsk,
	QuotaResult,
	type QuotaUse
} from "../../../contract/gen/grants_pb.js"
import {Quotas, QuotaTicket} from "../index.js"

const quota = {
	unit: QuotaUnit.Tokens,
	perSecond: 3000,
	burst: 3000,
	plainTokens: 700
}
const member: Member = {name: "m", keys: [], priority: undefined, quota}
const agentIds = ["i-1", "i-2", "i-3"]

let now: number
let wallNow: number
let asks: {agentId: string; ask: QuotaAsk}[]
let uses: QuotaUse[]
let results: string[]
let quotas: Quotas

beforeEach(() => {
	vi.useFakeTimers()
	now = 1000
	wallNow = 1_000_000
	asks = []
	uses = []
	results = []
	quotas = createQuotas()
})

afterEach(() => {
	quotas.close()
	vi.useRealTimers()
})

function createQuotas(): Quotas {
	const createLink = (agentId: string): never =>
		({
			askQuota: (ask: QuotaAsk) => asks.push({agentId, ask}),
			reportQuotaUse: (use: QuotaUse) => uses.push(use)
		}) as never
	const links = {
		get: createLink,
		isLinked: () => true,
		rankLinked: () => agentIds
	}
	return new Quotas({
		links,
		fleet: {getEndpoint: () => undefined, config: undefined},
		log: {request: () => undefined},
		metrics: {countQuota: () => undefined},
		now: () => now,
		wallNow: () => wallNow,
		random: () => 0.5
	})
}

function startTicket(): QuotaTicket {
	const ticket = new QuotaTicket({
		quotas,
		query: {
			requestId: "r1",
			member,
			quota,
			version: 1,
			statedTokens: undefined,
			deadline: now + 10_000
		},
		onTaken: () => results.push("taken"),
		onOver: retryAfterMs => results.push(`over ${retryAfterMs}`),
		onUnavailable: () => results.push("unavailable")
	})
	ticket.start()
	return ticket
}

async function advance(ms: number): Promise<void> {
	now += ms
	wallNow += ms
	await vi.advanceTimersByTimeAsync(ms)
}

function answerLast(value: Partial<QuotaAnswer>): void {
	const last = asks.at(-1)
	if (last === undefined) throw new Error("nothing was asked")
	const {key} = last.ask
	const answer = create(QuotaAnswerSchema, {})
	Object.assign(answer, value, {key})
	quotas.applyAnswer(last.agentId, answer)
}

const taken = {result: QuotaResult.TAKEN, validMs: 1500}
const over = {result: QuotaResult.OVER, retryAfterMs: 900, waitMs: 900}

function listReturned(): string[] {
	return uses.flatMap(({returned}) => returned)
}

describe("a request's share of a quota", () => {
	it("counts as sent once, and isn't returned after that", async () => {
		const ticket = startTicket()
		answerLast(taken)
		expect(results).toEqual(["taken"])
		expect([ticket.trySend(), ticket.trySend()]).toEqual([true, true])
		ticket.end()
		await advance(30)
		expect(uses.flatMap(({sent}) => sent)).toHaveLength(1)
		expect(listReturned()).toEqual([])
	})

	it("states plain tokens where the request states none", () => {
		startTicket()
		expect(asks[0]?.ask.tokens).toBe(700)
	})

	it("is returned when the request ends unsent, also while it is asked for", async () => {
		const ticket = startTicket()
		answerLast(taken)
		ticket.end()
		const leaver = startTicket()
		leaver.end()
		answerLast(taken)
		await advance(30)
		expect(listReturned()).toEqual(asks.map(({ask}) => ask.key))
		expect(leaver.trySend()).toBe(false)
		expect(results).toEqual(["taken"])
	})

	it("is refused by three parts, the last of which gives the turn", () => {
		startTicket()
		answerLast(over)
		answerLast({...over, retryAfterMs: 500})
		expect(asks[2]?.ask).toMatchObject({isLast: true, otherWaitMs: 500})
		answerLast({...over, retryAfterMs: 1700})
		expect(results).toEqual(["over 1700"])
		expect(new Set(asks.map(({ask}) => ask.part)).size).toBe(3)
	})

	it("costs one message for a Member that all parts refused just before", async () => {
		startTicket()
		for (let n = 0; n < 3; n += 1) answerLast(over)
		startTicket()
		answerLast(over)
		expect(asks).toHaveLength(4)
		expect(results).toHaveLength(2)
		await advance(300)
		startTicket()
		for (let n = 0; n < 3; n += 1) answerLast(over)
		expect(asks).toHaveLength(7)
	})

	it("is unavailable where agents don't answer, after 150 ms for each part", async () => {
		startTicket()
		await advance(150)
		await advance(150)
		expect(results).toEqual([])
		await advance(150)
		expect(results).toEqual(["unavailable"])
	})

	it("is not refused by one part alone, as others may have enough", async () => {
		startTicket()
		answerLast(over)
		await advance(150)
		await advance(150)
		expect(results).toEqual(["unavailable"])
	})

	it("is renewed while the request waits", async () => {
		const ticket = startTicket()
		answerLast(taken)
		for (let n = 0; n < 4; n += 1) {
			await advance(1000)
			expect(asks.at(-1)?.ask.isRenewal).toBe(true)
			answerLast(taken)
		}
		expect(new Set(asks.map(({ask}) => ask.key)).size).toBe(1)
		expect(ticket.trySend()).toBe(true)
	})

	it("isn't refused any more once the request was sent during a renewal", async () => {
		const ticket = startTicket()
		answerLast(taken)
		await advance(1000)
		expect(asks.at(-1)?.ask.isRenewal).toBe(true)
		expect(ticket.trySend()).toBe(true)
		for (let n = 0; n < 3; n += 1) answerLast(over)
		await advance(2000)
		expect(results).toEqual(["taken"])
		expect(asks).toHaveLength(2)
	})

	it("isn't renewed again once the request was sent during a renewal", async () => {
		const ticket = startTicket()
		answerLast(taken)
		await advance(1000)
		expect(ticket.trySend()).toBe(true)
		answerLast(taken)
		await advance(2000)
		expect(results).toEqual(["taken"])
		expect(asks).toHaveLength(2)
		// The holder hears of the send before what the renewal took is returned.
		const [first] = uses
		expect(first?.sent.map(({key}) => key)).toEqual([asks[0]?.ask.key])
		expect(listReturned()).toEqual([asks[0]?.ask.key])
		expect(uses.flatMap(({sent}) => sent)).toHaveLength(1)
	})

	it("is taken from another part when its holder no longer answers", async () => {
		const ticket = startTicket()
		answerLast(taken)
		await advance(1000)
		await advance(150)
		expect(ticket.trySend()).toBe(false)
		expect(asks.at(-1)?.ask.isRenewal).toBe(false)
		answerLast(taken)
		expect(ticket.trySend()).toBe(true)
		expect(results).toEqual(["taken"])
	})

	it("is not used after this process was suspended or paused", () => {
		const suspended = startTicket()
		answerLast(taken)
		wallNow += 600_000
		expect(suspended.trySend()).toBe(false)
		const paused = startTicket()
		answerLast(taken)
		now += 2000
		wallNow += 2000
		expect(paused.trySend()).toBe(false)
	})

	it("is asked for at an agent again once it answers, however late", async () => {
		startTicket()
		const [first] = asks
		if (first === undefined) throw new Error("nothing was asked")
		await advance(500)
		expect(results).toEqual(["unavailable"])
		const {agentId, ask} = first
		const late = create(QuotaAnswerSchema, {key: ask.key, ...over})
		quotas.applyAnswer(agentId, late)
		asks = []
		startTicket()
		expect(asks.map(each => each.agentId)).toEqual([agentId])
	})

	it("that is answered after a suspension is returned", async () => {
		startTicket()
		wallNow += 600_000
		answerLast(taken)
		await advance(30)
		expect(results).toEqual([])
		expect(listReturned()).toEqual([asks[0]?.ask.key])
	})
})
