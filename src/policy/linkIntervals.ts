/**
 * Intervals of the control messages of a process while nothing but load changes:
 * acknowledgements of an entry to its endpoint processes, their reports, and reads
 * of the host list; heartbeats of a gateway, and states of an agent. The intervals
 * grow with the number of links and hosts, because the bandwidth of control
 * messages is bounded for the whole process, not per link.
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

const minListIntervalMs = 2000
/** Several, so that a few lost heartbeats do not make a host suspect. */
const heartbeatsPerTimeout = 4
const listIntervalMsPerHost = 100

/** How the intervals of one kind of link grow. */
export interface LinkPace {
	minHeartbeatMs: number
	minReportMs: number
	heartbeatMsPerLink: number
	reportMsPerLink: number
}

/**
 * Between entries and endpoint processes. With it, reports and list reads stay
 * below 19 KB/s, the limit on a node's control messages, at the size they are
 * computed for: 320 links and 360 hosts.
 */
export const entryLinkPace: LinkPace = {
	minHeartbeatMs: 1000,
	minReportMs: 200,
	heartbeatMsPerLink: 30,
	reportMsPerLink: 30
}

/**
 * Between gateways and agents while no request uses the link: at most 125 states
 * and 17 heartbeats a second for each process.
 */
export const grantLinkPace: LinkPace = {
	minHeartbeatMs: 4000,
	minReportMs: 80,
	heartbeatMsPerLink: 60,
	reportMsPerLink: 8
}

/** Heartbeat of a link between a gateway and an agent while a request uses it. */
export const activeHeartbeatMs = 600

/**
 * Heartbeats without a message after which such a link fails: three messages are
 * due before.
 */
export const grantLinkTimeoutHeartbeats = 10 / 3

/** Intervals for a process with `links` open links that knows `hosts` hosts. */
export function chooseLinkIntervals(
	links: number,
	hosts: number,
	pace: LinkPace = entryLinkPace
): LinkIntervals {
	const {minHeartbeatMs, minReportMs} = pace
	const heartbeatMs = Math.max(minHeartbeatMs, links * pace.heartbeatMsPerLink)
	return {
		heartbeatMs,
		minReportMs: Math.max(minReportMs, links * pace.reportMsPerLink),
		heartbeatTimeoutMs: heartbeatMs * heartbeatsPerTimeout,
		listIntervalMs: Math.max(minListIntervalMs, hosts * listIntervalMsPerHost)
	}
}
