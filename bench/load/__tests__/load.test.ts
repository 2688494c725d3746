import {Agent} from "undici"
import {afterEach, describe, expect, it} from "vitest"
import {expectedText} from "../../../standins/index.js"
import {findAddress} from "../../deployment/index.js"
import {deploymentSpecs} from "../../deployment/index.js"
import {computeBound} from "../bound.js"
import {Caller, CallEnd, type CallResult} from "../caller.js"
import {
	CallType,
	type LoadOptions,
	planCalls,
	type PlannedCall
} from "../plan.js"
import {Random, Zipf} from "../random.js"
import {runLoad} from "../runLoad.js"
import {
	type FakeEntry,
	type FakeHandler,
	sendEvent,
	sendJson,
	sendText,
	startFakeEntry
} from "./fakeEntry.js"

const models = Array.from({length: 50}, (_, index) => ({
	model: `loom-7b:m-${index}@v1`,
	source: `weights/m-${index}/v1`
}))
const draft = {
	type: CallType.Draft,
	route: "drafts",
	share: 3,
	windowMs: 5000,
	path: ""
}
const booking = {
	type: CallType.Submission,
	route: "bookings",
	share: 1,
	windowMs: 5000,
	path: "/bookings"
}
const status = {
	type: CallType.Status,
	route: "order-status",
	share: 1,
	windowMs: 5000,
	path: "/orders/:id"
}
const options: LoadOptions = {
	seed: 7,
	seconds: 100,
	ratePerSecond: 20,
	kinds: [draft, booking, status],
	models,
	members: 10,
	zipfExponent: 1
}

let entry: FakeEntry | undefined

afterEach(async () => {
	await entry?.close()
	entry = undefined
})

describe("planCalls", () => {
	it("plans the same calls for the same seed", () => {
		expect(planCalls(options)).toEqual(planCalls(options))
		expect(planCalls({...options, seed: 8})).not.toEqual(planCalls(options))
	})

	it("keeps to the rate, the mix and Zipf's law", () => {
		const calls = planCalls(options)
		expect(Math.abs(calls.length - 2000)).toBeLessThan(150)
		const drafts = calls.filter(call => call.kind === draft).length
		expect(drafts / calls.length).toBeCloseTo(0.6, 1)
		const top = calls.filter(call => call.model === models[0]).length
		const zipf = new Zipf(50, 1)
		expect(top / calls.length).toBeCloseTo(zipf.probabilityOf(0), 1)
		expect(zipf.shareOfTop(50)).toBe(1)
	})

	it("changes rate and popularity at its steps", () => {
		const steps = [{atShare: 0.5, rateFactor: 3, shiftBy: 20}]
		const calls = planCalls({...options, steps})
		const isLate = ({atMs}: PlannedCall): boolean => atMs >= 50_000
		const late = calls.filter(isLate)
		const early = calls.filter(call => !isLate(call))
		expect(late.length / early.length).toBeCloseTo(3, 0)
		const count = (all: PlannedCall[], index: number): number =>
			all.filter(call => call.model === models[index]).length
		expect(count(late, 20)).toBeGreaterThan(count(late, 0))
		expect(count(early, 0)).toBeGreaterThan(count(early, 20))
	})

	it("draws from the whole range", () => {
		const random = new Random(1)
		const zipf = new Zipf(3, 0)
		const drawn = new Set(Array.from({length: 100}, () => zipf.draw(random)))
		expect([...drawn].sort()).toEqual([0, 1, 2])
	})
})

