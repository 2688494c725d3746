import {create} from "@bufbuild/protobuf"
import {afterEach, beforeEach, describe, expect, it, vi} from "vitest"
import {
	type QuotaAnswer,
	QuotaAskSchema,
	QuotaResult,
	QuotaUseSchema
} from "../../contract/gen/grants_pb.js"
import {MemoryLeases} from "../../../platform/__tests__/engineFixture.js"
import {QuotaDesk} from "../quotaDesk.js"

let leases: MemoryLeases
let desks: QuotaDesk[]
let now: number
let wallNow: number
let events: string[]
let lastOwner = 0
let lastKey = 0

beforeEach(() => {
	vi.useFakeTimers()
	leases = new MemoryLeases()
	desks = []
	now = 10_000
	wallNow = 1_000_000
	events = []
})

afterEach(() => {
	for (const desk of desks) desk.stop()
	vi.useRealTimers()
})

/** An agent's desk, with what it answered. */
class DeskFixture {
	readonly answers: QuotaAnswer[] = []
	readonly desk: QuotaDesk

	constructor(readonly host: string) {
		lastOwner += 1
		this.desk = new QuotaDesk({
			leases,
			owner: `owner-${lastOwner}`,
			host,
			getEngineId: () => host,
			bounds: {windowMs: 8000, overage: 0.1, slack: 17_000},
			reply: (_to, answer) => {
				this.answers.push(answer)
			},
			log: {
				decide: event => {
					events.push(event)
				},
				request: event => {
					events.push(event)
				}
			},
			now: () => now,
			wallNow: () => wallNow,
			random: () => 0
		})
		desks.push(this.desk)
	}

	async ask(tokens = 1000): Promise<QuotaAnswer | undefined> {
		lastKey += 1
		const quota = {version: 1, perSecond: 3000, burst: 3000}
		const key = String(lastKey)
		const message = {key, part: 0, member: "m", tokens, ...quota}
		this.desk.handleAsk("g1", create(QuotaAskSchema, message))
		await advance(0)
		return this.answers.at(-1)
	}

	async askOften(times: number): Promise<number> {
		let taken = 0
		for (let n = 0; n < times; n += 1) {
			const answer = await this.ask()
			if (answer?.result === QuotaResult.TAKEN) taken += 1
		}
		return taken
	}
}

async function advance(ms: number): Promise<void> {
	now += ms
	wallNow += ms
	await vi.advanceTimersByTimeAsync(ms)
}

async function advanceLong(ms: number): Promise<void> {
	for (let left = ms; left > 0; left -= 250) await advance(250)
}

describe("the agent that holds a part of the quotas", () => {
	it("gives what the part holds and refuses the rest with a wait", async () => {
		const agent = new DeskFixture("e1")
		expect(await agent.askOften(8)).toBeLessThan(4)
		const answer = await agent.ask()
		expect(answer?.result).toBe(QuotaResult.OVER)
		expect(answer?.waitMs).toBeGreaterThan(0)
		expect(answer?.usePercent).toBeGreaterThan(0)
		expect(events).toContain("quota.over")
	})

	it("is named by the others, which give nothing", async () => {
		const holder = new DeskFixture("e1")
		const other = new DeskFixture("e2")
		await holder.ask()
		const {NOT_HELD: result} = QuotaResult
		expect(await other.ask()).toMatchObject({result, holderId: "e1"})
	})

	it("gets back what a gateway did not send", async () => {
		const agent = new DeskFixture("e1")
		const taken = await agent.askOften(8)
		const answers = agent.answers.filter(
			({result}) => result === QuotaResult.TAKEN
		)
		const returned = answers.map(({key}) => key)
		agent.desk.handleUse(create(QuotaUseSchema, {returned}))
		expect(await agent.askOften(8)).toBe(taken)
	})

	it("gives nothing 5 s after its last write to a store that is away", async () => {
		const agent = new DeskFixture("e1")
		await agent.ask()
		leases.isAway = true
		await advanceLong(4000)
		expect((await agent.ask())?.result).toBe(QuotaResult.TAKEN)
		await advanceLong(1500)
		expect((await agent.ask())?.result).toBe(QuotaResult.NOT_HELD)
	})

	it("is replaced after 5.5 s, by one that knows nothing of what was given", async () => {
		const lost = new DeskFixture("e1")
		await lost.ask()
		lost.desk.stop()
		const other = new DeskFixture("e2")
		await other.ask()
		await advanceLong(5250)
		expect((await other.ask())?.result).toBe(QuotaResult.NOT_HELD)
		await advance(250)
		expect((await other.ask())?.result).toBe(QuotaResult.OVER)
	})

	it("is replaced at once by a process on its host", async () => {
		const before = new DeskFixture("e1")
		await before.ask()
		before.desk.stop()
		const after = new DeskFixture("e1")
		expect((await after.ask())?.result).toBe(QuotaResult.OVER)
		await advanceLong(6000)
		expect((await after.ask())?.result).toBe(QuotaResult.TAKEN)
	})

	it("gives nothing after its host was suspended and another one took over", async () => {
		const suspended = new DeskFixture("e1")
		await suspended.ask()
		const frozenAt = now
		suspended.desk.stop()
		const other = new DeskFixture("e2")
		await other.ask()
		await advanceLong(6000)
		await other.ask()
		// The monotonic clock of a suspended host stands still.
		now = frozenAt
		expect((await suspended.ask())?.result).toBe(QuotaResult.NOT_HELD)
		expect(events).toContain("clock.stepped")
	})

	it("keeps what it knows when the answer to a renewal is lost", async () => {
		const agent = new DeskFixture("e1")
		await agent.askOften(8)
		leases.losesAnswers = true
		await advanceLong(1750)
		leases.losesAnswers = false
		await advanceLong(1500)
		// A holder that began anew would give nothing for 1.5 s.
		expect((await agent.ask())?.result).toBe(QuotaResult.TAKEN)
	})
})
