/** State of configuration propagation in one process. */
import type {ConfigRoot} from "../contract/config/types.js"
import type {PendingSnapshot} from "./configPendingSnapshot.js"
import type {
	SpreadAction,
	SpreadOptions,
	SpreadParts,
	SpreadPeer
} from "./configSpreadTypes.js"
import {rankByRendezvous} from "./rendezvous.js"

/** A configuration root with all of its parts. */
interface Snapshot {
	root: ConfigRoot
	fingerprint: string
	parts: SpreadParts
}

interface PeerFetch {
	peer: string
	deadline: number
}

/** Changed by `stepSpread` only. */
export interface SpreadState {
	readonly options: Required<SpreadOptions>
	installed: Snapshot | undefined
	/** Newer than `installed`, and not installed yet. */
	pending: PendingSnapshot | undefined
	peers: readonly SpreadPeer[]
	/** Generation that each peer reported last, by peer id. */
	heard: Map<string, number>
	/** True when this entry is one of its failure domain's watchers. */
	isWatching: boolean
	/**
	 * When the first install stops waiting for the startup fetches; undefined
	 * before the first list of peers.
	 */
	startupDeadline: number | undefined
	/** Sources of the startup fetches that have neither answered nor failed. */
	awaitedAtStartup: Set<string>
	/** The fetch in flight from a peer that reported a newer generation. */
	rootFetch: PeerFetch | undefined
	nextAntiEntropyAt: number
	nextPlatformReadAt: number
	/** Time of the last offer to each peer that reported an older generation. */
	lastOfferAt: Map<string, number>
	/** Fingerprint of the conflicting root reported last; empty for none. */
	conflict: string
}

/** What the handlers of one event share; they append to `actions`. */
export interface StepContext {
	state: SpreadState
	now: number
	actions: SpreadAction[]
}

/** Represents the platform where sources are identified by peer id. */
export const platformSourceId = ""

export function createSpread({
	watchersPerDomain = 2,
	offerFanout = 3,
	startupFanout = 5,
	startupWaitMs = 2000,
	fetchRetryMs = 1000,
	abandonAfterMs = 30_000,
	antiEntropyMs = 2000,
	platformReadMs = 30_000,
	...self
}: SpreadOptions): SpreadState {
	return {
		options: {
			...self,
			watchersPerDomain,
			offerFanout,
			startupFanout,
			startupWaitMs,
			fetchRetryMs,
			abandonAfterMs,
			antiEntropyMs,
			platformReadMs
		},
		installed: undefined,
		pending: undefined,
		peers: [],
		heard: new Map(),
		isWatching: false,
		startupDeadline: undefined,
		awaitedAtStartup: new Set(),
		rootFetch: undefined,
		nextAntiEntropyAt: 0,
		nextPlatformReadAt: 0,
		lastOfferAt: new Map(),
		conflict: ""
	}
}

/**
 * The generation that this process has installed; 0 before the first, when no
 * request can be served.
 */
export function getInstalledGeneration(state: SpreadState): number {
	return state.installed?.root.generation ?? 0
}

/** Highest generation that is installed or pending. */
export function knownGeneration(state: SpreadState): number {
	return Math.max(
		getInstalledGeneration(state),
		state.pending?.root.generation ?? 0
	)
}

/** Orders peers by preference for `key`; the same in every process. */
export function rankPeers(key: string, ids: readonly string[]): string[] {
	const items = ids.map(id => ({id, weight: 1}))
	return rankByRendezvous(key, items)
}
