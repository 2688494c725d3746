/**
 * Network faults between entries and endpoint processes. Each endpoint process
 * advertises the address of a relay, which can discard or delay its traffic.
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
	createTestBedFiles,
	testBedSpec,
	type EngineTruth,
	type ServiceTruth
} from "./testBed.js"
import {
	bookOrder,
	streamDraft,
	type DraftOptions,
	RequestEnd,
	computeExpectedText,
	type StreamResult
} from "./caller.js"
import {testCell} from "./testCell.js"

const pollMs = 25
const waitLimitMs = 30_000
const callMs = 1500
const deadlineMs = 8000
const linkDelayMs = 400
const longDraftTokens = 150
/** Ends of a booking that its service has executed; NotRun would be wrong. */
const allowedEnds = [RequestEnd.Complete, RequestEnd.Unknown]

const relays = new Map<string, Relay>()
let deployment: Deployment
let entry = ""
let otherEntry = ""
let nextId = 0

beforeAll(async () => {
	deployment = new Deployment({
		spec: testBedSpec,
		logLevel: "info",
		advertise: addRelay
	})
	await deployment.startStandins()
	await applyTestBedConfiguration()
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
	await setServiceCallMs(null)
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

async function applyTestBedConfiguration(): Promise<void> {
	const platform = new HttpPlatform({url: deployment.platformUrl})
	await applyConfiguration({
		platform,
		configuration: parseConfiguration(createTestBedFiles()),
		operator: "tests",
		applyId: "apply-links",
		now: () => Date.now()
	})
	await platform.close()
}

function findRelay(hostId: string): Relay {
	const relay = relays.get(hostId)
	if (relay !== undefined) return relay
	throw new Error(`host ${hostId} has no relay`)
}

async function setServiceCallMs(ms: number | null): Promise<void> {
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

/** Waits until a service has executed an order, and returns its host's id. */
async function waitForHostOfOrder(order: string): Promise<string> {
	let index = -1
	await waitUntil(`a service executes ${order}`, async () => {
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

/** Polls a condition. The time limit only ends a test that hangs. */
async function waitUntil(
	condition: string,
	isMet: () => Promise<boolean> | boolean
): Promise<void> {
	const limit = Date.now() + waitLimitMs
	while (!(await isMet())) {
		if (Date.now() > limit)
			throw new Error(`timed out waiting until ${condition}`)
		await sleep(pollMs)
	}
}

function createName(kind: string): string {
	nextId += 1
	return `${kind}-${nextId}`
}

/**
 * Cuts the link to the endpoint process while its service executes a booking.
 * Retries through the other entry during the cut and through both after it, and
 * checks that the service executed the booking once and that a retry finally
 * returns the recorded answer.
 */
async function checkBookingThroughCut(direction: Cut): Promise<void> {
	const order = createName("order")
	const options = {key: `key-${order}`, timeoutMs: deadlineMs}
	await setServiceCallMs(callMs)
	const first = bookOrder(entry, order, options)
	const host = await waitForHostOfOrder(order)
	findRelay(host).cut(direction)
	const second = await bookOrder(otherEntry, order, options)
	const ends = [(await first).end, second.end]
	expect(findRelay(host).truth().discardedBytes).toBeGreaterThan(0)
	findRelay(host).heal()
	ends.push((await bookOrder(entry, order, options)).end)
	ends.push((await bookOrder(otherEntry, order, options)).end)
	for (const end of ends) expect(allowedEnds).toContain(end)
	expect(await countBookings(order)).toBe(1)
	await waitUntil("the entry returns the recorded answer", async () => {
		const retried = await bookOrder(otherEntry, order, options)
		expect(allowedEnds).toContain(retried.end)
		return retried.end === RequestEnd.Complete && retried.body.includes(order)
	})
	expect(await countBookings(order)).toBe(1)
}

testCell("booking: link to the endpoint process cut", async () => {
	await checkBookingThroughCut(Cut.Both)
})

testCell("booking: answers cut on the way back", async () => {
	await checkBookingThroughCut(Cut.ToClient)
})

interface RunningDraft {
	hostId: string
	result: Promise<StreamResult>
}

/** Starts a draft and waits until its first text arrives. */
async function startDraft(options: DraftOptions): Promise<RunningDraft> {
	let hostId = ""
	const result = streamDraft(entry, {
		...options,
		onText: (_text, host) => {
			hostId = host
		}
	})
	await waitUntil("the first text arrives", () => hostId !== "")
	return {hostId, result}
}

function expectComplete(result: StreamResult, options: DraftOptions): void {
	expect(result).toMatchObject({
		end: RequestEnd.Complete,
		reason: "",
		text: computeExpectedText(options)
	})
}

testCell("draft: link cut mid-stream", async () => {
	const options = {prompt: createName("draft"), maxTokens: longDraftTokens}
	const {hostId, result} = await startDraft(options)
	findRelay(hostId).cut(Cut.Both)
	expectComplete(await result, options)
	expect(findRelay(hostId).truth().discardedBytes).toBeGreaterThan(0)
})

testCell("draft: link slow", async () => {
	for (const relay of relays.values()) relay.delay(linkDelayMs)
	const options = ["a-1", "a-2", "a-3"].map(adapter => ({
		adapter,
		prompt: createName("draft"),
		maxTokens: longDraftTokens
	}))
	const results = await Promise.all(options.map(one => streamDraft(entry, one)))
	results.forEach((result, index) => {
		expectComplete(result, options[index] ?? {})
	})
})
