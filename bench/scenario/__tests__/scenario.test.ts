import {describe, expect, it} from "vitest"
import {DeploymentName} from "../../deployment/index.js"
import {
	CallEnd,
	type CallKind,
	CallType,
	type PlannedCall
} from "../../load/index.js"
import {listCallKinds, scenarios, shareOfDrafts} from "../scenarios.js"
import {countViolations, EndRecord, type Truth} from "../truth.js"

const kind: CallKind = {
	type: CallType.Submission,
	route: "bookings",
	share: 1,
	windowMs: 1000,
	path: "/bookings"
}

function callOf(id: string): PlannedCall {
	const model = {model: "", source: ""}
	return {atMs: 0, id, kind, member: "m", model, prompt: "", maxTokens: 1}
}

function truthOf(...runsByKey: Record<string, number>[]): Truth {
	return {
		at: 0,
		engines: [],
		services: runsByKey.map(runs => ({runs: 0, runsByKey: runs})),
		platform: {
			reads: 0,
			writes: 0,
			refused: 0,
			readsByKind: {},
			writesByKind: {}
		},
		weightStore: {loads: 0, failed: 0, peakInFlight: 0}
	}
}

const whole = {elapsedMs: 1, sends: 1, reason: ""}

describe("EndRecord", () => {
	it("finds nothing when calls and runs agree", () => {
		const ends = new EndRecord()
		ends.add(callOf("a"), {...whole, end: CallEnd.Answered})
		ends.add(callOf("b"), {...whole, end: CallEnd.NotRun})
		ends.add(callOf("c"), {...whole, end: CallEnd.Unknown})
		const violations = ends.check(truthOf({"key-a": 1}, {"key-c": 1}))
		expect(countViolations(violations)).toBe(0)
	})

	it("finds a key that ran at two services", () => {
		const violations = new EndRecord().check(
			truthOf({"key-a": 1}, {"key-a": 1})
		)
		expect(violations.ranTwice).toBe(1)
	})

	it("finds a call refused as not run that ran", () => {
		const ends = new EndRecord()
		ends.add(callOf("a"), {...whole, end: CallEnd.NotRun})
		ends.add(callOf("b"), {...whole, end: CallEnd.NotRun, sends: 2})
		const violations = ends.check(truthOf({"key-a": 1, "key-b": 1}))
		expect(violations.ranThoughNotRun).toBe(1)
	})

	it("finds an answer without a run, and wrong answers", () => {
		const ends = new EndRecord()
		ends.add(callOf("a"), {...whole, end: CallEnd.Late})
		ends.add(callOf("b"), {...whole, end: CallEnd.Wrong})
		expect(ends.check(truthOf({}))).toMatchObject({
			answeredWithoutRun: 1,
			wrongAnswers: 1
		})
	})
})

describe("scenarios", () => {
	it("have their steps in order and within the run", () => {
		for (const [name, scenario] of Object.entries(scenarios)) {
			expect(scenario.name).toBe(name)
			for (const steps of [scenario.faults, scenario.loadSteps]) {
				const shares = steps.map(step => step.atShare)
				expect(shares).toEqual([...shares].sort((a, b) => a - b))
				expect(shares.every(share => share >= 0 && share < 1)).toBe(true)
			}
		}
	})

	it("use four routes of each deployment", () => {
		for (const name of Object.values(DeploymentName)) {
			const kinds = listCallKinds(name, scenarios["lunch-crowd"].mix)
			expect(new Set(kinds.map(one => one.route)).size).toBe(4)
		}
		expect(shareOfDrafts(scenarios["lunch-crowd"].mix)).toBeCloseTo(0.7)
	})
})
