/** What the caller of a generation is told after several attempts. */
import {create} from "@bufbuild/protobuf"
import {EventEmitter} from "node:events"
import {expect, test} from "vitest"
import {
	NotRunReason,
	RunEventSchema,
	RunRequestSchema
} from "../../contract/gen/link_pb.js"
import {createNotRunEvent} from "../../endpoint/generation.js"
import type {Router} from "../../policy/index.js"
import {GenerationCall} from "../generationCall.js"
import {OutcomeKind} from "../outcome.js"

type Answer = (stream: EventEmitter) => void

/** Runs a call whose attempts end as given, each on a host of its own. */
async function run(answers: Answer[]): Promise<OutcomeKind | undefined> {
	const hostIds = answers.map((_, index) => `h-${index}`)
	const createLink = (hostId: string): unknown => ({
		hostId,
		onSuspect: () => () => undefined,
		run: () => {
			const stream = Object.assign(new EventEmitter(), {
				cancel: () => undefined
			})
			const answer = answers[hostIds.indexOf(hostId)]
			setImmediate(() => answer?.(stream))
			return stream
		}
	})
	const router = {
		choose: ({excluded}: {excluded: ReadonlySet<string>}) =>
			hostIds.filter(id => !excluded.has(id))
	}
	const call = new GenerationCall({
		route: {pool: "p", idempotent: true, maxAttempts: 2} as never,
		req: create(RunRequestSchema, {}),
		adapter: "a",
		query: {deadline: Date.now() + 5000} as never,
		fleet: {listEndpointViews: () => [], getLink: createLink} as never,
		router: router as object as Router,
		budget: {addRequest: () => undefined, tryRetry: () => true} as never,
		counters: {add: () => undefined} as never,
		sink: {} as never,
		signal: new AbortController().signal
	})
	return (await call.run())?.kind
}

const lose: Answer = stream => stream.emit("error", new Error("link lost"))
const refuse: Answer = stream => {
	const event = createNotRunEvent(NotRunReason.DEADLINE, "too late")
	stream.emit("data", create(RunEventSchema, {event}))
}

test("a refusal after an attempt that may have run is no statement for both", async () => {
	expect(await run([lose, refuse])).toBe(OutcomeKind.Unknown)
})

test("a refusal of each attempt says that the request has not run", async () => {
	expect(await run([refuse])).toBe(OutcomeKind.NotRun)
})
