import {describe, expect, it} from "vitest"
import {getViewLimits} from "../viewLimits.js"

/** Interval of the updates in which a gateway states the age of its view. */
const updateIntervalMs = 500

// Guards against gateways that rely on a view for longer than a change may take, and
// against ones that read the store although others read it for them.
describe("the age of a view that other gateways rely on", () => {
	it.each([1000, 2000, 3000, 4000, 13_000])(
		"leaves time for a read of the store if %i ms are allowed",
		applyMs => {
			expect(getViewLimits(applyMs).maxAgeMs).toBeLessThanOrEqual(applyMs - 500)
		}
	)

	it.each([2000, 3000, 4000, 13_000])(
		"isn't reached between two updates while watches return, with half a second to spare, if %i ms are allowed",
		applyMs => {
			const {maxAgeMs, maxWatchMs} = getViewLimits(applyMs)
			const oldestMs = maxWatchMs + updateIntervalMs
			expect(oldestMs + 500).toBeLessThanOrEqual(maxAgeMs)
		}
	)
})
