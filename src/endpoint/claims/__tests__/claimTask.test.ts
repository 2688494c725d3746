import {beforeEach, describe, expect, it} from "vitest"
import {
	FakePlatform,
	OutageType
} from "../../../../bench/claims/fakePlatform.js"
import {VirtualClock} from "../../../../bench/claims/virtualClock.js"
import {Step} from "../../../contract/errors.js"
import {
	ClaimRefusal,
	ClaimResultType,
	SendEnd
} from "../../../policy/claimTypes.js"
import {
	type ClaimCall,
	type ClaimResult,
	ClaimTask,
	type SendResult
} from "../index.js"

const scope = {member: "hillside-college", route: "book-chamber"}

let clock: VirtualClock
let platform: FakePlatform
let sent: string[]

function makeTask(host: string, incarnation = 1): ClaimTask {
	return new ClaimTask({
		platform,
		pool: "orders-desk",
		buckets: 1,
		owner: {hostId: host, address: `127.0.0.1:${host}`, incarnation},
		now: () => clock.now,
		setTimer: clock.setTimer,
		processId: `${host}-${incarnation}`
	})
}

function makeCall(key: string, overrides: Partial<ClaimCall> = {}): ClaimCall {
	return {scope, key, bodyHash: "a", deadline: clock.now + 5_000, ...overrides}
}

function answer(text: string): SendResult {
	const body = Buffer.from(text)
	return {end: SendEnd.Answered, status: 201, contentType: "text/plain", body}
}

async function sendAs(label: string): Promise<SendResult> {
	sent.push(label)
	await clock.sleep(50)
	return answer(label)
}

async function finish<T>(promise: Promise<T>, ms = 10_000): Promise<T> {
	await clock.runUntil(clock.now + ms)
	return promise
}

function toText(result: ClaimResult): string {
	if (result.type !== ClaimResultType.Answered) return result.type
	return Buffer.from(result.body).toString()
}

beforeEach(() => {
	clock = new VirtualClock()
	platform = new FakePlatform({clock, seed: 1})
	sent = []
})

describe("a keyed call", () => {
	it("is sent once, and another process replays its answer", async () => {
		const first = makeTask("1").run(makeCall("k"), () => sendAs("first"))
		expect(toText(await finish(first))).toBe("first")
		const again = makeTask("2").run(makeCall("k"), () => sendAs("again"))
		const result = await finish(again)
		expect(toText(result)).toBe("first")
		expect(result).toMatchObject({replayed: true, status: 201})
		expect(sent).toEqual(["first"])
	})

	it("gets the answer of a running attempt of the same process", async () => {
		const task = makeTask("1")
		const first = task.run(makeCall("k"), () => sendAs("first"))
		const joined = task.run(makeCall("k"), () => sendAs("joined"))
		expect(toText(await finish(first))).toBe("first")
		expect(toText(await joined)).toBe("first")
		expect(sent).toEqual(["first"])
	})

	it("runs once for each Member that uses its key", async () => {
		const task = makeTask("1")
		const other = {member: "lakeside-club", route: scope.route}
		const first = task.run(makeCall("k"), () => sendAs("first"))
		const second = task.run(makeCall("k", {scope: other}), () =>
			sendAs("second")
		)
		expect(toText(await finish(first))).toBe("first")
		expect(toText(await second)).toBe("second")
	})

	it("is refused when its key was used with another body", async () => {
		await finish(makeTask("1").run(makeCall("k"), () => sendAs("first")))
		const call = makeCall("k", {bodyHash: "b"})
		const result = await finish(makeTask("2").run(call, () => sendAs("b")))
		expect(result).toMatchObject({
			type: ClaimResultType.NotRun,
			reason: ClaimRefusal.KeyReused
		})
		expect(sent).toEqual(["first"])
	})

	it("is redirected to the process that runs it", async () => {
		const running = makeTask("1").run(makeCall("k"), () => new Promise(() => 0))
		void running
		await clock.runUntil(clock.now + 100)
		const result = await finish(
			makeTask("2").run(makeCall("k"), () => sendAs("x")),
			1_000
		)
		expect(result).toMatchObject({
			type: ClaimResultType.Redirect,
			address: "127.0.0.1:1",
			incarnation: 1
		})
	})

	it("has an unknown outcome when its owner restarted while it ran", async () => {
		void makeTask("1").run(makeCall("k"), () => new Promise(() => 0))
		await clock.runUntil(clock.now + 100)
		const task = makeTask("1", 2)
		const result = await finish(task.run(makeCall("k"), () => sendAs("x")))
		expect(result).toMatchObject({
			type: ClaimResultType.Unknown,
			step: Step.Claim
		})
		expect(sent).toEqual([])
	})

	it("runs when retried after the endpoint refused to start it", async () => {
		const first = makeTask("1").run(makeCall("k"), () =>
			Promise.resolve({
				end: SendEnd.NotStarted,
				detail: "busy",
				retryAfterMs: 700
			})
		)
		expect(await finish(first)).toMatchObject({
			type: ClaimResultType.NotRun,
			reason: ClaimRefusal.EndpointRefused,
			retryAfterMs: 700
		})
		const again = makeTask("2").run(makeCall("k"), () => sendAs("again"))
		expect(toText(await finish(again))).toBe("again")
	})

	it("is never sent again after an unknown outcome", async () => {
		const first = makeTask("1").run(makeCall("k"), () =>
			Promise.reject(new Error("connection reset"))
		)
		expect((await finish(first)).type).toBe(ClaimResultType.Unknown)
		const again = makeTask("2").run(makeCall("k"), () => sendAs("again"))
		expect((await finish(again)).type).toBe(ClaimResultType.Unknown)
		expect(sent).toEqual([])
	})
})

