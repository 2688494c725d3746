/** What an entry is told of a generation that is refused after a lost run. */
import {create} from "@bufbuild/protobuf"
import {expect, test} from "vitest"
import {type RunEvent, RunRequestSchema} from "../../contract/gen/link_pb.js"
import {
	type Scheduler,
	SchedulerActionKind,
	type SchedulerEvent,
	SchedulerEventKind
} from "../../policy/index.js"
import {EngineHost} from "../engineHost.js"
import {RunEnd} from "../engineWorker.js"

/** Runs a generation whose runs end as given; then the host leaves. */
async function runAndLeave(ends: RunEnd[]): Promise<string | undefined> {
	const scheduler = {
		step: (event: SchedulerEvent) => {
			if (event.kind !== SchedulerEventKind.Arrived) return []
			const {id} = event.draft
			const kind = SchedulerActionKind.Run
			return [{kind, worker: "e-1", id, loadStallMs: 0}]
		}
	}
	const left = [...ends]
	const worker = {
		run: () =>
			Promise.resolve({end: left.shift(), detail: "", last: undefined}),
		confirmStopped: () => {
			if (left.length === 0) void host.drain()
			return Promise.resolve()
		}
	}
	const host: EngineHost = new EngineHost({
		hostId: "h-1",
		incarnation: 1,
		scheduler: scheduler as object as Scheduler,
		workers: new Map([["e-1", worker as never]]),
		counters: {add: () => undefined, time: () => undefined} as never,
		log: {} as never,
		onChange: () => undefined
	})
	const req = create(RunRequestSchema, {
		requestId: "r1",
		idempotent: true,
		deadlineMs: Date.now() + 5000
	})
	const last = await new Promise<RunEvent>(resolve => {
		host.run(req, (event, isLast) => {
			if (isLast) resolve(event)
		})
	})
	host.close()
	return last.event.case
}

test("a refusal after a run that was lost doesn't say that it has not run", async () => {
	expect(await runAndLeave([RunEnd.LostBeforeText])).toBe("unknown")
})

test("a refusal after the engine refused it says that it has not run", async () => {
	expect(await runAndLeave([RunEnd.Refused])).toBe("notRun")
})

test("the engine's refusal after a lost run is an unknown outcome", async () => {
	const {LostBeforeText, Refused} = RunEnd
	const ends = [LostBeforeText, Refused, Refused]
	expect(await runAndLeave(ends)).toBe("unknown")
})
