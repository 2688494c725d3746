import {expect, test} from "vitest"
import {chooseLinkIntervals, grantLinkPace} from "../linkIntervals.js"

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

// Assumed sizes with their frames, and processor time, of one message.
const stateBytes = 60
const heartbeatBytes = 25
const messageMicros = 100

test.each([
	{gateways: 4, engines: 9},
	{gateways: 68, engines: 84},
	{gateways: 360, engines: 1600}
])(
	"bounds the control messages of $gateways gateways and $engines engines",
	({gateways, engines}) => {
		const gateway = chooseLinkIntervals(engines, 0, grantLinkPace)
		const agent = chooseLinkIntervals(gateways, 0, grantLinkPace)
		// An agent sends states at the slower of the two paces.
		const stateMs = Math.max(gateway.minReportMs, agent.minReportMs)
		const perLink = {states: 1000 / stateMs, beats: 1000 / gateway.heartbeatMs}
		for (const links of [gateways, engines]) {
			const states = links * perLink.states
			const beats = links * perLink.beats
			const bytes = states * stateBytes + beats * heartbeatBytes
			expect(bytes).toBeLessThan(limitBytesPerSecond)
			expect((states + beats) * messageMicros).toBeLessThan(0.022 * 1e6)
		}
	}
)
