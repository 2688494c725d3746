import {afterAll, afterEach, beforeAll, expect} from "vitest"
import {Bed} from "./bed.js"
import {
	draft,
	type DraftOptions,
	End,
	expectedDraft,
	resume,
	type StreamResult
} from "./caller.js"
import {proves} from "./proves.js"

let bed: Bed
let entry = ""
let otherEntry = ""
let nextPrompt = 0

const longTokens = 150

beforeAll(async () => {
	bed = await Bed.start()
	;[entry = "", otherEntry = ""] = bed.deployment.entryUrls
})

afterAll(async () => {
	await bed.stop()
})

afterEach(async () => {
	await bed.platformFault({outage: false})
	await bed.fault(bed.deployment.weightStoreUrl, {failNext: 0, failRatio: 0})
	await bed.engineFaults({hang: false, wrongEcho: false, failLoads: 0})
	await bed.restore()
	expect(await bed.countEvictedInUse()).toBe(0)
})

/** A prompt of its own, so that no answer can be mistaken for another. */
function newDraft(options: DraftOptions = {}): DraftOptions {
	nextPrompt += 1
	return {prompt: `order ${nextPrompt}`, maxTokens: longTokens, ...options}
}

interface RunningDraft {
	hostId: string
	result: Promise<StreamResult>
}

/** Starts a draft and waits for its first text. */
async function startDraft(
	url: string,
	options: DraftOptions
): Promise<RunningDraft> {
	let hostId = ""
	const result = draft(url, {
		...options,
		onText: (_text, host) => {
			hostId = host
		}
	})
	await bed.until("the first text arrives", () => hostId !== "")
	return {hostId, result}
}

function engineUrlOf(hostId: string): string {
	const host = bed.deployment.endpoints.find(({id}) => id === hostId)
	return host?.workerUrls[0] ?? ""
}

function expectWhole(result: StreamResult, options: DraftOptions): void {
	expect(result.reason).toBe("")
	expect(result.end).toBe(End.Whole)
	expect(result.text).toBe(expectedDraft(options))
}

proves("draft: endpoint process killed mid-stream", async () => {
	const options = newDraft()
	const {hostId, result} = await startDraft(entry, options)
	await bed.deployment.child(hostId).kill()
	expectWhole(await result, options)
})

proves("draft: endpoint process frozen mid-stream", async () => {
	const options = newDraft({adapter: "a-1"})
	const {hostId, result} = await startDraft(entry, options)
	bed.deployment.child(hostId).freeze()
	expectWhole(await result, options)
})

proves("draft: entry killed mid-stream", async () => {
	const options = newDraft({adapter: "a-2", requestId: "entry-killed"})
	const {hostId, result} = await startDraft(entry, options)
	await bed.deployment.child("entry-1").kill()
	const cut = await result
	expect(cut.end).toBe(End.Cut)
	const streamId = `${hostId}~entry-killed`
	const rest = await resume(otherEntry, streamId, cut.text.length, options)
	expect(rest.end).toBe(End.Whole)
	expect(cut.text + rest.text).toBe(expectedDraft(options))
})

proves("draft: another Member resumes the stream", async () => {
	const options = newDraft({adapter: "a-2", requestId: "foreign"})
	const {hostId, result} = await startDraft(entry, options)
	const thief = {...options, member: "club-2"}
	const stolen = await resume(otherEntry, `${hostId}~foreign`, 0, thief)
	expect(stolen).toMatchObject({end: End.NotRun, text: ""})
	expectWhole(await result, options)
})

proves("draft: engine restarts cold mid-stream", async () => {
	const options = newDraft({adapter: "a-3"})
	const {hostId, result} = await startDraft(entry, options)
	await bed.fault(engineUrlOf(hostId), {coldRestart: true})
	expectWhole(await result, options)
})

proves("draft: engine restarts cold twice", async () => {
	const options = newDraft({adapter: "a-4"})
	const {hostId, result} = await startDraft(entry, options)
	await bed.fault(engineUrlOf(hostId), {coldRestart: true})
	await bed.engineFaults({coldRestart: true})
	expectWhole(await result, options)
})

proves("draft: engine cuts the stream", async () => {
	const adapter = "a-5"
	const {hostId} = await draft(entry, newDraft({adapter, maxTokens: 1}))
	await bed.fault(engineUrlOf(hostId), {cutStreamsAfter: 5})
	const options = newDraft({adapter})
	expectWhole(await draft(entry, options), options)
})

proves("draft: engine drops an event", async () => {
	const options = newDraft({adapter: "a-6"})
	await bed.engineFaults({dropEvent: true})
	expectWhole(await draft(entry, options), options)
})

proves("draft: engine answers for another adapter", async () => {
	const options = newDraft({adapter: "a-7", timeoutMs: 8000})
	await bed.engineFaults({wrongEcho: true})
	const wrong = await draft(entry, options)
	expect(wrong.end).not.toBe(End.Whole)
	expect(wrong.text).toBe("")
})

proves("draft: adapter loads fail", async () => {
	const options = newDraft({adapter: "a-8"})
	await bed.fault(bed.deployment.weightStoreUrl, {failNext: 3})
	expectWhole(await draft(entry, options), options)
})

proves("draft: platform down", async () => {
	const options = newDraft({adapter: "a-9"})
	await bed.platformFault({outage: true})
	expectWhole(await draft(entry, options), options)
})

proves("draft: more adapters than slots", async () => {
	const all = Array.from({length: 24}, (_, index) =>
		newDraft({adapter: `a-${index}`, maxTokens: 30})
	)
	const results = await Promise.all(
		all.map((options, index) =>
			draft(index % 2 === 0 ? entry : otherEntry, options)
		)
	)
	results.forEach((result, index) => {
		expectWhole(result, all[index] ?? {})
	})
})

proves("draft: deadline that cannot be met", async () => {
	const options = newDraft({maxTokens: 4000, timeoutMs: 10_000})
	const result = await draft(entry, options)
	expect(result).toMatchObject({end: End.NotRun, text: ""})
	expect(result.reason).toBe("deadline_cannot_be_met")
})
