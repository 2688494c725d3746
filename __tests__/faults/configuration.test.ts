import {afterAll, afterEach, beforeAll, expect} from "vitest"
import {TestBed, createTestBedFiles} from "./testBed.js"
import {streamDraft, RequestEnd, computeExpectedText} from "./caller.js"
import {testCell} from "./testCell.js"

let bed: TestBed
let entry = ""
let otherEntry = ""
let nextAdapter = 0

beforeAll(async () => {
	bed = await TestBed.start()
	;[entry = "", otherEntry = ""] = bed.deployment.entryUrls
})

afterAll(async () => {
	await bed.stop()
})

afterEach(async () => {
	await bed.setPlatformFaults({outage: false, staleReadMs: 0, watchGap: false})
	await bed.restoreProcesses()
})

/** Applies a configuration with one more adapter than the last one. */
async function applyWithNextAdapter(): Promise<number> {
	nextAdapter += 1
	const extra = Array.from({length: nextAdapter}, (_, i) => `extra-${i}`)
	return bed.apply(createTestBedFiles(extra))
}

async function readGenerations(): Promise<number[]> {
	const names = bed.deployment.programNames
	return Promise.all(names.map(name => bed.readGeneration(name)))
}

async function waitUntilInForce(generation: number): Promise<void> {
	await bed.waitUntil(`generation ${generation} is in force`, async () => {
		const generations = await readGenerations()
		return generations.every(seen => seen === generation)
	})
}

testCell("configuration: applied while requests run", async () => {
	const options = {adapter: "a-0", prompt: "running", maxTokens: 150}
	const running = streamDraft(entry, options)
	const generation = await applyWithNextAdapter()
	await waitUntilInForce(generation)
	const added = `extra-${nextAdapter - 1}`
	const fresh = {adapter: added, prompt: "new", maxTokens: 10}
	const result = await streamDraft(otherEntry, fresh)
	expect(result.text).toBe(computeExpectedText(fresh))
	expect((await running).text).toBe(computeExpectedText(options))
})

testCell("configuration: platform down right after acceptance", async () => {
	// Every watch gets 410, so none delivers the new root before the outage: the
	// entries get it only from the operator's hand-over.
	await bed.setPlatformFaults({watchGap: true})
	const generation = await applyWithNextAdapter()
	await bed.setPlatformFaults({outage: true})
	await bed.offerConfiguration()
	await waitUntilInForce(generation)
})

testCell("configuration: processes restart in an outage", async () => {
	const generation = await applyWithNextAdapter()
	await waitUntilInForce(generation)
	await bed.setPlatformFaults({outage: true})
	const names = ["entry-1", "writers-1", "desk-1"]
	for (const name of names) await bed.deployment.child(name).restart()
	await bed.deployment.waitReady(names)
	expect(await readGenerations()).toEqual(
		bed.deployment.programNames.map(() => generation)
	)
	const options = {adapter: "a-1", prompt: "outage", maxTokens: 10}
	const result = await streamDraft(entry, options)
	expect(result).toMatchObject({
		end: RequestEnd.Complete,
		text: computeExpectedText(options)
	})
})

testCell("configuration: platform returns with a stale replica", async () => {
	const generation = await applyWithNextAdapter()
	await waitUntilInForce(generation)
	await bed.setPlatformFaults({staleReadMs: 3_600_000})
	const names = ["entry-2", "writers-2"]
	for (const name of names) await bed.deployment.child(name).restart()
	await bed.deployment.waitReady(names)
	expect(await readGenerations()).toEqual(
		bed.deployment.programNames.map(() => generation)
	)
})

testCell("configuration: watch misses events", async () => {
	await bed.setPlatformFaults({watchGap: true})
	const generation = await applyWithNextAdapter()
	await waitUntilInForce(generation)
})

testCell("configuration: adapter removed while requests run", async () => {
	await bed.apply(createTestBedFiles(["removed"]))
	const options = {adapter: "removed", prompt: "last", maxTokens: 150}
	let text = ""
	await bed.waitUntil("the entry accepts the new adapter", async () => {
		const probe = await streamDraft(entry, {...options, maxTokens: 1})
		return probe.end === RequestEnd.Complete
	})
	const running = streamDraft(entry, {
		...options,
		onText: received => {
			text = received
		}
	})
	await bed.waitUntil("the first text arrives", () => text !== "")
	const generation = await bed.apply(createTestBedFiles())
	await waitUntilInForce(generation)
	const refused = await streamDraft(otherEntry, options)
	expect(refused).toMatchObject({end: RequestEnd.Rejected, reason: "model"})
	expect((await running).text).toBe(computeExpectedText(options))
})
