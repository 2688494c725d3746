import {afterAll, afterEach, beforeAll, expect} from "vitest"
import {TestBed} from "./testBed.js"
import {
	streamDraft,
	type DraftOptions,
	RequestEnd,
	computeExpectedText,
	resumeStream,
	type StreamResult
} from "./caller.js"
import {testCell} from "./testCell.js"

let bed: TestBed
let entry = ""
let otherEntry = ""
let nextPrompt = 0

const longDraftTokens = 150

beforeAll(async () => {
	bed = await TestBed.start()
	;[entry = "", otherEntry = ""] = bed.deployment.entryUrls
})

afterAll(async () => {
	await bed.stop()
})

afterEach(async () => {
	await bed.setPlatformFaults({outage: false})
	await bed.setFaults(bed.deployment.weightStoreUrl, {
		failNext: 0,
		failRatio: 0
	})
	await bed.setEngineFaults({hang: false, wrongEcho: false, failLoads: 0})
	await bed.restoreProcesses()
	expect(await bed.countEvictedInUse()).toBe(0)
})

/** Uses a new prompt, so that every draft has a different expected text. */
function createDraftOptions(options: DraftOptions = {}): DraftOptions {
	nextPrompt += 1
	return {prompt: `order ${nextPrompt}`, maxTokens: longDraftTokens, ...options}
}

interface RunningDraft {
	hostId: string
	result: Promise<StreamResult>
}

/** Starts a draft and waits until its first text arrives. */
async function startDraft(
	url: string,
	options: DraftOptions
): Promise<RunningDraft> {
	let hostId = ""
	const result = streamDraft(url, {
		...options,
		onText: (_text, host) => {
			hostId = host
		}
	})
	await bed.waitUntil("the first text arrives", () => hostId !== "")
	return {hostId, result}
}

function findEngineUrl(hostId: string): string {
	const host = bed.deployment.endpoints.find(({id}) => id === hostId)
	return host?.workerUrls[0] ?? ""
}

function expectComplete(result: StreamResult, options: DraftOptions): void {
	expect(result.reason).toBe("")
	expect(result.end).toBe(RequestEnd.Complete)
	expect(result.text).toBe(computeExpectedText(options))
}

testCell("draft: endpoint process killed mid-stream", async () => {
	const options = createDraftOptions()
	const {hostId, result} = await startDraft(entry, options)
	await bed.deployment.child(hostId).kill()
	expectComplete(await result, options)
})

testCell("draft: endpoint process frozen mid-stream", async () => {
	const options = createDraftOptions({adapter: "a-1"})
	const {hostId, result} = await startDraft(entry, options)
	bed.deployment.child(hostId).freeze()
	expectComplete(await result, options)
})

testCell("draft: entry killed mid-stream", async () => {
	const options = createDraftOptions({
		adapter: "a-2",
		requestId: "entry-killed"
	})
	const {hostId, result} = await startDraft(entry, options)
	await bed.deployment.child("entry-1").kill()
	const cut = await result
	expect(cut.end).toBe(RequestEnd.Cut)
	const streamId = `${hostId}~entry-killed`
	const rest = await resumeStream(
		otherEntry,
		streamId,
		cut.text.length,
		options
	)
	expect(rest.end).toBe(RequestEnd.Complete)
	expect(cut.text + rest.text).toBe(computeExpectedText(options))
})

testCell("draft: another Member resumes the stream", async () => {
	const options = createDraftOptions({adapter: "a-2", requestId: "foreign"})
	const {hostId, result} = await startDraft(entry, options)
	const otherMemberOptions = {...options, member: "club-2"}
	const rejected = await resumeStream(
		otherEntry,
		`${hostId}~foreign`,
		0,
		otherMemberOptions
	)
	expect(rejected).toMatchObject({end: RequestEnd.NotRun, text: ""})
	expectComplete(await result, options)
})

testCell("draft: engine restarts cold mid-stream", async () => {
	const options = createDraftOptions({adapter: "a-3"})
	const {hostId, result} = await startDraft(entry, options)
	await bed.setFaults(findEngineUrl(hostId), {coldRestart: true})
	expectComplete(await result, options)
})

testCell("draft: engine restarts cold twice", async () => {
	const options = createDraftOptions({adapter: "a-4"})
	const {hostId, result} = await startDraft(entry, options)
	await bed.setFaults(findEngineUrl(hostId), {coldRestart: true})
	await bed.setEngineFaults({coldRestart: true})
	expectComplete(await result, options)
})

testCell("draft: engine cuts the stream", async () => {
	const adapter = "a-5"
	const {hostId} = await streamDraft(
		entry,
		createDraftOptions({adapter, maxTokens: 1})
	)
	await bed.setFaults(findEngineUrl(hostId), {cutStreamsAfter: 5})
	const options = createDraftOptions({adapter})
	expectComplete(await streamDraft(entry, options), options)
})

testCell("draft: engine drops an event", async () => {
	const options = createDraftOptions({adapter: "a-6"})
	await bed.setEngineFaults({dropEvent: true})
	expectComplete(await streamDraft(entry, options), options)
})

testCell("draft: engine answers for another adapter", async () => {
	const options = createDraftOptions({adapter: "a-7", timeoutMs: 8000})
	await bed.setEngineFaults({wrongEcho: true})
	const wrong = await streamDraft(entry, options)
	expect(wrong.end).not.toBe(RequestEnd.Complete)
	expect(wrong.text).toBe("")
})

testCell("draft: adapter loads fail", async () => {
	const options = createDraftOptions({adapter: "a-8"})
	await bed.setFaults(bed.deployment.weightStoreUrl, {failNext: 3})
	expectComplete(await streamDraft(entry, options), options)
})

testCell("draft: platform down", async () => {
	const options = createDraftOptions({adapter: "a-9"})
	await bed.setPlatformFaults({outage: true})
	expectComplete(await streamDraft(entry, options), options)
})

testCell("draft: more adapters than slots", async () => {
	const all = Array.from({length: 24}, (_, index) =>
		createDraftOptions({adapter: `a-${index}`, maxTokens: 30})
	)
	const results = await Promise.all(
		all.map((options, index) =>
			streamDraft(index % 2 === 0 ? entry : otherEntry, options)
		)
	)
	results.forEach((result, index) => {
		expectComplete(result, all[index] ?? {})
	})
})

testCell("draft: deadline that cannot be met", async () => {
	const options = createDraftOptions({maxTokens: 4000, timeoutMs: 10_000})
	const result = await streamDraft(entry, options)
	expect(result).toMatchObject({end: RequestEnd.NotRun, text: ""})
	expect(result.reason).toBe("deadline_cannot_be_met")
})
