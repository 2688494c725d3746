import {afterAll, afterEach, beforeAll, expect} from "vitest"
import {Bed, bedConfiguration} from "./bed.js"
import {draft, End, expectedDraft} from "./caller.js"
import {proves} from "./proves.js"

let bed: Bed
let entry = ""
let otherEntry = ""
let nextAdapter = 0

beforeAll(async () => {
	bed = await Bed.start()
	;[entry = "", otherEntry = ""] = bed.deployment.entryUrls
})

afterAll(async () => {
	await bed.stop()
})

afterEach(async () => {
	await bed.platformFault({outage: false, staleReadMs: 0, watchGap: false})
	await bed.restore()
})

/** Applies a configuration with one more adapter than before. */
async function applyNext(): Promise<number> {
	nextAdapter += 1
	const extra = Array.from({length: nextAdapter}, (_, i) => `extra-${i}`)
	return bed.apply(bedConfiguration(extra))
}

async function readGenerations(): Promise<number[]> {
	const names = bed.deployment.programNames
	return Promise.all(names.map(name => bed.generationOf(name)))
}

async function waitInForce(generation: number): Promise<void> {
	await bed.until(`generation ${generation} is in force`, async () => {
		const generations = await readGenerations()
		return generations.every(seen => seen === generation)
	})
}

proves("configuration: applied while requests run", async () => {
	const options = {adapter: "a-0", prompt: "running", maxTokens: 150}
	const running = draft(entry, options)
	const generation = await applyNext()
	await waitInForce(generation)
	const added = `extra-${nextAdapter - 1}`
	const fresh = {adapter: added, prompt: "new", maxTokens: 10}
	const result = await draft(otherEntry, fresh)
	expect(result.text).toBe(expectedDraft(fresh))
	expect((await running).text).toBe(expectedDraft(options))
})

proves("configuration: platform down right after acceptance", async () => {
	// Entries then learn of a root by reading it again, not from a watch.
	await bed.platformFault({watchGap: true})
	const generation = await applyNext()
	await bed.platformFault({outage: true})
	await bed.handOver()
	await waitInForce(generation)
})

proves("configuration: processes restart in an outage", async () => {
	const generation = await applyNext()
	await waitInForce(generation)
	await bed.platformFault({outage: true})
	const names = ["entry-1", "writers-1", "desk-1"]
	for (const name of names) await bed.deployment.child(name).restart()
	await bed.deployment.waitReady(names)
	expect(await readGenerations()).toEqual(
		bed.deployment.programNames.map(() => generation)
	)
	const options = {adapter: "a-1", prompt: "outage", maxTokens: 10}
	const result = await draft(entry, options)
	expect(result).toMatchObject({end: End.Whole, text: expectedDraft(options)})
})

proves("configuration: platform returns with a stale replica", async () => {
	const generation = await applyNext()
	await waitInForce(generation)
	await bed.platformFault({staleReadMs: 3_600_000})
	const names = ["entry-2", "writers-2"]
	for (const name of names) await bed.deployment.child(name).restart()
	await bed.deployment.waitReady(names)
	expect(await readGenerations()).toEqual(
		bed.deployment.programNames.map(() => generation)
	)
})

proves("configuration: watch misses events", async () => {
	await bed.platformFault({watchGap: true})
	const generation = await applyNext()
	await waitInForce(generation)
})

proves("configuration: adapter removed while requests run", async () => {
	await bed.apply(bedConfiguration(["removed"]))
	const options = {adapter: "removed", prompt: "last", maxTokens: 150}
	let text = ""
	await bed.until("the adapter is known", async () => {
		const probe = await draft(entry, {...options, maxTokens: 1})
		return probe.end === End.Whole
	})
	const running = draft(entry, {
		...options,
		onText: sofar => {
			text = sofar
		}
	})
	await bed.until("the draft runs", () => text !== "")
	const generation = await bed.apply(bedConfiguration())
	await waitInForce(generation)
	const refused = await draft(otherEntry, options)
	expect(refused).toMatchObject({end: End.Rejected, reason: "model"})
	expect((await running).text).toBe(expectedDraft(options))
})
