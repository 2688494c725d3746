/**
 * How often an entry and its endpoint processes write to each other when
 * nothing but load changes. The rate of an entry, not of a link, is bounded:
 * few links are fast, many links share what control may cost a node.
 */

export interface LinkPace {
	/** Longest time between two reports, and between two acknowledgements. */
	heartbeatMs: number
	/** Shortest time between two reports that only tell a change of load. */
	minReportMs: number
	/** Silence after which a host is suspect. */
	heartbeatTimeoutMs: number
	/** Time between two reads of the platform's list of hosts. */
	listIntervalMs: number
}

const minHeartbeatMs = 1000
const minReportMs = 200
const minListIntervalMs = 2000
const missedHeartbeats = 4
/** At 320 links these keep an entry within 19 KB a second for control. */
const heartbeatMsPerLink = 30
const reportMsPerLink = 30
const listMsPerHost = 100

/** The pace for an entry that holds `links` links and knows `hosts` hosts. */
export function choosePace(links: number, hosts: number): LinkPace {
	const heartbeatMs = Math.max(minHeartbeatMs, links * heartbeatMsPerLink)
	return {
		heartbeatMs,
		minReportMs: Math.max(minReportMs, links * reportMsPerLink),
		heartbeatTimeoutMs: heartbeatMs * missedHeartbeats,
		listIntervalMs: Math.max(minListIntervalMs, hosts * listMsPerHost)
	}
}
