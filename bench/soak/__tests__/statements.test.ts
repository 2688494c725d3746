import {describe, expect, it} from "vitest"
import type {WorkerArrival} from "../../../standins/fleet/index.js"
import {CallEnd, type CallRecord} from "../callers.js"
import {
	judgeStatements as judge,
	type StatementEvidence
} from "../statements.js"

function judgeStatements(
	evidence: Omit<StatementEvidence, "deadlyCrashes">,
	deadlyCrashes: number[] = []
): string[] {
	return judge({...evidence, deadlyCrashes})
}

function createRecord(id: string, sentAt: number): CallRecord {
	const gateway = "g1"
	const end = CallEnd.Answered
	return {id, gateway, kind: "book", end, sentAt, endedAt: sentAt, status: 200}
}

function createArrival(
	requestId: string,
	at: number,
	statement: Partial<WorkerArrival> = {}
): WorkerArrival {
	const worker = "desk1 (1)"
	const none = {
		isLeaving: false,
		pausedUntil: 0,
		perSecond: 0,
		isDeadly: false,
		member: undefined,
		hasCredential: false
	}
	return {requestId, worker, at, ...none, ...statement}
}

describe("judgeStatements", () => {
	const records = [0, 100, 2050, 2150].map((at, n) => createRecord(`c${n}`, at))

	it("finds a request that was sent to a leaving worker after the drain", () => {
		const arrivals = [
			createArrival("c0", 100, {isLeaving: true}),
			createArrival("c2", 2060),
			createArrival("c3", 2160)
		]
		const evidence = {records, arrivals, disturbances: []}
		expect(judgeStatements(evidence)).toEqual(["c3: sent to leaving desk1 (1)"])
		const disturbances = [{gateway: "g1", at: 500}]
		expect(judgeStatements({...evidence, disturbances})).toEqual([])
	})

	it("finds more requests of all gateways than a worker takes", () => {
		const many = Array.from({length: 20}, (_, n) => ({
			...createRecord(`m${n}`, 3300 + n * 100),
			gateway: `g${n % 4}`
		}))
		const first = many.slice(0, 4).map(({gateway}, n) => ({
			...createRecord(`f${n}`, 0),
			gateway
		}))
		const arrivals = [...first, ...many].map(({id, sentAt}) =>
			createArrival(id, sentAt, {perSecond: 2})
		)
		const evidence = {records: [...first, ...many], arrivals}
		expect(judgeStatements({...evidence, disturbances: []})).toEqual([
			"20 requests to desk1 (1), which takes 2 a second"
		])
		const disturbances = [{gateway: "g1", at: 3000}]
		expect(judgeStatements({...evidence, disturbances})).toEqual([
			expect.stringContaining("18 requests")
		])
		const fewer = arrivals.filter((_, n) => n < 4 || n % 2 === 0)
		const calm = {...evidence, arrivals: fewer, disturbances: []}
		expect(judgeStatements(calm)).toEqual([])
	})

	it("finds more than two requests during a pause", () => {
		const pausedUntil = 3000
		const arrivals = [
			createArrival("c0", 0, {pausedUntil}),
			createArrival("c1", 100),
			createArrival("c2", 2060),
			createArrival("c3", 2160)
		]
		const evidence = {records, arrivals, disturbances: []}
		expect(judgeStatements(evidence)).toEqual([])
		const more = [...arrivals, createArrival("c3", 2200)]
		expect(judgeStatements({...evidence, arrivals: more})).toEqual([
			"3 requests to desk1 (1) during its pause"
		])
	})

	it("finds prompts that reach workers after they crashed five", () => {
		const crashes = [0, 100, 200, 300, 400]
		const late = Array.from({length: 6}, (_, n) =>
			createRecord(`d${n}`, 3300 + n * 100)
		)
		const arrivals = late.map(({id, sentAt}) =>
			createArrival(id, sentAt, {isDeadly: true})
		)
		const evidence = {records: late, arrivals, disturbances: []}
		expect(judgeStatements(evidence, crashes)).toEqual([
			expect.stringContaining("4 requests with a part that had crashed")
		])
		expect(judgeStatements(evidence, crashes.slice(1))).toEqual([])
		const disturbances = [{gateway: "g1", at: 3000}]
		expect(judgeStatements({...evidence, disturbances}, crashes)).toEqual([])
	})
})