describe("Caller", () => {
	const [planned] = planCalls({...options, kinds: [draft]})
	const [submitted] = planCalls({...options, kinds: [booking]})

	async function send(
		handler: FakeHandler,
		call = planned,
		before: string[] = []
	): Promise<CallResult> {
		if (call === undefined) throw new Error("no call was planned")
		entry = await startFakeEntry(handler)
		const agent = new Agent()
		const entryUrls = [...before, entry.url]
		const result = await new Caller({agent, entryUrls}).send(call)
		await agent.destroy()
		return result
	}

	const text = expectedText(
		planned?.model.source ?? "",
		planned?.prompt ?? "",
		planned?.maxTokens ?? 0
	)

	it("takes a whole and verified stream as answered", async () => {
		const result = await send(({res}) => {
			sendEvent(res, {goldcrestloom: {load_stall_ms: 12}})
			sendText(res, text.slice(0, 30))
			sendText(res, text.slice(30))
			res.end("data: [DONE]\n\n")
		})
		expect(result).toMatchObject({end: CallEnd.Answered, loadStallMs: 12})
		expect(entry?.requests[0]?.headers["x-route"]).toBe("drafts")
	})

	it("takes a stream without its terminal event as cut", async () => {
		const result = await send(({res}) => {
			sendText(res, text)
			res.end()
		})
		expect(result.end).toBe(CallEnd.Cut)
		await entry?.close()
		const broken = await send(({res}) => {
			sendText(res, text)
			setImmediate(() => res.destroy())
		})
		expect(broken.end).toBe(CallEnd.Cut)
	})

	it("finds a text of another adapter, and one that is short", async () => {
		const wrong = expectedText("weights/other/v1", planned?.prompt ?? "", 10)
		for (const sent of [wrong, text.slice(0, -1)]) {
			const result = await send(({res}) => {
				sendText(res, sent)
				res.end("data: [DONE]\n\n")
			})
			expect(result.end).toBe(CallEnd.Wrong)
			await entry?.close()
			entry = undefined
		}
	})

	it("tells not run from unknown, with the reason", async () => {
		const error = {outcome: "not_run", reason: "overloaded"}
		const refused = await send(({res}) => {
			sendJson(res, 503, {error})
		})
		expect(refused).toMatchObject({end: CallEnd.NotRun, reason: "overloaded"})
		await entry?.close()
		const failed = await send(({res}) => {
			sendEvent(res, {error: {outcome: "unknown", reason: "lost"}})
			res.end()
		})
		expect(failed).toMatchObject({end: CallEnd.Unknown, reason: "stream: lost"})
	})

	it("repeats a keyed call of unknown end with the same key", async () => {
		let calls = 0
		const result = await send(({res, body}) => {
			calls += 1
			if (calls === 1) sendJson(res, 504, {error: {outcome: "unknown"}})
			else sendJson(res, 200, JSON.parse(body) as object)
		}, submitted)
		expect(result).toMatchObject({end: CallEnd.Answered, sends: 2})
		const keys = entry?.requests.map(req => req.headers["idempotency-key"])
		expect(new Set(keys).size).toBe(1)
	})

	it("does not repeat a keyed call that was not run", async () => {
		const result = await send(({res}) => {
			sendJson(res, 503, {})
		}, submitted)
		expect(result).toMatchObject({end: CallEnd.NotRun, sends: 1})
	})

	it("passes over an entry that accepts no connection", async () => {
		const closed = `http://${await findAddress()}`
		const result = await send(
			({res, body}) => {
				sendJson(res, 200, JSON.parse(body) as object)
			},
			submitted,
			[closed]
		)
		expect(result).toMatchObject({end: CallEnd.Answered, sends: 1})
	})
})

describe("Caller with a balancer", () => {
	it("prefers entries that are ready", async () => {
		const echo: FakeHandler = ({res, body}) => {
			sendJson(res, 200, JSON.parse(body) as object)
		}
		const [call] = planCalls({...options, kinds: [booking]})
		if (call === undefined) throw new Error("no call was planned")
		const unready = await startFakeEntry(echo)
		entry = await startFakeEntry(echo)
		const agent = new Agent()
		const caller = new Caller({
			agent,
			entryUrls: [unready.url, entry.url],
			isReady: url => url !== unready.url
		})
		for (let i = 0; i < 4; i++) await caller.send(call)
		await agent.destroy()
		await unready.close()
		expect(unready.requests).toHaveLength(0)
		expect(entry.requests).toHaveLength(4)
	})
})

describe("runLoad", () => {
	it("counts by route and Member, without the warm-up", async () => {
		entry = await startFakeEntry(({req, res, body}) => {
			if (req.url === "/readyz") {
				sendJson(res, 200, {})
				return
			}
			const id = req.url?.split("/").at(-1) ?? ""
			if (req.method === "GET") sendJson(res, 200, {id})
			else if (req.url === "/v1/completions") sendJson(res, 429, {})
			else sendJson(res, 200, JSON.parse(body) as object)
		})
		const calls = planCalls({...options, seconds: 1, ratePerSecond: 100})
		const warmupMs = 300
		const {summary, seconds} = await runLoad({
			entryUrls: [entry.url],
			calls,
			warmupMs
		})
		const counted = calls.filter(call => call.atMs >= warmupMs)
		const drafts = counted.filter(call => call.kind === draft)
		expect(summary.calls).toBe(counted.length)
		expect(summary.ends.notRun).toBe(drafts.length)
		expect(summary.ends.answered).toBe(counted.length - drafts.length)
		const drafted = summary.routes.find(one => one.route === "drafts")
		expect(drafted?.calls).toBe(drafts.length)
		expect(summary.members.length).toBeGreaterThan(0)
		expect(seconds[0]?.calls).toBe(calls.length)
	})
})

describe("computeBound", () => {
	it("follows the harmonic sums", () => {
		const bound = computeBound({
			spec: deploymentSpecs.society,
			zipfExponent: 1,
			tokens: 60,
			groupingMs: 30_000
		})
		expect(bound.ungrouped).toBeCloseTo(12.9, 0)
		expect(bound.grouped).toBeGreaterThan(bound.ungrouped)
		expect(bound.seats).toBeGreaterThan(200)
	})
})
