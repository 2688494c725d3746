import {expect, test} from "vitest"
import {choosePace} from "../linkPace.js"

const targetLinks = 320
const targetHosts = 360
const reportBytes = 420
const listBytesPerHost = 125
const limitBytesPerSecond = 19_000

test("few links report at once and keep a heartbeat of a second", () => {
	expect(choosePace(17, 20)).toEqual({
		heartbeatMs: 1000,
		minReportMs: 510,
		heartbeatTimeoutMs: 4000,
		listIntervalMs: 2000
	})
})

test("the report links of an entry stay within the limit at the target", () => {
	const pace = choosePace(targetLinks, targetHosts)
	const intervalMs = Math.min(pace.heartbeatMs, pace.minReportMs)
	const reports = (targetLinks * reportBytes * 1000) / intervalMs
	const list = (targetHosts * listBytesPerHost * 1000) / pace.listIntervalMs
	expect(reports + list).toBeLessThan(limitBytesPerSecond)
})

test("several heartbeats may be lost before a host is suspect", () => {
	for (const links of [1, 50, targetLinks]) {
		const pace = choosePace(links, links)
		expect(pace.heartbeatTimeoutMs).toBeGreaterThanOrEqual(3 * pace.heartbeatMs)
	}
})
