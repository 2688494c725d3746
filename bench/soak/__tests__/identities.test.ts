import {describe, expect, it} from "vitest"
import type {WorkerArrival, WorkerRun} from "../../../standins/fleet/index.js"
import {CallEnd, type CallRecord} from "../callers.js"
import {
	type ConfigRecord,
	type IdentityEvidence,
	judgeIdentities,
	type MemberRecord
} from "../identities.js"
import {SoakMembers} from "../members.js"

const bounds = {
	revokeMs: 5000,
	quotaWindowMs: 8000,
	quotaOverage: 0.1,
	quotaSlack: 100
}

function createMember(
	name: string,
	keys: string[],
	perSecond = 0
): MemberRecord {
	return {name, keys, quota: {plainTokens: 10, perSecond, burst: 0}}
}

function createCall(
	id: string,
	credential: string,
	sentAt: number,
	fields: Partial<CallRecord> = {}
): CallRecord {
	const call = {id, gateway: "g1", kind: "book", end: CallEnd.Answered}
	const times = {sentAt, endedAt: sentAt + 50, status: 200}
	return {...call, ...times, credential, ...fields}
}

function createRun(requestId: string, startedAt: number): WorkerRun {
	const worker = "desk1"
	return {requestId, worker, startedAt, adapter: "", isUnsafe: true}
}

function createArrival(
	requestId: string,
	member: string | undefined,
	hasCredential = false
): WorkerArrival {
	const none = {isLeaving: false, pausedUntil: 0, perSecond: 0}
	const worker = "desk1 (1)"
	return {
		...{requestId, worker, at: 0, isDeadly: false, ...none},
		...{member, hasCredential}
	}
}

const configs: ConfigRecord[] = [
	{at: 0, members: [createMember("m", ["old", "kept"])]},
	{at: 1000, members: [createMember("m", ["kept", "new"])]}
]

function judge(evidence: Partial<IdentityEvidence>): string[] {
	const none = {records: [], arrivals: [], runs: []}
	return judgeIdentities({...none, configs, bounds, ...evidence})
}

