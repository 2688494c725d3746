// Guards against removals that wait although no registration can have lapsed, and
// against the removal of live endpoints after an outage.
import {describe, expect, it} from "vitest"
import {StoreOutage} from "../storeOutage.js"

const heartbeatMs = 1000

/** Fails between two calls that the store serves, and returns the deadline. */
function interrupt(outage: StoreOutage, from: number, until: number): number {
	outage.recordServed(from)
	outage.recordFailure()
	outage.recordServed(until)
	return outage.lapsedUntil
}

describe("StoreOutage", () => {
	it("expects no lapse without a failure, however rare the calls", () => {
		const outage = new StoreOutage({heartbeatMs})
		outage.recordServed(0)
		outage.recordServed(60_000)
		expect(outage.lapsedUntil).toBe(Number.NEGATIVE_INFINITY)
	})

	it("expects no lapse after an outage of up to two heartbeats", () => {
		const outage = new StoreOutage({heartbeatMs})
		expect(interrupt(outage, 0, 2000)).toBe(Number.NEGATIVE_INFINITY)
	})

	it("expects live endpoints back two seconds after a longer one", () => {
		const outage = new StoreOutage({heartbeatMs})
		expect(interrupt(outage, 0, 2001)).toBe(4001)
	})

	it("doesn't extend that time for failures since the return", () => {
		const outage = new StoreOutage({heartbeatMs})
		interrupt(outage, 0, 3000)
		expect(interrupt(outage, 3500, 4500)).toBe(5000)
	})

	it("measures from the last call served, not from the last failure", () => {
		const outage = new StoreOutage({heartbeatMs})
		outage.recordServed(0)
		for (let n = 0; n < 5; n++) outage.recordFailure()
		outage.recordServed(2500)
		expect(outage.lapsedUntil).toBe(4500)
	})

	it("expects a lapse if it fails before it has served any call", () => {
		const outage = new StoreOutage({heartbeatMs})
		outage.recordFailure()
		outage.recordServed(100)
		expect(outage.lapsedUntil).toBe(2100)
	})
})
