/** Events, actions and options of the spread of configuration. */
import type {ConfigPartContent, ConfigRoot} from "../contract/config/types.js"

/** An entry process, as the list of live hosts shows it. */
export interface SpreadPeer {
	id: string
	failureDomain: string
}

export enum RootSource {
	Platform = "platform",
	Peer = "peer",
	Operator = "operator"
}

export enum SpreadEventKind {
	PeersChanged = "peersChanged",
	RootLearnt = "rootLearnt",
	PartsReceived = "partsReceived",
	PeerGeneration = "peerGeneration",
	FetchFailed = "fetchFailed",
	WatchGap = "watchGap",
	Tick = "tick"
}

export type SpreadEvent =
	/** The live entries other than this process. */
	| {kind: SpreadEventKind.PeersChanged; peers: readonly SpreadPeer[]}
	| RootLearnt
	/** Parts whose content matches their hash. */
	| {kind: SpreadEventKind.PartsReceived; parts: SpreadParts}
	/** Any message of a peer that shows its generation; 0 for none. */
	| {kind: SpreadEventKind.PeerGeneration; peer: string; generation: number}
	/** A fetch failed, timed out or found no root. */
	| {kind: SpreadEventKind.FetchFailed; source: RootSource; peer: string}
	/** The watch missed events and was opened anew. */
	| {kind: SpreadEventKind.WatchGap}
	| {kind: SpreadEventKind.Tick; random: number}

export interface RootLearnt {
	kind: SpreadEventKind.RootLearnt
	source: RootSource
	/** Id of the peer; empty for other sources. */
	peer: string
	root: ConfigRoot
	/** Hash of the whole root; equal for equal content only. */
	fingerprint: string
	/** Parts that came along. */
	parts: SpreadParts
}

/** Parts by hash. */
export type SpreadParts = ReadonlyMap<string, ConfigPartContent>

export enum SpreadActionKind {
	FetchPlatformRoot = "fetchPlatformRoot",
	FetchPlatformParts = "fetchPlatformParts",
	FetchPeerRoot = "fetchPeerRoot",
	FetchPeerParts = "fetchPeerParts",
	Install = "install",
	Offer = "offer",
	Watch = "watch",
	StopWatching = "stopWatching",
	ReportConflict = "reportConflict"
}

export type SpreadAction =
	| {kind: SpreadActionKind.FetchPlatformRoot}
	| {kind: SpreadActionKind.FetchPlatformParts; hashes: string[]}
	| {kind: SpreadActionKind.FetchPeerRoot; peer: string; known: number}
	| {kind: SpreadActionKind.FetchPeerParts; peer: string; hashes: string[]}
	| {
			kind: SpreadActionKind.Install
			root: ConfigRoot
			parts: SpreadParts
	  }
	| {kind: SpreadActionKind.Offer; peers: string[]; generation: number}
	| {kind: SpreadActionKind.Watch}
	| {kind: SpreadActionKind.StopWatching}
	/** Two contents claim one generation; the later one is not installed. */
	| {
			kind: SpreadActionKind.ReportConflict
			source: RootSource
			peer: string
			generation: number
	  }

export interface SpreadOptions {
	selfId: string
	failureDomain: string
	/** Only entries watch the platform and offer generations. */
	isEntry: boolean
	watchersPerDomain?: number
	/** Peers told of a generation when it is installed. */
	offerFanout?: number
	/** Peers asked at start. */
	startFanout?: number
	/** Longest wait at start for the answers of those asked. */
	startMs?: number
	/** Time after which a fetch is repeated elsewhere. */
	retryMs?: number
	/** Time after which a generation whose parts nobody has is given up. */
	giveUpMs?: number
	antiEntropyMs?: number
	/** Interval of a watcher's reads of the root. */
	platformReadMs?: number
}
