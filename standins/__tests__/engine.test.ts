import {request} from "undici"
import {afterEach, beforeEach, expect, test} from "vitest"
import {
	type EngineOptions,
	type EngineStandin,
	expectedText,
	startEngine,
	startWeightStore,
	type WeightStoreStandin
} from "../index.js"
import {joinText, send, StreamReader} from "./client.js"

let store: WeightStoreStandin
let engine: EngineStandin

beforeEach(async () => {
	store = await startWeightStore({loadMs: 1, loadsPerSecond: 1000})
	engine = await start({})
})

afterEach(async () => {
	await engine.close()
	await store.close()
})

function start(options: Partial<EngineOptions>): Promise<EngineStandin> {
	return startEngine({weightStoreUrl: store.url, msPerToken: 1, ...options})
}

async function restartEngine(options: Partial<EngineOptions>): Promise<void> {
	await engine.close()
	engine = await start(options)
}

async function load(name: string, fencingToken = 1): Promise<number> {
	const body = {lora_name: name, lora_path: `/${name}`}
	const headers = {"x-fencing-number": String(fencingToken)}
	const url = `${engine.url}/v1/load_lora_adapter`
	return (await send("POST", url, body, headers)).status
}

async function unload(name: string, fencingToken = 1): Promise<number> {
	const headers = {"x-fencing-number": String(fencingToken)}
	const url = `${engine.url}/v1/unload_lora_adapter`
	return (await send("POST", url, {lora_name: name}, headers)).status
}

async function complete(
	id: string,
	options: object = {}
): Promise<StreamReader> {
	const body = JSON.stringify({
		model: "a",
		prompt: `prompt of ${id}`,
		max_tokens: 20,
		stream: true,
		request_id: id,
		...options
	})
	const url = `${engine.url}/v1/completions`
	const res = await request(url, {method: "POST", body})
	expect(res.statusCode).toBe(200)
	return new StreamReader(res.body)
}

async function resume(id: string, offset: number): Promise<StreamReader> {
	const res = await request(`${engine.url}/v1/streams/${id}?offset=${offset}`)
	expect(res.statusCode).toBe(200)
	return new StreamReader(res.body)
}

async function readResumeStatus(id: string): Promise<number> {
	return (await send("GET", `${engine.url}/v1/streams/${id}`)).status
}

test("streams the expected text and its token usage", async () => {
	await load("a")
	const reader = await complete("r1")
	const events = await reader.readAll()
	expect(reader.isDone).toBe(true)
	expect(joinText(events)).toBe(expectedText("/a", "prompt of r1", 20))
	expect(events.every(({model}) => model === "a")).toBe(true)
	const last = events.at(-1)
	expect(last?.choices[0]?.finish_reason).toBe("length")
	expect(last?.usage?.completion_tokens).toBe(20)
	expect(engine.truth()).toMatchObject({
		answers: [{requestId: "r1", model: "a", loraPath: "/a", tokens: 20}],
		tokenSum: 20,
		steps: 20
	})
})

test("finishes with reason stop when the answer is shorter than max_tokens", async () => {
	await load("a")
	const reader = await complete("r1", {max_tokens: 100_000})
	const events = await reader.readAll()
	expect(events.at(-1)?.choices[0]?.finish_reason).toBe("stop")
	expect(joinText(events)).toBe(expectedText("/a", "prompt of r1", 100_000))
})

test("generates text that depends only on adapter version and prompt", () => {
	const text = expectedText("/a@1", "p", 30)
	expect(expectedText("/a@1", "p", 30)).toBe(text)
	expect(expectedText("/a@2", "p", 30)).not.toBe(text)
	expect(expectedText("/a@1", "q", 30)).not.toBe(text)
	expect(text.startsWith(expectedText("/a@1", "p", 10))).toBe(true)
})

test("rejects a load when all adapter slots are taken", async () => {
	await restartEngine({slots: 1})
	expect(await load("a")).toBe(200)
	expect(await load("a")).toBe(200)
	expect(await load("b")).toBe(400)
	expect(await unload("a")).toBe(200)
	expect(await unload("a")).toBe(404)
	expect(await load("b")).toBe(200)
	expect(engine.truth()).toMatchObject({loads: 2})
})

test("shares one weight store load between concurrent loads of an adapter", async () => {
	expect(await Promise.all([load("a"), load("a")])).toEqual([200, 200])
	expect(store.truth()).toMatchObject({loads: 1})
})

test("frees the slot and keeps no adapter after a failed load", async () => {
	await restartEngine({slots: 1})
	store.setFaults({failNext: 1})
	expect(await load("a")).toBe(502)
	engine.setFaults({failLoads: 1})
	expect(await load("a")).toBe(502)
	expect(await load("a")).toBe(200)
})

test("rejects stale fencing tokens when orders are checked", async () => {
	await restartEngine({checksOrders: true})
	expect(await load("a", 5)).toBe(200)
	expect(await load("b", 4)).toBe(409)
	expect(await unload("a", 4)).toBe(409)
	expect(await load("b", 5)).toBe(200)
	expect(engine.truth()).toMatchObject({
		staleOrdersRefused: 2,
		staleOrdersAccepted: 0
	})
})

test("counts stale fencing tokens when orders are not checked", async () => {
	await load("a", 5)
	expect(await unload("a", 4)).toBe(200)
	expect(engine.truth()).toMatchObject({staleOrdersAccepted: 1})
	engine.setFaults({refuseOrders: true})
	expect(await load("a", 6)).toBe(503)
})

