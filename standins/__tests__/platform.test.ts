import {request} from "undici"
import {afterEach, beforeEach, expect, test, vi} from "vitest"
import {HostRole, HostState} from "../../src/host/host.js"
import {type PlatformStandin, startPlatform} from "../index.js"
import {type Reply, send} from "./client.js"

let platform: PlatformStandin

beforeEach(async () => {
	platform = await startPlatform({keptChanges: 3})
})

afterEach(() => platform.close())

const createHeaders = {"if-none-match": "*"}

function put(
	path: string,
	value: unknown,
	headers: Record<string, string> = createHeaders
): Promise<Reply> {
	return send("PUT", `${platform.url}/v1/objects/${path}`, value, headers)
}

function get(path: string): Promise<Reply> {
	return send("GET", `${platform.url}/v1/objects/${path}`)
}

function remove(path: string, version: number): Promise<Reply> {
	const headers = {"if-match": `"${version}"`}
	const url = `${platform.url}/v1/objects/${path}`
	return send("DELETE", url, undefined, headers)
}

test("creates, reads, updates and deletes an object", async () => {
	expect((await get("part/a%2Fb")).status).toBe(404)
	expect(await put("part/a%2Fb", {n: 1})).toMatchObject({
		status: 200,
		body: {version: 1}
	})
	expect((await get("part/a%2Fb")).body).toEqual({
		name: "a/b",
		version: 1,
		value: {n: 1}
	})
	const update = await put("part/a%2Fb", {n: 2}, {"if-match": '"1"'})
	expect(update.body).toEqual({version: 2})
	expect((await remove("part/a%2Fb", 2)).body).toEqual({version: 3})
	expect((await get("part/a%2Fb")).status).toBe(404)
	expect((await remove("part/a%2Fb", 3)).status).toBe(404)
	const history = await send(
		"GET",
		`${platform.url}/control/history/part/a%2Fb`
	)
	expect(history.body).toEqual([
		{version: 1, value: {n: 1}},
		{version: 2, value: {n: 2}},
		{version: 3, value: null}
	])
})

test("answers 412 to a write that expects another version", async () => {
	await put("root/r", 1)
	expect(await put("root/r", 2)).toMatchObject({
		status: 412,
		body: {version: 1}
	})
	expect(await put("root/r", 2, {"if-match": '"9"'})).toMatchObject({
		status: 412,
		body: {version: 1}
	})
	expect(await put("root/new", 2, {"if-match": '"1"'})).toMatchObject({
		status: 412,
		body: {version: 0}
	})
	expect((await remove("root/r", 9)).status).toBe(412)
	expect((await put("root/r", 2, {})).status).toBe(428)
	expect((await put("root/r", 2, {"if-match": "x"})).status).toBe(400)
	expect(platform.truth()).toMatchObject({conflicts: 4, revision: 1})
})

test("rejects a value above the size limit with 413", async () => {
	expect((await put("part/big", "x".repeat(1_000_000))).status).toBe(413)
	expect((await put("part/big", "x".repeat(999_998))).status).toBe(200)
})

test("lists the objects of one kind and name prefix", async () => {
	await put("part/a1", 1)
	await put("part/b1", 2)
	await put("other/a2", 3)
	expect((await get("part?prefix=a")).body).toEqual({
		revision: 3,
		items: [{name: "a1", version: 1, value: 1}]
	})
})

test("returns the changes after a revision from a watch", async () => {
	await put("part/a", 1)
	await put("other/a", 1)
	await remove("part/a", 1)
	expect((await get("part?watch=1&revision=0")).body).toEqual({
		revision: 3,
		events: [
			{name: "a", version: 1, value: 1},
			{name: "a", version: 3, value: null}
		]
	})
	expect((await get("part?watch=1&revision=3&timeoutMs=1")).body).toEqual({
		revision: 3,
		events: []
	})
})

test("answers a waiting watch when an object of its kind changes", async () => {
	const watch = get("part?watch=1&revision=0&timeoutMs=50000")
	await put("other/a", 1)
	await put("part/a", 2)
	expect((await watch).body).toMatchObject({
		events: [{name: "a", version: 2, value: 2}]
	})
})

test("answers 410 to a watch whose changes were discarded", async () => {
	for (const name of ["a", "b", "c", "d"]) await put(`part/${name}`, 1)
	expect((await get("part?watch=1&revision=0")).status).toBe(410)
	expect((await get("part?watch=1&revision=9")).status).toBe(410)
	expect((await get("part?watch=1&revision=1")).status).toBe(200)
	const watch = get("part?watch=1&revision=4")
	platform.setFaults({watchGap: true})
	expect((await watch).status).toBe(410)
})

test("rejects calls above the rate limit with 429 and Retry-After", async () => {
	platform.setFaults({writesPerSecond: 0.001, readsPerSecond: 0.001})
	expect((await put("part/a", 1)).status).toBe(200)
	const refused = await put("part/b", 1)
	expect(refused.status).toBe(429)
	expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0)
	expect((await get("part/a")).status).toBe(200)
	expect((await get("part")).status).toBe(429)
	expect(platform.truth()).toMatchObject({
		refused: 2,
		writesByKind: {part: 1},
		readsByKind: {part: 1}
	})
})

test("counts a watch as one read at its start and one at its end", async () => {
	await get("part?watch=1&revision=0&timeoutMs=1")
	expect(platform.truth()).toMatchObject({reads: 2, readsByKind: {part: 2}})
})

test("applies a write whose answer is lost", async () => {
	platform.setFaults({loseAnswers: 1, loseAnswersKind: "claim"})
	expect((await put("part/a", 1)).status).toBe(200)
	await expect(put("claim/c", 2)).rejects.toThrow()
	expect((await get("claim/c")).body).toMatchObject({value: 2})
	expect((await put("claim/d", 3)).status).toBe(200)
	expect(platform.truth().lost).toBe(1)
})

test("reads and lists an earlier state under the staleReadMs fault", async () => {
	await put("part/a", 1)
	platform.setFaults({staleReadMs: 600_000})
	expect((await get("part/a")).status).toBe(404)
	expect((await get("part")).body).toEqual({revision: 0, items: []})
	platform.setFaults({staleReadMs: 0})
	expect((await get("part/a")).status).toBe(200)
})

test("returns the list of hosts with the configured lag", async () => {
	const host = {
		id: "entry-1",
		role: HostRole.Entry,
		address: "127.0.0.1:1",
		failureDomain: "a",
		pool: "",
		state: HostState.Live
	}
	platform.setFaults({hostLagMs: 600_000})
	const hosts = {hosts: [host]}
	await send("PUT", `${platform.url}/control/hosts`, hosts)
	const listed = await send("GET", `${platform.url}/v1/hosts`)
	expect(listed.body).toEqual({hosts: []})
	platform.setFaults({hostLagMs: 0})
	const current = await send("GET", `${platform.url}/v1/hosts`)
	expect(current.body).toEqual(hosts)
})

test("applies a delayed write after its caller has disconnected", async () => {
	platform.setFaults({delayMs: 1500})
	const aborter = new AbortController()
	const {signal} = aborter
	const url = `${platform.url}/v1/objects/claim/c`
	const gone = request(url, {
		method: "PUT",
		headers: createHeaders,
		body: "1",
		signal
	})
	const aborted = expect(gone).rejects.toThrow()
	await vi.waitUntil(() => platform.openCallCount === 1, 30_000)
	aborter.abort()
	await aborted
	await vi.waitUntil(() => platform.truth().revision === 1, 30_000)
})
