import {afterEach, describe, expect, it} from "vitest"
import {runSoakProcess} from "../soakProcess.js"

const stallMs = 150
let isStalling = false

/** Delays each turn of the event loop of this process, without using the processor. */
function stallEventLoop(): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, stallMs)
	setImmediate(() => {
		if (isStalling) stallEventLoop()
	})
}

afterEach(() => {
	isStalling = false
})

describe("a soak in a process of its own", () => {
	it("is not judged by how late the process is that started it", async () => {
		isStalling = true
		stallEventLoop()
		const report = await runSoakProcess({seed: 1, durationMs: 1000, block: 88})
		expect(report.breaches).toEqual([])
		expect(report.answered).toBeGreaterThan(50)
	}, 120_000)

	it("that can't start is an error, not a soak without breaches", async () => {
		const options = {seed: 1, durationMs: 1000, block: 300}
		await expect(runSoakProcess(options)).rejects.toThrow("without a report")
	})
})
