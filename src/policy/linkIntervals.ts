/**
 * Intervals of the control messages of an entry while nothing but load changes:
 * acknowledgements to its endpoint processes, their reports, and reads of the
 * host list. The intervals grow with the number of links and hosts, because the
 * bandwidth of control messages is bounded for the whole entry, not per link.
 */

export interface LinkIntervals {
	/** Interval of acknowledgements, and longest time between two reports. */
	heartbeatMs: number
	/**
	 * Shortest time between two reports of changed load or residency; a change of
	 * the process's own state is reported at once.
	 */
	minReportMs: number
	/** Time without a message after which a host is suspect. */
	heartbeatTimeoutMs: number
	/** Interval of reading the platform's list of hosts. */
	listIntervalMs: number
}

const minHeartbeatMs = 1000
const minReportMs = 200
const minListIntervalMs = 2000
/** Several, so that a few lost heartbeats do not make a host suspect. */
const heartbeatsPerTimeout = 4
/**
 * With these, reports and list reads stay below 19 KB/s, the limit on a node's
 * control messages, at the size they are computed for: 320 links and 360 hosts.
 */
const heartbeatMsPerLink = 30
const minReportMsPerLink = 30
const listIntervalMsPerHost = 100

/** Intervals for an entry with `links` open links that knows `hosts` hosts. */
export function chooseLinkIntervals(
	links: number,
	hosts: number
): LinkIntervals {
	const heartbeatMs = Math.max(minHeartbeatMs, links * heartbeatMsPerLink)
	return {
		heartbeatMs,
		minReportMs: Math.max(minReportMs, links * minReportMsPerLink),
		heartbeatTimeoutMs: heartbeatMs * heartbeatsPerTimeout,
		listIntervalMs: Math.max(minListIntervalMs, hosts * listIntervalMsPerHost)
	}
}
