import {afterEach, describe, expect, it} from "vitest"
import {getJudgedAt, runSoak} from "../soak.js"
import {stallEventLoop} from "./stall.js"

let endStall: () => void = () => undefined

afterEach(() => {
	endStall()
})

describe("a soak whose stand-ins answer late", () => {
	it("gives the system its time to recover from that too", async () => {
		endStall = stallEventLoop()
		setTimeout(endStall, 18_000)
		const report = await runSoak({seed: 1, durationMs: 1000, block: 89})
		expect(report.breaches).toEqual([])
	}, 120_000)

	it("judges 12 s after the last fault if no stand-in was late since", () => {
		expect(getJudgedAt(50_000, Number.NEGATIVE_INFINITY)).toBe(62_000)
		expect(getJudgedAt(50_000, 49_000)).toBe(62_000)
	})

	it("judges 12 s after the last late answer, at most 40 s later", () => {
		expect(getJudgedAt(50_000, 55_000)).toBe(67_000)
		expect(getJudgedAt(50_000, 150_000)).toBe(102_000)
	})
})
