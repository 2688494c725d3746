/** Commands from a benchmark to its peer process (peer.ts), and the replies. */

export enum PeerCommandType {
	StartEndpoints = "open",
	ReadCpu = "readCpu",
	/** Replace one resident adapter of every simulated endpoint. */
	ReplaceAdapters = "replace",
	/** From now on, change the reported load of every simulated endpoint. */
	SimulateLoad = "work",
	/** Send concurrent requests to a URL and read the responses to the end. */
	SendRequests = "call"
}

export type PeerCommand =
	| {type: PeerCommandType.StartEndpoints; count: number}
	| {type: PeerCommandType.ReadCpu}
	| {type: PeerCommandType.ReplaceAdapters}
	| {type: PeerCommandType.SimulateLoad}
	| {type: PeerCommandType.SendRequests; url: string; count: number}

export interface PeerReply {
	addresses: string[]
	cpuUs: number
}

export function createHostId(index: number): string {
	return `host-${String(index).padStart(4, "0")}`
}
