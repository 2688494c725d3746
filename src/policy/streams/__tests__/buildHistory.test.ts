import {describe, expect, it} from "vitest"
import {BuildHistory} from "../index.js"

const spanMs = 100

function isSettled(history: BuildHistory, now: number): boolean {
	return history.isSettled("p", {now, spanMs})
}

describe("the builds of a pool", () => {
	it("are settled once one build has been alone for the span", () => {
		const history = new BuildHistory()
		expect(history.update("p", new Set(["v1"]), 0)).toBe(false)
		expect(isSettled(history, 99)).toBe(false)
		expect(isSettled(history, 100)).toBe(true)
		expect(history.update("p", new Set(["v1", "v2"]), 150)).toBe(true)
		expect(isSettled(history, 1000)).toBe(false)
		history.update("p", new Set(["v2"]), 1000)
		expect(isSettled(history, 1099)).toBe(false)
		expect(isSettled(history, 1100)).toBe(true)
	})

	it("tell whether this process has seen several", () => {
		const history = new BuildHistory()
		expect(history.hasChanged("p")).toBe(false)
		expect(history.findSole("p")).toBeUndefined()
		history.update("p", new Set(["v1"]), 0)
		expect(history.hasChanged("p")).toBe(false)
		expect(history.findSole("p")).toBe("v1")
		history.update("p", new Set(["v2"]), 10)
		expect(history.hasChanged("p")).toBe(true)
		expect(isSettled(history, 20)).toBe(false)
		expect(isSettled(history, 110)).toBe(true)
	})

	it("are not settled by a moment without endpoints", () => {
		const history = new BuildHistory()
		history.update("p", new Set(["v1"]), 0)
		history.update("p", new Set(), 50)
		history.update("p", new Set(["v2"]), 60)
		expect(isSettled(history, 120)).toBe(false)
		expect(isSettled(history, 160)).toBe(true)
	})

	it("report each step from one build to several, and no other change", () => {
		const history = new BuildHistory()
		expect(history.update("p", new Set(["v1", "v2"]), 0)).toBe(true)
		expect(history.update("p", new Set(["v1", "v2", "v3"]), 1)).toBe(false)
		expect(history.update("p", new Set(["v3"]), 2)).toBe(false)
		expect(history.update("p", new Set(["v3", "v4"]), 3)).toBe(true)
	})
})
