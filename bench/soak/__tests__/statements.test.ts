import {describe, expect, it} from "vitest"
import type {WorkerArrival} from "../../../standins/fleet/index.js"
import {CallEnd, type CallRecord} from "../callers.js"
import {judgeStatements} from "../statements.js"

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
	return {requestId, worker, at, isLeaving: false, pausedUntil: 0, ...statement}
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
})
