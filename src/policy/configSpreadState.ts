/** State of the spread of configuration in one process. */
import type {ConfigRoot} from "../contract/config/types.js"
import type {Gathering} from "./configGathering.js"
import type {
	SpreadAction,
	SpreadOptions,
	SpreadParts,
	SpreadPeer
} from "./configSpreadTypes.js"
import {rankByRendezvous} from "./rendezvous.js"

/** A root with all its parts. */
interface Snapshot {
	root: ConfigRoot
	fingerprint: string
	parts: SpreadParts
}

interface Fetch {
	peer: string
	deadline: number
}

/** What a process knows; changed by `stepSpread` only. */
export interface SpreadState {
	readonly options: Required<SpreadOptions>
	installed: Snapshot | undefined
	gathering: Gathering | undefined
	peers: readonly SpreadPeer[]
	/** Latest generation heard from each peer. */
	heard: Map<string, number>
	isWatching: boolean
	/** Undefined before the first list of peers. */
	startUntil: number | undefined
	/** Sources asked at start that have not answered. */
	awaited: Set<string>
	rootFetch: Fetch | undefined
	antiEntropyAt: number
	platformReadAt: number
	/** Last offer to each peer that was behind. */
	offeredAt: Map<string, number>
	/** Fingerprint of the conflict reported last. */
	conflict: string
}

/** One event being taken. */
export interface Step {
	state: SpreadState
	now: number
	actions: SpreadAction[]
}

/** Stands for the platform among the ids of peers. */
export const platformKey = ""

/** The state of a process that has just started. */
export function createSpread({
	watchersPerDomain = 2,
	offerFanout = 3,
	startFanout = 5,
	startMs = 2000,
	retryMs = 1000,
	giveUpMs = 30_000,
	antiEntropyMs = 2000,
	platformReadMs = 30_000,
	...self
}: SpreadOptions): SpreadState {
	return {
		options: {
			...self,
			watchersPerDomain,
			offerFanout,
			startFanout,
			startMs,
			retryMs,
			giveUpMs,
			antiEntropyMs,
			platformReadMs
		},
		installed: undefined,
		gathering: undefined,
		peers: [],
		heard: new Map(),
		isWatching: false,
		startUntil: undefined,
		awaited: new Set(),
		rootFetch: undefined,
		antiEntropyAt: 0,
		platformReadAt: 0,
		offeredAt: new Map(),
		conflict: ""
	}
}

/** Generation in force here, 0 before the first; requests need one. */
export function generationOf(state: SpreadState): number {
	return state.installed?.root.generation ?? 0
}

/** Highest generation that is installed or being gathered. */
export function knownGeneration(state: SpreadState): number {
	return Math.max(generationOf(state), state.gathering?.root.generation ?? 0)
}

/** Ranks peers alike in every process. */
export function rankPeers(key: string, ids: readonly string[]): string[] {
	const items = ids.map(id => ({id, weight: 1}))
	return rankByRendezvous(key, items)
}
