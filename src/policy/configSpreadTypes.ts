/** Events, actions and options of configuration propagation ("spread"). */
import type {ConfigPartContent, ConfigRoot} from "../contract/config/types.js"

/** An entry process, which can be asked for roots and parts. */
export interface SpreadPeer {
	/** Link address of the entry. */
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
	/** All entries now known; this process is ignored if it is among them. */
	| {kind: SpreadEventKind.PeersChanged; peers: readonly SpreadPeer[]}
	| RootLearnt
	/** Parts of any generation; the content of each matches its hash. */
	| {kind: SpreadEventKind.PartsReceived; parts: SpreadParts}
	/** A message from a peer carried its installed generation; 0 for none. */
	| {kind: SpreadEventKind.PeerGeneration; peer: string; generation: number}
	/** A fetch or an offer failed or timed out, or the platform has no root. */
	| {kind: SpreadEventKind.FetchFailed; source: RootSource; peer: string}
	/** The platform's watch missed events; the root may have changed. */
	| {kind: SpreadEventKind.WatchGap}
	/** Time has passed; `random` in [0, 1) selects the anti-entropy peer. */
	| {kind: SpreadEventKind.Tick; random: number}

export interface RootLearnt {
	kind: SpreadEventKind.RootLearnt
	source: RootSource
	/** Id of the peer; empty for other sources. */
	peer: string
	root: ConfigRoot
	/** Hash over the root; roots with different content differ in it. */
	fingerprint: string
	/** Parts sent along with the root; may be empty or incomplete. */
	parts: SpreadParts
}

/** Configuration parts by content hash. */
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
	/** The peer returns its root only when that is newer than `known`. */
	| {kind: SpreadActionKind.FetchPeerRoot; peer: string; known: number}
	| {kind: SpreadActionKind.FetchPeerParts; peer: string; hashes: string[]}
	| {
			kind: SpreadActionKind.Install
			root: ConfigRoot
			parts: SpreadParts
	  }
	/** Tells the peers that this process has installed the generation. */
	| {kind: SpreadActionKind.Offer; peers: string[]; generation: number}
	/** Watch the root in the platform, until `StopWatching`. */
	| {kind: SpreadActionKind.Watch}
	| {kind: SpreadActionKind.StopWatching}
	/**
	 * A root has the number of the installed or pending generation but other
	 * content. The root that arrived later is not installed.
	 */
	| {
			kind: SpreadActionKind.ReportConflict
			source: RootSource
			peer: string
			generation: number
	  }

export interface SpreadOptions {
	/** Link address of this process. */
	selfId: string
	failureDomain: string
	/** Only entries watch the platform and offer generations. */
	isEntry: boolean
	/** Entries per failure domain that watch the platform. */
	watchersPerDomain?: number
	/** Peers that get an offer when a generation is installed. */
	offerFanout?: number
	/** Peers from which a starting process fetches the root. */
	startupFanout?: number
	/** Longest wait for the startup fetches before the first install. */
	startupWaitMs?: number
	/**
	 * Time without an answer or a new part after which a fetch is repeated.
	 * Missing parts are then fetched from the next source in turn.
	 */
	fetchRetryMs?: number
	/** Time without a new part after which a pending generation is abandoned. */
	abandonAfterMs?: number
	/**
	 * Interval of fetching the root of a random peer, and shortest time between
	 * two offers to the same stale peer.
	 */
	antiEntropyMs?: number
	/** Interval at which a watcher also reads the root, besides its watch. */
	platformReadMs?: number
}
