import {request} from "undici"
import {afterEach, beforeEach, expect, test, vi} from "vitest"
import {startWeightStore, type WeightStoreStandin} from "../index.js"
import {computeSlowdown} from "../weightStore.js"
import {send} from "./client.js"

let store: WeightStoreStandin

beforeEach(async () => {
	store = await startWeightStore({loadMs: 1, loadsPerSecond: 500})
})

afterEach(() => store.close())

async function load(source: string): Promise<number> {
	return (await send("GET", `${store.url}/v1/weights?source=${source}`)).status
}

function countArrivedLoads(): number {
	const {loads, inFlight} = store.truth()
	return loads + inFlight
}

test("answers a load with the source and its digest", async () => {
	const {body} = await send("GET", `${store.url}/v1/weights?source=%2Fa`)
	expect(body).toMatchObject({source: "/a"})
	expect(body).toHaveProperty("digest")
	expect(await load("")).toBe(400)
	expect(store.truth()).toMatchObject({loads: 1, loadsBySource: {"/a": 1}})
})

test("counts the loads in flight and their peak", async () => {
	const sources = ["a", "b", "c"]
	store.setFaults({speed: 0.01})
	const loads = sources.map(source => load(source))
	await vi.waitUntil(() => store.truth().inFlight === sources.length, 30_000)
	await Promise.all(loads)
	expect(store.truth()).toMatchObject({peakInFlight: 3, inFlight: 0, loads: 3})
})

test("slows loads by the ratio of loads in flight to maxInFlight, but never speeds them up", () => {
	expect(computeSlowdown(1, 8)).toBe(1)
	expect(computeSlowdown(8, 8)).toBe(1)
	expect(computeSlowdown(20, 8)).toBe(2.5)
})

test("completes loads in the order of their arrival", async () => {
	const ended: string[] = []
	store.setFaults({speed: 0.01})
	const loads: Promise<unknown>[] = []
	for (const [index, source] of ["a", "b", "c"].entries()) {
		loads.push(load(source).then(() => ended.push(source)))
		await vi.waitUntil(() => countArrivedLoads() > index, 30_000)
	}
	await Promise.all(loads)
	expect(ended).toEqual(["a", "b", "c"])
})

test("removes the load of a disconnected caller from the queue", async () => {
	const slow = await startWeightStore({loadMs: 1, loadsPerSecond: 0.001})
	const url = `${slow.url}/v1/weights?source=`
	expect((await send("GET", `${url}a`)).status).toBe(200)
	const aborter = new AbortController()
	const waiting = request(`${url}b`, {signal: aborter.signal})
	await vi.waitUntil(() => slow.truth().inFlight === 1, 30_000)
	aborter.abort()
	await expect(waiting).rejects.toThrow()
	await vi.waitUntil(() => slow.truth().inFlight === 0, 30_000)
	expect(slow.truth()).toMatchObject({loads: 1, failed: 0})
	await slow.close()
})

test("answers injected failures with 503 or 404", async () => {
	store.setFaults({failNext: 1, missing: ["gone"]})
	expect(await load("gone")).toBe(404)
	expect(await load("a")).toBe(503)
	expect(await load("a")).toBe(200)
	store.setFaults({failRatio: 1})
	expect(await load("a")).toBe(503)
	expect(store.truth()).toMatchObject({failed: 2, loads: 1})
})
