/**
 * Faults of the links between entries and endpoint processes. Each endpoint
 * process is reached through a relay that can be cut or slowed.
 */
import {afterAll, afterEach, beforeAll, expect} from "vitest"
import {
	callJson,
	Deployment,
	type EndpointAddresses
} from "../../bench/deployment/index.js"
import {parseConfiguration} from "../../src/contract/config/index.js"
import {HttpPlatform} from "../../src/link/index.js"
import {applyConfiguration} from "../../src/operator/apply.js"
import {sleep} from "../../src/utils/common.js"
import {Cut, type Relay, startRelay} from "../../standins/index.js"
import {
	bedConfiguration,
	bedSpec,
	type EngineTruth,
	type ServiceTruth
} from "./bed.js"
import {
	book,
	draft,
	type DraftOptions,
	End,
	expectedDraft,
	type StreamResult
} from "./caller.js"
import {proves} from "./proves.js"

const pollMs = 25
const waitLimitMs = 30_000
const callMs = 1500
const deadlineMs = 8000
const slowLinkMs = 400
const longTokens = 150
const certainEnds = [End.Whole, End.Unknown]

const relays = new Map<string, Relay>()
let deployment: Deployment
let entry = ""
let otherEntry = ""
let nextId = 0

beforeAll(async () => {
	deployment = new Deployment({
		spec: bedSpec,
		logLevel: "info",
		advertise: addRelay
	})
	await deployment.startStandins()
	await applyBedConfiguration()
	deployment.startPrograms()
	await deployment.waitReady()
	;[entry = "", otherEntry = ""] = deployment.entryUrls
})

afterAll(async () => {
	await deployment.stop()
	await Promise.all([...relays.values()].map(relay => relay.close()))
})

afterEach(async () => {
	for (const relay of relays.values()) relay.heal()
	await slowServices(null)
	await deployment.waitReady()
	const engines = await readTruths<EngineTruth>(deployment.engineUrls)
	expect(engines.map(({evictedInUse}) => evictedInUse)).toEqual(
		engines.map(() => 0)
	)
})

async function addRelay({id, link}: EndpointAddresses): Promise<string> {
	const relay = await startRelay({target: link})
	relays.set(id, relay)
	return relay.address
}

async function applyBedConfiguration(): Promise<void> {
	const platform = new HttpPlatform({url: deployment.platformUrl})
	await applyConfiguration({
		platform,
		configuration: parseConfiguration(bedConfiguration()),
		operator: "tests",
		applyId: "apply-links",
		now: () => Date.now()
	})
	await platform.close()
}

function relayOf(hostId: string): Relay {
	const relay = relays.get(hostId)
	if (relay !== undefined) return relay
	throw new Error(`host ${hostId} has no relay`)
}

async function slowServices(ms: number | null): Promise<void> {
	const calls = deployment.serviceUrls.map(url =>
		callJson(`${url}/control/faults`, {method: "POST", body: {callMs: ms}})
	)
	await Promise.all(calls)
}

function readTruths<T>(urls: readonly string[]): Promise<T[]> {
	return Promise.all(urls.map(url => callJson<T>(`${url}/control/truth`)))
}

async function countBookings(order: string): Promise<number> {
	const truths = await readTruths<ServiceTruth>(deployment.serviceUrls)
	return truths.reduce((sum, truth) => sum + (truth.runsByBody[order] ?? 0), 0)
}

/** The host whose service runs an order, once one does. */
async function findHostOf(order: string): Promise<string> {
	let index = -1
	await until(`${order} runs`, async () => {
		const truths = await readTruths<ServiceTruth>(deployment.serviceUrls)
		index = truths.findIndex(truth => truth.runsByBody[order] !== undefined)
		return index >= 0
	})
	const url = deployment.serviceUrls[index] ?? ""
	const host = deployment.endpoints.find(({workerUrls}) =>
		workerUrls.includes(url)
	)
	return host?.id ?? ""
}

/** Waits until a condition holds; the limit is for a hung test only. */
async function until(
	what: string,
	isTrue: () => Promise<boolean> | boolean
): Promise<void> {
	const limit = Date.now() + waitLimitMs
	while (!(await isTrue())) {
		if (Date.now() > limit) throw new Error(`waited in vain until ${what}`)
		await sleep(pollMs)
	}
}

function newName(kind: string): string {
	nextId += 1
	return `${kind}-${nextId}`
}

/**
 * Cuts the link while the service runs a booking, retries through both
 * entries during and after the cut, and checks that it ran once.
 */
async function bookThroughCut(direction: Cut): Promise<void> {
	const order = newName("order")
	const options = {key: `key-${order}`, timeoutMs: deadlineMs}
	await slowServices(callMs)
	const first = book(entry, order, options)
	const host = await findHostOf(order)
	relayOf(host).cut(direction)
	const second = await book(otherEntry, order, options)
	const ends = [(await first).end, second.end]
	expect(relayOf(host).truth().discardedBytes).toBeGreaterThan(0)
	relayOf(host).heal()
	ends.push((await book(entry, order, options)).end)
	ends.push((await book(otherEntry, order, options)).end)
	for (const end of ends) expect(certainEnds).toContain(end)
	expect(await countBookings(order)).toBe(1)
	await until("the stored answer is given", async () => {
		const retried = await book(otherEntry, order, options)
		expect(certainEnds).toContain(retried.end)
		return retried.end === End.Whole && retried.body.includes(order)
	})
	expect(await countBookings(order)).toBe(1)
}

proves("booking: link to the endpoint process cut", async () => {
	await bookThroughCut(Cut.Both)
})

proves("booking: answers cut on the way back", async () => {
	await bookThroughCut(Cut.ToClient)
})

interface RunningDraft {
	hostId: string
	result: Promise<StreamResult>
}

/** Starts a draft and waits for its first text. */
async function startDraft(options: DraftOptions): Promise<RunningDraft> {
	let hostId = ""
	const result = draft(entry, {
		...options,
		onText: (_text, host) => {
			hostId = host
		}
	})
	await until("the first text arrives", () => hostId !== "")
	return {hostId, result}
}

function expectWhole(result: StreamResult, options: DraftOptions): void {
	expect(result).toMatchObject({
		end: End.Whole,
		reason: "",
		text: expectedDraft(options)
	})
}

proves("draft: link cut mid-stream", async () => {
	const options = {prompt: newName("draft"), maxTokens: longTokens}
	const {hostId, result} = await startDraft(options)
	relayOf(hostId).cut(Cut.Both)
	expectWhole(await result, options)
	expect(relayOf(hostId).truth().discardedBytes).toBeGreaterThan(0)
})

proves("draft: link slow", async () => {
	for (const relay of relays.values()) relay.delay(slowLinkMs)
	const options = ["a-1", "a-2", "a-3"].map(adapter => ({
		adapter,
		prompt: newName("draft"),
		maxTokens: longTokens
	}))
	const results = await Promise.all(options.map(one => draft(entry, one)))
	results.forEach((result, index) => {
		expectWhole(result, options[index] ?? {})
	})
})