describe("judgeIdentities", () => {
	it("finds a run with a key that no configuration held", () => {
		const records = [createCall("a", "unknown", 10), createCall("b", "old", 10)]
		const runs = [createRun("a", 20), createRun("b", 20)]
		expect(judge({records, runs})).toEqual([
			"a: ran with a key that no configuration held"
		])
		const early = [createCall("a", "new", 900)]
		expect(judge({records: early, runs: [createRun("a", 950)]})).toHaveLength(1)
		expect(judge({records: early, runs: [createRun("a", 1050)]})).toEqual([])
	})

	it("finds a run that was sent too long after its key was withdrawn", () => {
		const records = [
			createCall("in-time", "old", 5990),
			createCall("late", "old", 6010),
			createCall("valid", "kept", 9000)
		]
		const runs = records.map(({id, sentAt}) => createRun(id, sentAt + 5))
		expect(judge({records, runs})).toEqual([
			"late: ran, sent 5010 ms after its key was withdrawn"
		])
		// A key that came back counts from its last withdrawal.
		const again = [
			...configs,
			{at: 4000, members: [createMember("m", ["old", "kept", "new"])]},
			{at: 5000, members: [createMember("m", ["kept", "new"])]}
		]
		expect(judge({records, runs, configs: again})).toEqual([])
	})

	it("finds keys and wrong names at workers", () => {
		const records = ["right", "wrong", "none", "leaked"].map(id =>
			createCall(id, "kept", 10)
		)
		const arrivals = [
			createArrival("right", "m"),
			createArrival("wrong", "other"),
			createArrival("none", undefined),
			createArrival("leaked", "m", true)
		]
		expect(judge({records, arrivals})).toEqual([
			"wrong: a worker was told other, not m",
			"none: a worker was told nobody, not m",
			"leaked: its key reached a worker"
		])
	})

	it("finds 401 for a key that was known throughout", () => {
		const rejected = {status: 401, end: CallEnd.Refused}
		const records = [
			createCall("kept", "kept", 10, rejected),
			createCall("withdrawn", "old", 1000, rejected),
			createCall("before", "old", 800, rejected),
			createCall("new", "new", 1500, rejected),
			createCall("known", "new", 6500, rejected)
		]
		expect(judge({records})).toEqual([
			"kept: 401 for a key that all configurations held",
			"before: 401 for a key that all configurations held",
			"known: 401 for a key that all configurations held"
		])
	})

	it("finds more than a quota in any window, whatever the request states", () => {
		// 8 s of 100 a second, and 10 in 100 and 100 more: 980.
		const limited = [{at: 0, members: [createMember("m", ["kept"], 100)]}]
		const records = Array.from({length: 100}, (_, n) =>
			createCall(`c${n}`, "kept", n * 100, n % 2 === 0 ? {tokens: 13} : {})
		)
		const runs = records.map(({id, sentAt}) => createRun(id, sentAt))
		const fits = runs.slice(0, 80)
		expect(judge({records, runs: fits, configs: limited})).toEqual([])
		const extra = Array.from({length: 7}, (_, n) =>
			createCall(`x${n}`, "kept", 7950)
		)
		expect(
			judge({
				records: [...records, ...extra],
				runs: [...runs, ...extra.map(({id}) => createRun(id, 7950))],
				configs: limited
			})
		).toEqual(["m: 990 ran in a window, 980 allowed"])
	})

	it("counts a request once, and gives a lower quota one window", () => {
		const members = (perSecond: number): MemberRecord[] => [
			createMember("m", ["kept"], perSecond)
		]
		const lowered = [
			{at: 0, members: members(100)},
			{at: 20_000, members: members(10)}
		]
		const at = (from: number): [CallRecord[], WorkerRun[]] => {
			const records = Array.from({length: 90}, (_, n) =>
				createCall(`c${n}`, "kept", from + n * 80)
			)
			const runs = records.flatMap(({id, sentAt}) => [
				createRun(id, sentAt),
				createRun(id, sentAt + 30)
			])
			return [records, runs]
		}
		const [records, runs] = at(21_000)
		expect(judge({records, runs, configs: lowered})).toEqual([])
		const [late, lateRuns] = at(36_100)
		expect(judge({records: late, runs: lateRuns, configs: lowered})).toEqual([
			"m: 900 ran in a window, 188 allowed"
		])
	})
})

describe("SoakMembers", () => {
	it("gives each key to one Member, and never again after it was withdrawn", () => {
		const members = new SoakMembers()
		const seen = new Map<string, string>()
		const withdrawn = new Set<string>()
		for (let n = 0; n < 20; n++) {
			if (n % 5 === 0) members.add()
			const before = members.list().flatMap(({keys}) => keys)
			members.rotateKey(members.list()[n % 3]?.name ?? "")
			const held = members.list().flatMap(({keys}) => keys)
			for (const key of before) if (!held.includes(key)) withdrawn.add(key)
			for (const {name, keys} of members.list()) {
				expect(keys).toHaveLength(2)
				for (const key of keys) {
					expect(seen.get(key) ?? name).toBe(name)
					expect(withdrawn.has(key)).toBe(false)
					seen.set(key, name)
				}
			}
		}
		expect(withdrawn.size).toBe(20)
	})

	it("sends unknown and withdrawn keys as refusable, others as known", () => {
		const members = new SoakMembers()
		members.rotateKey("ample")
		const held = members.list().flatMap(({keys}) => keys)
		let state = 1
		const random = (): number => {
			state = (state * 16_807) % 2_147_483_647
			return state / 2_147_483_647
		}
		const shown = Array.from({length: 2000}, (_, n) => members.draw(n, random))
		for (const {key, isRefusable} of shown)
			expect(isRefusable || held.includes(key)).toBe(true)
		expect(shown.some(({key}) => key === "ample-1")).toBe(true)
		expect(shown.some(({key}) => key.startsWith("unknown"))).toBe(true)
		expect(shown.every(({key}) => key !== "")).toBe(true)
	})
})
