import {create} from "@bufbuild/protobuf"
import {afterEach, beforeEach, describe, expect, it, vi} from "vitest"
import {
	type PermitAnswer,
	PermitAskSchema
} from "../../contract/gen/grants_pb.js"
import {StatedLimits} from "../../policy/limits/index.js"
import {MemoryLeases} from "../../../platform/__tests__/engineFixture.js"
import {PermitDesk} from "../permitDesk.js"

let leases: MemoryLeases
let desks: PermitDesk[]
let now: number
let wallNow: number
let events: string[]

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
	readonly answers: PermitAnswer[] = []
	readonly desk: PermitDesk

	constructor(readonly engineId: string) {
		this.desk = new PermitDesk({
			leases,
			owner: `owner of ${engineId}`,
			getEngineId: () => engineId,
			limits: new StatedLimits(),
			reply: (_to, answer) => {
				this.answers.push(answer)
			},
			log: {
				decide: event => {
					events.push(event)
				}
			},
			now: () => now,
			wallNow: () => wallNow,
			random: () => 0
		})
		desks.push(this.desk)
	}

	async ask(perSecond = 2): Promise<PermitAnswer | undefined> {
		const limit = {endpointId: "p-1", bornAt: 1, perSecond, ageMs: 0}
		const key = String(this.answers.length)
		const ask = {key, pool: "desk", limits: [limit], deadlineLeftMs: 1500}
		this.desk.handleAsk("g1", create(PermitAskSchema, ask))
		await advance(0)
		return this.answers.at(-1)
	}
}

async function advance(ms: number): Promise<void> {
	now += ms
	wallNow += ms
	await vi.advanceTimersByTimeAsync(ms)
}

describe("the agent that holds the lease of a pool", () => {
	it("gives permits by the limit, and refuses others with turns to return", async () => {
		const agent = new DeskFixture("e1")
		await agent.ask()
		await advance(500)
		expect((await agent.ask())?.endpointId).toBe("p-1")
		const refused = [await agent.ask(), await agent.ask()]
		expect(refused.map(answer => answer?.endpointId)).toEqual(["", ""])
		const [first = 0, second = 0] = refused.map(
			answer => answer?.retryAfterMs ?? 0
		)
		expect(second - first).toBe(500)
	})

	it("is named by the others, which give none", async () => {
		const holder = new DeskFixture("e1")
		const other = new DeskFixture("e2")
		await holder.ask()
		await advance(1000)
		expect(await other.ask()).toMatchObject({endpointId: "", holderId: "e1"})
		expect((await holder.ask())?.endpointId).toBe("p-1")
	})

	it("gives none while it can't renew the lease", async () => {
		const agent = new DeskFixture("e1")
		await agent.ask()
		leases.isAway = true
		for (let n = 0; n < 5; n += 1) await advance(500)
		const answer = await agent.ask()
		expect(answer).toMatchObject({endpointId: "", holderId: ""})
		expect(answer?.retryAfterMs).toBeGreaterThan(0)
		leases.isAway = false
		await advance(1000)
		await agent.ask()
		await advance(500)
		expect((await agent.ask())?.endpointId).toBe("p-1")
	})

	it("gives none after its host was suspended and another one took over", async () => {
		const suspended = new DeskFixture("e1")
		await suspended.ask()
		await advance(1000)
		expect((await suspended.ask())?.endpointId).toBe("p-1")
		// The monotonic clock of a suspended host stands still.
		const frozenAt = now
		const other = new DeskFixture("e2")
		await other.ask()
		suspended.desk.stop()
		await advance(3000)
		await other.ask()
		await advance(600)
		expect((await other.ask())?.endpointId).toBe("p-1")
		now = frozenAt
		const answer = await suspended.ask()
		expect(answer?.endpointId).toBe("")
		expect(events).toContain("clock.stepped")
	})

	it("releases it when nobody asks any more, so that another one begins at once", async () => {
		const first = new DeskFixture("e1")
		await first.ask()
		for (let n = 0; n < 30; n += 1) await advance(500)
		expect(events).toContain("permits.released")
		const second = new DeskFixture("e2")
		await second.ask()
		await advance(500)
		expect((await second.ask())?.endpointId).toBe("p-1")
	})
})
