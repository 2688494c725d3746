import {describe, expect, it} from "vitest"
import {compareUsage, type Snapshot} from "../figures.js"

function snapshotOf(at: number, cpuMs: number, bytes: number): Snapshot {
	const truth = {
		at,
		engines: [],
		services: [],
		platform: {
			reads: 0,
			writes: 0,
			refused: 0,
			readsByKind: {},
			writesByKind: {}
		},
		weightStore: {loads: 0, failed: 0, peakInFlight: 0}
	}
	const usage = {id: "entry-1", cpuMs, bytes, rssBytes: 1, counters: {}}
	return {truth, usage: [usage]}
}

describe("compareUsage", () => {
	it("gives CPU and bytes by time", () => {
		const [figures] = compareUsage(
			snapshotOf(1000, 100, 5000),
			snapshotOf(3000, 300, 9000),
			[]
		)
		expect(figures).toMatchObject({cpuShare: 0.1, bytesPerSecond: 2000})
	})

	it("gives no bytes for a process that was restarted", () => {
		const [figures] = compareUsage(
			snapshotOf(1000, 100, 5000),
			snapshotOf(3000, 300, 10),
			[]
		)
		expect(figures?.bytesPerSecond).toBeUndefined()
	})
})