describe("flush", () => {
	it("resolves to true once outcomes are recorded, to false at its deadline", async () => {
		const task = makeTask("1")
		const first = task.run(makeCall("k"), () => sendAs("k"))
		await finish(first, 200)
		expect(await finish(task.flush())).toBe(true)
		const second = task.run(makeCall("k2"), async () => {
			platform.outage = OutageType.Silent
			return sendAs("k2")
		})
		await finish(second, 500)
		expect(await finish(task.flush(clock.now + 3_000))).toBe(false)
	})
})

describe("in an outage of the platform", () => {
	it("refuses a new key, answers unknown if it may have been sent", async () => {
		const task = makeTask("1")
		task.prefetchLogs([0])
		await clock.runUntil(clock.now + 100)
		platform.outage = OutageType.Refusing
		const fresh = task.run(makeCall("k"), () => sendAs("k"))
		const result = await finish(fresh, 200)
		expect(result).toMatchObject({
			type: ClaimResultType.NotRun,
			reason: ClaimRefusal.PlatformUnavailable
		})
		const call = makeCall("k2", {mayHaveBeenSent: true})
		const doubtful = await finish(
			task.run(call, () => sendAs("k2")),
			200
		)
		expect(doubtful.type).toBe(ClaimResultType.Unknown)
		expect(sent).toEqual([])
	})

	it("answers unknown when the log was never read", async () => {
		platform.outage = OutageType.Refusing
		const run = makeTask("1").run(makeCall("k"), () => sendAs("k"))
		expect((await finish(run, 200)).type).toBe(ClaimResultType.Unknown)
		expect(sent).toEqual([])
	})

	it("answers unknown after a pause until the log is read again", async () => {
		const task = makeTask("1")
		task.prefetchLogs([0])
		await clock.runUntil(clock.now + 100)
		clock.now += 60_000
		platform.outage = OutageType.Refusing
		const late = task.run(makeCall("k"), () => sendAs("k"))
		expect((await finish(late, 500)).type).toBe(ClaimResultType.Unknown)
		platform.outage = undefined
		const later = task.run(makeCall("k"), () => sendAs("k"))
		expect(toText(await finish(later))).toBe("k")
		platform.outage = OutageType.Refusing
		const fresh = task.run(makeCall("k2"), () => sendAs("k2"))
		expect((await finish(fresh, 500)).type).toBe(ClaimResultType.NotRun)
		task.stop()
	})

	it("replays answers from memory, and records them afterwards", async () => {
		const task = makeTask("1")
		const first = task.run(makeCall("k"), async () => {
			platform.outage = OutageType.Silent
			return sendAs("first")
		})
		expect(toText(await finish(first, 3_000))).toBe("first")
		const again = task.run(makeCall("k"), () => sendAs("again"))
		expect(toText(await finish(again, 100))).toBe("first")
		platform.outage = undefined
		await clock.runUntil(clock.now + 5_000)
		const other = makeTask("2").run(makeCall("k"), () => sendAs("other"))
		expect(toText(await finish(other))).toBe("first")
	})
})
