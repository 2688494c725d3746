import {describe, expect, it} from "vitest"
import {getStartLimits, type StartLimitsOptions} from "../startLimits.js"

const arrived: StartLimitsOptions = {
	now: 1500,
	arrivedAt: 1000,
	deadline: 9000,
	objectiveMs: 800,
	eventGapMs: 300,
	mayHaveRun: false,
	hasStarted: false
}

describe("getStartLimits", () => {
	it("counts from the arrival until an engine may have run the request", () => {
		expect(getStartLimits(arrived)).toEqual({objectiveAt: 1800, startBy: 3000})
		const later = {...arrived, now: 2900}
		expect(getStartLimits(later)).toEqual(getStartLimits(arrived))
	})

	it("leaves a part of a short time to the events that follow", () => {
		const {startBy} = getStartLimits({...arrived, deadline: 2000})
		expect(startBy).toBe(1600)
	})

	it("gives a resumption the same time again, within the deadline", () => {
		const resumed = {...arrived, mayHaveRun: true}
		expect(getStartLimits(resumed).startBy).toBe(3500)
		expect(getStartLimits({...resumed, now: 8000}).startBy).toBe(8600)
	})

	it("expects the next event of a begun stream within the event gap", () => {
		const begun = {...arrived, mayHaveRun: true, hasStarted: true}
		expect(getStartLimits(begun).objectiveAt).toBe(1800)
		expect(getStartLimits({...begun, now: 5000}).objectiveAt).toBe(5300)
	})
})
