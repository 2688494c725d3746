import {afterAll, afterEach, beforeAll, expect} from "vitest"
import {HostState} from "../../src/host/host.js"
import {TestBed, enginePoolName} from "./testBed.js"
import {
	bookOrder,
	streamDraft,
	type DraftOptions,
	RequestEnd,
	computeExpectedText,
	type StreamResult
} from "./caller.js"
import {testCell} from "./testCell.js"

let bed: TestBed
let entry = ""
let otherEntry = ""
let nextPrompt = 0

beforeAll(async () => {
	bed = await TestBed.start()
	;[entry = "", otherEntry = ""] = bed.deployment.entryUrls
})

afterAll(async () => {
	await bed.stop()
})

afterEach(async () => {
	await bed.setServiceFaults({callMs: null})
	await bed.restoreProcesses()
})

interface StartedDraft {
	options: DraftOptions
	result: Promise<StreamResult>
}

function startDrafts(
	url: string,
	count: number,
	maxTokens: number
): StartedDraft[] {
	return Array.from({length: count}, (_, index) => {
		nextPrompt += 1
		const adapter = `a-${index % 12}`
		const options = {adapter, prompt: `stop ${nextPrompt}`, maxTokens}
		return {options, result: streamDraft(url, options)}
	})
}

async function expectAllComplete(
	started: readonly StartedDraft[]
): Promise<void> {
	for (const {options, result} of started) {
		const {end, reason, text} = await result
		expect({end, reason}).toEqual({end: RequestEnd.Complete, reason: ""})
		expect(text).toBe(computeExpectedText(options))
	}
}

/** Counts the sequences that the engines of a host have started. */
async function countRunsOfHost(hostId: string): Promise<number> {
	const host = bed.deployment.endpoints.find(({id}) => id === hostId)
	const urls = bed.deployment.engineUrls
	const truths = await bed.readEngineTruths()
	const own = truths.filter((_, index) =>
		host?.workerUrls.includes(urls[index] ?? "")
	)
	return own.reduce((sum, truth) => sum + Object.keys(truth.runsById).length, 0)
}

testCell("stop: endpoint process with running and queued drafts", async () => {
	const hostId = `${enginePoolName}-1`
	const started = startDrafts(entry, 40, 60)
	await bed.waitUntil(
		"the host runs drafts",
		async () => (await countRunsOfHost(hostId)) > 0
	)
	const exit = bed.deployment.child(hostId).terminate()
	await bed.waitUntil("the host starts no more sequences", async () => {
		const before = await countRunsOfHost(hostId)
		const later = startDrafts(otherEntry, 8, 20)
		await expectAllComplete(later)
		return (await countRunsOfHost(hostId)) === before
	})
	await expectAllComplete(started)
	expect(await exit).toEqual({code: 0, signal: null})
})

testCell("stop: entry with running drafts", async () => {
	const started = startDrafts(entry, 12, 100)
	await bed.waitUntil("drafts run", async () => {
		const truths = await bed.readEngineTruths()
		return truths.some(truth => Object.keys(truth.runsById).length > 0)
	})
	const exit = bed.deployment.child("entry-1").terminate()
	await expectAllComplete(started)
	expect(await exit).toEqual({code: 0, signal: null})
})

testCell("stop: service host with a running booking", async () => {
	await bed.setServiceFaults({callMs: 1500})
	const first = bookOrder(entry, "stop-1", {key: "k-stop"})
	const host = await bed.waitForBusyServiceHost()
	const exit = bed.deployment.child(host).terminate()
	const answered = await first
	expect(answered.end).toBe(RequestEnd.Complete)
	expect(await exit).toEqual({code: 0, signal: null})
	const second = await bookOrder(otherEntry, "stop-1", {key: "k-stop"})
	expect(second.end).toBe(RequestEnd.Complete)
	expect(second.body).toBe(answered.body)
	expect(await bed.countBookings("stop-1")).toBe(1)
})

testCell(
	"stop: all endpoint hosts one after the other under load",
	async () => {
		const hosts = bed.deployment.endpoints.filter(
			({pool}) => pool === enginePoolName
		)
		const started: StartedDraft[] = []
		for (const {id} of hosts) {
			started.push(...startDrafts(entry, 10, 60))
			const child = bed.deployment.child(id)
			const exit = child.terminate()
			started.push(...startDrafts(otherEntry, 10, 60))
			expect(await exit).toEqual({code: 0, signal: null})
			child.start()
			await bed.deployment.waitReady([id])
		}
		await expectAllComplete(started)
		expect(await bed.countEvictedInUse()).toBe(0)
	}
)

testCell("stop: only the lagging list says leaving", async () => {
	const hostId = `${enginePoolName}-2`
	await bed.deployment.setHostState(hostId, HostState.Leaving)
	await bed.waitUntil("the entries send the host no new drafts", async () => {
		const before = await countRunsOfHost(hostId)
		await expectAllComplete(startDrafts(entry, 12, 10))
		await expectAllComplete(startDrafts(otherEntry, 12, 10))
		return (await countRunsOfHost(hostId)) === before
	})
	const before = await countRunsOfHost(hostId)
	await expectAllComplete(startDrafts(otherEntry, 24, 10))
	expect(await countRunsOfHost(hostId)).toBe(before)
	await bed.deployment.setHostState(hostId, HostState.Live)
})
