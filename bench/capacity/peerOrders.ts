/** Messages between a bench and the process of its peers. */

export enum PeerOrderType {
	Open = "open",
	ReadCpu = "readCpu",
	/** Replace one resident adapter at every endpoint. */
	Replace = "replace",
	/** From now on, start and end requests at every endpoint. */
	Work = "work",
	/** Send requests to an entry and read their answers to the end. */
	Call = "call"
}

export type PeerOrder =
	| {type: PeerOrderType.Open; count: number}
	| {type: PeerOrderType.ReadCpu}
	| {type: PeerOrderType.Replace}
	| {type: PeerOrderType.Work}
	| {type: PeerOrderType.Call; url: string; count: number}

export interface PeerAnswer {
	addresses: string[]
	cpuUs: number
}

export function hostIdOf(index: number): string {
	return `host-${String(index).padStart(4, "0")}`
}
