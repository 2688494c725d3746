/** Runs a planned load in an open loop: arrivals never wait for answers. */
import {Agent} from "undici"
import {sleep} from "../../src/utils/common.js"
import {Balancer} from "./balancer.js"
import {Caller, CallEnd, type CallResult} from "./caller.js"
import type {PlannedCall} from "./plan.js"
import {type LoadSummary, LoadTally} from "./tally.js"

export interface RunLoadOptions {
	entryUrls: readonly string[]
	calls: readonly PlannedCall[]
	/** Calls that arrive earlier are sent but not counted. */
	warmupMs?: number
	/** Called when any call ends, the warm-up included. */
	onEnd?: (call: PlannedCall, result: CallResult) => void
}

/** Counted calls that arrived in one second. */
export interface SecondCounts {
	calls: number
	answered: number
}

export interface LoadResult {
	summary: LoadSummary
	/** By second of arrival, the warm-up included. */
	seconds: SecondCounts[]
}

const maxConnectionsPerEntry = 512
const msPerSecond = 1000

/** Sends every call at its time and waits for all to end. */
export async function runLoad({
	entryUrls,
	calls,
	warmupMs = 0,
	onEnd
}: RunLoadOptions): Promise<LoadResult> {
	const agent = new Agent({connections: maxConnectionsPerEntry, pipelining: 1})
	const balancer = new Balancer(entryUrls)
	const caller = new Caller({
		agent,
		entryUrls,
		isReady: url => balancer.isReady(url)
	})
	const tally = new LoadTally()
	const seconds: SecondCounts[] = []

	const record = (call: PlannedCall, result: CallResult): void => {
		countSecond(seconds, call, result)
		if (call.atMs >= warmupMs) tally.add(call, result)
		onEnd?.(call, result)
	}

	const startedAt = Date.now()
	const running: Promise<void>[] = []
	for (const call of calls) {
		const waitMs = startedAt + call.atMs - Date.now()
		if (waitMs > 0) await sleep(waitMs)
		const ended = caller.send(call).then(result => {
			record(call, result)
		})
		running.push(ended)
	}
	await Promise.all(running)
	balancer.close()
	await agent.destroy()
	return {summary: tally.summarize(), seconds}
}

function countSecond(
	seconds: SecondCounts[],
	{atMs}: PlannedCall,
	{end}: CallResult
): void {
	const index = Math.floor(atMs / msPerSecond)
	while (seconds.length <= index) seconds.push({calls: 0, answered: 0})
	const counts = seconds[index]
	if (counts === undefined) return
	counts.calls += 1
	if (end === CallEnd.Answered) counts.answered += 1
}