test("aborts the sequences of an adapter that is unloaded", async () => {
	await load("a")
	const reader = await complete("r1", {max_tokens: 250})
	await reader.waitForFirstBytes()
	const cut = reader.readUntilCut()
	expect(await unload("a")).toBe(200)
	await cut
	expect(reader.isDone).toBe(false)
	expect(engine.truth()).toMatchObject({evictedInUse: 1, answers: []})
	expect(await readResumeStatus("r1")).toBe(404)
})

test("runs waiting sequences by priority, then by arrival", async () => {
	await restartEngine({seats: 1})
	await load("a")
	engine.setFaults({msPerToken: 1000})
	const readers = [await complete("first", {priority: 9})]
	for (const [id, priority] of [
		["late", 2],
		["early", 1],
		["last", 2]
	]) {
		readers.push(await complete(String(id), {priority}))
	}
	engine.setFaults({msPerToken: 1})
	await Promise.all(readers.map(reader => reader.readAll()))
	const order = engine.truth().answers.map(({requestId}) => requestId)
	expect(order).toEqual(["first", "early", "late", "last"])
	expect(engine.truth().batchEfficiency).toBe(1)
})

test("rejects a completion when seats and queue are full", async () => {
	await restartEngine({seats: 1, maxWaiting: 0, msPerToken: 1000})
	await load("a")
	await complete("r1")
	const body = {model: "a", prompt: "p", max_tokens: 1, stream: true}
	const url = `${engine.url}/v1/completions`
	expect((await send("POST", url, body)).status).toBe(429)
	const other = {...body, model: "b"}
	expect((await send("POST", url, other)).status).toBe(404)
	const malformed = {...body, stream: false}
	expect((await send("POST", url, malformed)).status).toBe(400)
})

test("resumes a running stream at a character offset", async () => {
	await load("a")
	const reader = await complete("r1", {max_tokens: 250})
	await reader.waitForFirstBytes()
	reader.disconnect()
	const events = await (await resume("r1", 7)).readAll()
	const text = expectedText("/a", "prompt of r1", 250)
	expect(joinText(events)).toBe(text.slice(7))
	expect(events[0]?.offset).toBe(7)
	expect(engine.truth().runsById).toEqual({r1: 1})
})

test("sends a finished stream again from an offset", async () => {
	await load("a")
	await (await complete("r1")).readAll()
	const reader = await resume("r1", 3)
	const events = await reader.readAll()
	expect(reader.isDone).toBe(true)
	const text = expectedText("/a", "prompt of r1", 20)
	expect(joinText(events)).toBe(text.slice(3))
	expect(await readResumeStatus("r2")).toBe(404)
})

test("aborts the sequence of a cancelled stream", async () => {
	await load("a")
	const reader = await complete("r1", {max_tokens: 250})
	await reader.waitForFirstBytes()
	const cut = reader.readUntilCut()
	const {status} = await send("DELETE", `${engine.url}/v1/streams/r1`)
	expect(status).toBe(200)
	await cut
	expect(await readResumeStatus("r1")).toBe(404)
	expect(engine.truth().answers).toEqual([])
})

test("loses adapters, streams and fencing token and changes the incarnation in a cold restart", async () => {
	await load("a", 7)
	const before = (await send("GET", `${engine.url}/v1/load`)).body
	expect(before).toMatchObject({resident: ["a"], highestFence: 7})
	const reader = await complete("r1", {max_tokens: 250})
	await reader.waitForFirstBytes()
	const cut = reader.readUntilCut()
	await send("POST", `${engine.url}/control/faults`, {coldRestart: true})
	await cut
	const after = (await send("GET", `${engine.url}/v1/load`)).body
	expect(after).toMatchObject({resident: [], highestFence: 0})
	expect(after).not.toHaveProperty(
		"incarnation",
		(before as {incarnation: string}).incarnation
	)
	expect(await readResumeStatus("r1")).toBe(404)
	expect(engine.truth().coldRestarts).toBe(1)
})

test("reports running and waiting counts with the configured lag", async () => {
	await restartEngine({msPerToken: 1000, loadLagMs: 600_000})
	await load("a")
	await complete("r1")
	const lagging = (await send("GET", `${engine.url}/v1/load`)).body
	expect(lagging).toMatchObject({running: 0, resident: ["a"]})
	engine.setFaults({loadLagMs: 0})
	const current = (await send("GET", `${engine.url}/v1/load`)).body
	expect(current).toMatchObject({running: 1, waiting: 0, seats: 8, slots: 8})
})

test("cuts only the next stream, which can't be resumed", async () => {
	await load("a")
	engine.setFaults({cutStreamsAfter: 3})
	const reader = await complete("r1")
	const events = await reader.readUntilCut()
	expect(events).toHaveLength(3)
	expect(await readResumeStatus("r1")).toBe(404)
	const completed = await complete("r2")
	await completed.readAll()
	expect(completed.isDone).toBe(true)
})

test("skips the offsets of a dropped event", async () => {
	await load("a")
	engine.setFaults({dropEvent: true})
	const events = await (await complete("r1")).readAll()
	expect(events).toHaveLength(20)
	const text = expectedText("/a", "prompt of r1", 20)
	expect(joinText(events)).not.toBe(text)
	expect(events.at(-1)?.offset).toBe(text.length)
})

test("names another model in the events under the wrongEcho fault", async () => {
	await load("a")
	engine.setFaults({wrongEcho: true})
	const events = await (await complete("r1")).readAll()
	expect(events.every(({model}) => model !== "a")).toBe(true)
})

test("generates no tokens during a hang and continues after it", async () => {
	await load("a")
	engine.setFaults({msPerToken: 1000})
	const reader = await complete("r1")
	engine.setFaults({hang: true, msPerToken: 1})
	expect(engine.truth().tokenSum).toBe(0)
	engine.setFaults({hang: false})
	await reader.readAll()
	expect(reader.isDone).toBe(true)
})
