import {expect, test} from "vitest"
import {chooseLinkIntervals} from "../linkIntervals.js"

const targetLinks = 320
const targetHosts = 360
// Assumed message sizes.
const reportBytes = 420
const listBytesPerHost = 125
const limitBytesPerSecond = 19_000

test("uses the shortest heartbeat and list intervals for few links", () => {
	expect(chooseLinkIntervals(17, 20)).toEqual({
		heartbeatMs: 1000,
		minReportMs: 510,
		heartbeatTimeoutMs: 4000,
		listIntervalMs: 2000
	})
})

test("keeps reports and list reads below 19 KB/s at 320 links and 360 hosts", () => {
	const intervals = chooseLinkIntervals(targetLinks, targetHosts)
	const intervalMs = Math.min(intervals.heartbeatMs, intervals.minReportMs)
	const reports = (targetLinks * reportBytes * 1000) / intervalMs
	const list =
		(targetHosts * listBytesPerHost * 1000) / intervals.listIntervalMs
	expect(reports + list).toBeLessThan(limitBytesPerSecond)
})

test("sets the timeout so that two heartbeats may be lost", () => {
	for (const links of [1, 50, targetLinks]) {
		const intervals = chooseLinkIntervals(links, links)
		expect(intervals.heartbeatTimeoutMs).toBeGreaterThanOrEqual(
			3 * intervals.heartbeatMs
		)
	}
})
