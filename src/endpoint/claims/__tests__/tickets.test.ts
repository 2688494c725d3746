import {beforeEach, describe, expect, it} from "vitest"
import {
	FakePlatform,
	OutageType
} from "../../../../bench/claims/fakePlatform.js"
import {VirtualClock} from "../../../../bench/claims/virtualClock.js"
import {
	ClaimRefusal,
	ClaimResultType,
	SendEnd
} from "../../../policy/claimTypes.js"
import {parseTicket} from "../../../policy/tickets.js"
import {
	type ClaimCall,
	type ClaimResult,
	ClaimTask,
	type SendResult
} from "../index.js"

const scope = {member: "hillside-college", route: "book-chamber"}
const ticketLifeMs = 60_000
const retentionMs = 3_600_000

let clock: VirtualClock
let platform: FakePlatform
let sent: number

function makeTask(host: string, incarnation: number): ClaimTask {
	return new ClaimTask({
		platform,
		pool: "orders-desk",
		buckets: 1,
		owner: {hostId: host, address: `127.0.0.1:${host}`, incarnation},
		now: () => clock.now,
		setTimer: clock.setTimer,
		ticketLifeMs,
		retentionMs
	})
}

function makeCall(key: string, overrides: Partial<ClaimCall> = {}): ClaimCall {
	const deadline = clock.now + 5_000
	return {scope, key, bodyHash: "a", deadline, ticket: true, ...overrides}
}

async function send(): Promise<SendResult> {
	sent += 1
	const body = Buffer.from(`booking ${sent}`)
	await clock.sleep(50)
	return {end: SendEnd.Answered, status: 201, contentType: "text/plain", body}
}

async function finish<T>(promise: Promise<T>): Promise<T> {
	await clock.runUntil(clock.now + 6_000)
	return promise
}

function toReason(result: ClaimResult): string {
	return result.type === ClaimResultType.NotRun ? result.reason : result.type
}

beforeEach(() => {
	clock = new VirtualClock()
	platform = new FakePlatform({clock, seed: 1})
	platform.outage = OutageType.Silent
	sent = 0
})

describe("a call with a ticket", () => {
	it("runs once in an outage without a call to the platform", async () => {
		const task = makeTask("1.2", 3)
		const {ticket} = task.mintTicket(scope)
		expect(parseTicket(ticket)).toMatchObject({hostId: "1.2", incarnation: 3})
		const first = task.run(makeCall(ticket), send)
		const joined = task.run(makeCall(ticket), send)
		expect(await finish(first)).toMatchObject({status: 201, replayed: false})
		expect(await joined).toMatchObject({status: 201, replayed: true})
		const again = await finish(task.run(makeCall(ticket), send))
		expect(again).toMatchObject({replayed: true})
		expect(sent).toBe(1)
		expect(platform.reads + platform.writes).toBe(0)
	})

	it("has an unknown outcome on another host or incarnation, which sends nothing", async () => {
		const {ticket} = makeTask("1", 3).mintTicket(scope)
		for (const other of [makeTask("1", 4), makeTask("2", 3)]) {
			const result = await finish(other.run(makeCall(ticket), send))
			expect(result.type).toBe(ClaimResultType.Unknown)
		}
		expect(sent).toBe(0)
	})

	it("is refused for another Member, route or body, or with a forged code", async () => {
		const task = makeTask("1", 3)
		const {ticket} = task.mintTicket(scope)
		const others = [
			makeCall(ticket, {scope: {...scope, member: "lakeside-club"}}),
			makeCall(ticket, {scope: {...scope, route: "cancel-chamber"}}),
			makeCall(`${ticket.slice(0, -4)}AAAA`),
			makeCall("my-own-key")
		]
		for (const call of others) {
			const result = await finish(task.run(call, send))
			expect(toReason(result)).toBe(ClaimRefusal.TicketInvalid)
		}
		await finish(task.run(makeCall(ticket), send))
		const reused = makeCall(ticket, {bodyHash: "b"})
		const result = await finish(task.run(reused, send))
		expect(toReason(result)).toBe(ClaimRefusal.KeyReused)
		expect(sent).toBe(1)
	})

	it("is refused when its ticket expired unused, unknown after the retention", async () => {
		const task = makeTask("1", 3)
		const used = task.mintTicket(scope).ticket
		const unused = task.mintTicket(scope).ticket
		await finish(task.run(makeCall(used), send))
		clock.now += ticketLifeMs
		const late = await finish(task.run(makeCall(unused), send))
		expect(toReason(late)).toBe(ClaimRefusal.TicketExpired)
		const replayed = await finish(task.run(makeCall(used), send))
		expect(replayed).toMatchObject({replayed: true})
		clock.now += retentionMs
		const forgotten = await finish(task.run(makeCall(used), send))
		expect(forgotten.type).toBe(ClaimResultType.Unknown)
		expect(sent).toBe(1)
	})

	it("runs when its ticket is used again after the endpoint did not start it", async () => {
		const task = makeTask("1", 3)
		const {ticket} = task.mintTicket(scope)
		const refusal = {
			end: SendEnd.NotStarted as const,
			detail: "busy",
			retryAfterMs: 10
		}
		const first = await finish(
			task.run(makeCall(ticket), () => Promise.resolve(refusal))
		)
		expect(toReason(first)).toBe(ClaimRefusal.EndpointRefused)
		const again = await finish(task.run(makeCall(ticket), send))
		expect(again).toMatchObject({status: 201, replayed: false})
	})

	it("is unknown if it still runs at its deadline, and replayed later", async () => {
		const task = makeTask("1", 3)
		const {ticket} = task.mintTicket(scope)
		const call = makeCall(ticket, {deadline: clock.now + 20})
		const first = await finish(task.run(call, send))
		expect(first.type).toBe(ClaimResultType.Unknown)
		const again = await finish(task.run(makeCall(ticket), send))
		expect(again).toMatchObject({status: 201, replayed: true})
	})
})
