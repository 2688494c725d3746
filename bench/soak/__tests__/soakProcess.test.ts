import {afterEach, describe, expect, it} from "vitest"
import {runSoakProcess} from "../soakProcess.js"
import {stallEventLoop} from "./stall.js"

let endStall: () => void = () => undefined

afterEach(() => {
	endStall()
})

describe("a soak in a process of its own", () => {
	it("is not judged by how late the process is that started it", async () => {
		endStall = stallEventLoop()
		const report = await runSoakProcess({seed: 1, durationMs: 1000, block: 88})
		expect(report.breaches).toEqual([])
		expect(report.answered).toBeGreaterThan(50)
	}, 120_000)

	it("that can't start is an error, not a soak without breaches", async () => {
		const options = {seed: 1, durationMs: 1000, block: 300}
		await expect(runSoakProcess(options)).rejects.toThrow("without a report")
	})
})
