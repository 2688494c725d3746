import {request as httpRequest} from "node:http"
import {afterEach, beforeEach, describe, expect, it} from "vitest"
import {createLoopbackIp} from "../../../src/gateway/__tests__/loopback.js"
import {FleetWorker} from "../worker.js"

let worker: FleetWorker

beforeEach(async () => {
	worker = new FleetWorker("engine1", {
		ip: createLoopbackIp(),
		port: 9000,
		adapterSlots: 2,
		stepMs: 20,
		random: () => 0.5
	})
	await worker.start()
	expect(await order({operation: "load", adapter: "a1"}, 0)).toBe(202)
	await expect
		.poll(async () => (await call("GET", "/report")).body)
		.toContain('"a1@1"')
})

afterEach(async () => {
	await worker.crash(true)
})

function call(
	method: string,
	path: string,
	{headers = {}, body = ""}: {headers?: object; body?: string} = {}
): Promise<{status: number; body: string}> {
	return new Promise((resolve, reject) => {
		const [host = "", port = ""] = worker.address.split(":")
		const req = httpRequest(
			{host, port: Number(port), method, path, headers: {...headers}},
			res => {
				let text = ""
				res.setEncoding("utf8")
				res.on("data", (part: string) => (text += part))
				res.on("end", () => {
					resolve({status: res.statusCode ?? 0, body: text})
				})
			}
		)
		req.on("error", reject)
		req.end(body)
	})
}

async function order(
	fields: Record<string, unknown>,
	precondition: number
): Promise<number> {
	const body = JSON.stringify({...fields, precondition, fencing_token: 1})
	return (await call("POST", "/order", {body})).status
}

function generate(id: string): Promise<{status: number; body: string}> {
	const headers = {"X-Request-Id": id, "X-Model": "base/a1"}
	return call("POST", "/", {headers})
}

const unload = {operation: "unload", adapter: "a1"}

describe("FleetWorker", () => {
	it("unloads an adapter without runs immediately", async () => {
		expect(await order(unload, 1)).toBe(200)
		expect((await generate("r1")).status).toBe(421)
		expect(worker.violations).toEqual([])
	})

	it("unloads a used adapter after its last run, without new ones", async () => {
		const run = generate("r1")
		await expect.poll(() => worker.runs.length).toBe(1)
		expect(await order(unload, 1)).toBe(202)
		expect((await generate("r2")).status).toBe(421)
		expect((await run).body).toContain("id: 6")
		expect((await call("GET", "/report")).body).not.toContain('"a1@1"')
		expect(worker.violations).toEqual([])
	})

	it("records a violation when an order unloads an adapter with a reported run", async () => {
		const run = generate("r1")
		await expect.poll(() => worker.runs.length).toBe(1)
		expect((await call("GET", "/report")).body).toContain('"r1"')
		await order(unload, 1)
		expect(worker.violations).toEqual(["engine1-1: a1 evicted in use"])
		await run
	})

	it("replaces an adapter's version after its last run", async () => {
		const run = generate("r1")
		await expect.poll(() => worker.runs.length).toBe(1)
		await order({operation: "load", adapter: "a1", version: 2}, 1)
		await run
		await expect
			.poll(async () => (await call("GET", "/report")).body)
			.toContain('"a1@2"')
	})
})
