import {once} from "node:events"
import {createServer, type Server} from "node:http"
import type {AddressInfo} from "node:net"
import {afterEach, beforeEach, expect, test} from "vitest"
import {type PlatformStandin, startPlatform} from "../../../standins/index.js"
import {PlatformError, Step} from "../../contract/errors.js"
import {HostRole, HostState} from "../../host/host.js"
import {HttpPlatform} from "../httpPlatform.js"
import {absentVersion, WriteOutcome} from "../platform.js"

const kind = "things"

let standin: PlatformStandin
let platform: HttpPlatform

beforeEach(async () => {
	standin = await startPlatform({hostLagMs: 0})
	platform = new HttpPlatform({url: `${standin.url}/`})
})

afterEach(async () => {
	await platform.close()
	await standin.close()
})

function write(name: string, value: unknown, expected = absentVersion) {
	return platform.write(kind, name, value, expected)
}

test("writes, reads, lists and removes objects, and counts the calls", async () => {
	expect(await platform.read(kind, "a/b c")).toBeUndefined()
	const written = await write("a/b c", {n: 1})
	expect(written.outcome).toBe(WriteOutcome.Written)
	const {version} = written
	const object = {name: "a/b c", version, value: {n: 1}}
	expect(await platform.read(kind, "a/b c")).toEqual(object)
	expect((await platform.list(kind, "a/")).items).toEqual([object])
	expect((await platform.list(kind, "b")).items).toEqual([])
	const removed = await platform.remove(kind, "a/b c", version)
	expect(removed.outcome).toBe(WriteOutcome.Written)
	expect(await platform.read(kind, "a/b c")).toBeUndefined()
	expect(platform.calls).toEqual({
		reads: 5,
		writes: 2,
		watches: 0,
		failures: 0
	})
})

test("a write with a stale version is a conflict that carries the stored version", async () => {
	const {version} = await write("a", 1)
	const again = await write("a", 2)
	expect(again).toMatchObject({outcome: WriteOutcome.Conflict, version})
	const stale = await write("a", 2, version + 1000)
	expect(stale).toMatchObject({outcome: WriteOutcome.Conflict, version})
	const removal = await platform.remove(kind, "a", version + 1000)
	expect(removal).toMatchObject({outcome: WriteOutcome.Conflict, version})
	expect(await platform.read(kind, "a")).toMatchObject({value: 1, version})
})

test("a write whose answer is lost has the outcome lost, although it was stored", async () => {
	standin.setFaults({loseAnswers: 1})
	const lost = await write("a", 1)
	expect(lost.outcome).toBe(WriteOutcome.Lost)
	expect(await platform.read(kind, "a")).toMatchObject({value: 1})
	expect(standin.truth().writes).toBe(1)
})

test("a write above the platform's rate limit is refused", async () => {
	standin.setFaults({writesPerSecond: 0.001})
	const outcomes = new Set<WriteOutcome>()
	for (let i = 0; i < 1000; i++) {
		const {outcome} = await write(`n-${i}`, i)
		outcomes.add(outcome)
		if (outcome === WriteOutcome.Refused) break
	}
	expect(outcomes).toContain(WriteOutcome.Refused)
	expect(outcomes).not.toContain(WriteOutcome.Lost)
	expect(standin.truth().refused).toBe(1)
})

test("in an outage, writes are lost and reads reject with step and peer", async () => {
	standin.setFaults({outage: true})
	expect((await write("a", 1)).outcome).toBe(WriteOutcome.Lost)
	const err: unknown = await platform
		.read(kind, "a")
		.catch((thrown: unknown) => thrown)
	expect(err).toBeInstanceOf(PlatformError)
	expect(err).toMatchObject({step: Step.Platform, peer: standin.url})
	expect(platform.calls.failures).toBe(2)
})

test("a call without an answer fails at its timeout", async () => {
	const clientWithShortTimeout = new HttpPlatform({
		url: standin.url,
		timeoutMs: 50
	})
	standin.setFaults({hang: true})
	const {outcome} = await clientWithShortTimeout.write(
		kind,
		"a",
		1,
		absentVersion
	)
	expect(outcome).toBe(WriteOutcome.Lost)
	await expect(clientWithShortTimeout.hosts()).rejects.toThrow(PlatformError)
	await clientWithShortTimeout.close()
})

test("a write to an address without a listener is refused, not lost", async () => {
	const gone = await startPlatform()
	const {url} = gone
	await gone.close()
	const client = new HttpPlatform({url})
	const {outcome} = await client.write(kind, "a", 1, absentVersion)
	expect(outcome).toBe(WriteOutcome.Refused)
	await expect(client.list(kind)).rejects.toThrow(PlatformError)
	await client.close()
})

test("a watch returns changes and reports a gap", async () => {
	const {revision} = await platform.list(kind)
	const deadline = Date.now() + 30_000
	const watch = platform.watch(kind, revision, deadline)
	const {version} = await write("a", 1)
	const seen = await watch
	expect(seen).toMatchObject({
		gap: false,
		events: [{name: "a", version, value: 1}]
	})
	expect(seen.revision).toBeGreaterThan(revision)
	standin.setFaults({watchGap: true})
	const missed = await platform.watch(kind, seen.revision, deadline)
	expect(missed).toEqual({gap: true, events: [], revision: 0})
})

test("a watch without changes returns at its deadline", async () => {
	const {revision} = await platform.list(kind)
	const seen = await platform.watch(kind, revision, Date.now() + 20)
	expect(seen).toEqual({gap: false, events: [], revision})
})

test("lists the hosts that the platform returns", async () => {
	const host = {
		id: "desk-1",
		role: HostRole.Endpoint,
		address: "127.0.0.1:1",
		failureDomain: "north",
		pool: "desk",
		state: HostState.Leaving
	}
	standin.setHosts([host])
	expect(await platform.hosts()).toEqual([host])
})

test.each([
	["a server error", 500, "{}", WriteOutcome.Lost],
	["a gateway error", 502, "<html>", WriteOutcome.Lost],
	["a bad request", 400, "{}", WriteOutcome.Refused],
	["too many calls", 429, "{}", WriteOutcome.Refused]
])(
	"after %s (status %i), a write is lost or refused and a read rejects",
	async (_what, status, body, outcome) => {
		const server = await startServerAnswering(status, body)
		const {port} = server.address() as AddressInfo
		const client = new HttpPlatform({url: `http://127.0.0.1:${port}`})
		const written = await client.write(kind, "a", 1, absentVersion)
		expect(written.outcome).toBe(outcome)
		await expect(client.read(kind, "a")).rejects.toThrow(PlatformError)
		await client.close()
		server.close()
	}
)

test("a malformed answer rejects the read", async () => {
	const server = await startServerAnswering(200, '{"name": 7}')
	const {port} = server.address() as AddressInfo
	const client = new HttpPlatform({url: `http://127.0.0.1:${port}`})
	await expect(client.read(kind, "a")).rejects.toThrow(/malformed answer/)
	await client.close()
	server.close()
})

async function startServerAnswering(
	status: number,
	body: string
): Promise<Server> {
	const server = createServer((_req, res) => {
		res.writeHead(status).end(body)
	})
	server.listen(0, "127.0.0.1")
	await once(server, "listening")
	return server
}
