import {afterAll, afterEach, beforeAll, expect} from "vitest"
import {HostState} from "../../src/host/host.js"
import {Bed, enginePool} from "./bed.js"
import {
	book,
	draft,
	type DraftOptions,
	End,
	expectedDraft,
	type StreamResult
} from "./caller.js"
import {proves} from "./proves.js"

let bed: Bed
let entry = ""
let otherEntry = ""
let nextPrompt = 0

beforeAll(async () => {
	bed = await Bed.start()
	;[entry = "", otherEntry = ""] = bed.deployment.entryUrls
})

afterAll(async () => {
	await bed.stop()
})

afterEach(async () => {
	await bed.serviceFaults({callMs: null})
	await bed.restore()
})

interface Started {
	options: DraftOptions
	result: Promise<StreamResult>
}

function startDrafts(url: string, count: number, maxTokens: number): Started[] {
	return Array.from({length: count}, (_, index) => {
		nextPrompt += 1
		const adapter = `a-${index % 12}`
		const options = {adapter, prompt: `stop ${nextPrompt}`, maxTokens}
		return {options, result: draft(url, options)}
	})
}

async function expectAllWhole(started: readonly Started[]): Promise<void> {
	for (const {options, result} of started) {
		const {end, reason, text} = await result
		expect({end, reason}).toEqual({end: End.Whole, reason: ""})
		expect(text).toBe(expectedDraft(options))
	}
}

/** Ids of the hosts that run something, as the engines tell. */
async function runsOf(hostId: string): Promise<number> {
	const host = bed.deployment.endpoints.find(({id}) => id === hostId)
	const urls = bed.deployment.engineUrls
	const truths = await bed.engineTruths()
	const own = truths.filter((_, index) =>
		host?.workerUrls.includes(urls[index] ?? "")
	)
	return own.reduce((sum, truth) => sum + Object.keys(truth.runsById).length, 0)
}

proves("stop: endpoint process with running and queued drafts", async () => {
	const hostId = `${enginePool}-1`
	const started = startDrafts(entry, 40, 60)
	await bed.until(
		"the host runs drafts",
		async () => (await runsOf(hostId)) > 0
	)
	const exit = bed.deployment.child(hostId).terminate()
	await bed.until("the host gives no more runs", async () => {
		const before = await runsOf(hostId)
		const later = startDrafts(otherEntry, 8, 20)
		await expectAllWhole(later)
		return (await runsOf(hostId)) === before
	})
	await expectAllWhole(started)
	expect(await exit).toEqual({code: 0, signal: null})
})

proves("stop: entry with running drafts", async () => {
	const started = startDrafts(entry, 12, 100)
	await bed.until("drafts run", async () => {
		const truths = await bed.engineTruths()
		return truths.some(truth => Object.keys(truth.runsById).length > 0)
	})
	const exit = bed.deployment.child("entry-1").terminate()
	await expectAllWhole(started)
	expect(await exit).toEqual({code: 0, signal: null})
})

proves("stop: service host with a running booking", async () => {
	await bed.serviceFaults({callMs: 1500})
	const first = book(entry, "stop-1", {key: "k-stop"})
	const host = await bed.findBusyService()
	const exit = bed.deployment.child(host).terminate()
	const answered = await first
	expect(answered.end).toBe(End.Whole)
	expect(await exit).toEqual({code: 0, signal: null})
	const second = await book(otherEntry, "stop-1", {key: "k-stop"})
	expect(second.end).toBe(End.Whole)
	expect(second.body).toBe(answered.body)
	expect(await bed.countBookings("stop-1")).toBe(1)
})

proves("stop: all endpoint hosts one after the other under load", async () => {
	const hosts = bed.deployment.endpoints.filter(({pool}) => pool === enginePool)
	const started: Started[] = []
	for (const {id} of hosts) {
		started.push(...startDrafts(entry, 10, 60))
		const child = bed.deployment.child(id)
		const exit = child.terminate()
		started.push(...startDrafts(otherEntry, 10, 60))
		expect(await exit).toEqual({code: 0, signal: null})
		child.start()
		await bed.deployment.waitReady([id])
	}
	await expectAllWhole(started)
	expect(await bed.countEvictedInUse()).toBe(0)
})

proves("stop: only the lagging list says leaving", async () => {
	const hostId = `${enginePool}-2`
	await bed.deployment.setHostState(hostId, HostState.Leaving)
	await bed.until("the host gets no new work", async () => {
		const before = await runsOf(hostId)
		await expectAllWhole(startDrafts(entry, 12, 10))
		await expectAllWhole(startDrafts(otherEntry, 12, 10))
		return (await runsOf(hostId)) === before
	})
	const before = await runsOf(hostId)
	await expectAllWhole(startDrafts(otherEntry, 24, 10))
	expect(await runsOf(hostId)).toBe(before)
	await bed.deployment.setHostState(hostId, HostState.Live)
})
