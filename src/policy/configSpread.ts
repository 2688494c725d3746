/**
 * How one process learns and keeps the accepted configuration: what to fetch
 * from whom, when to install, and whom to tell. A process only ever moves to
 * a higher generation, and installs a generation only when it is whole.
 */
import {
	addParts,
	type Gathering,
	isWhole,
	startGathering
} from "./configGathering.js"
import {
	generationOf,
	knownGeneration,
	platformKey,
	rankPeers,
	type SpreadState,
	type Step
} from "./configSpreadState.js"
import {
	type RootLearnt,
	RootSource,
	type SpreadAction,
	SpreadActionKind,
	type SpreadEvent,
	SpreadEventKind,
	type SpreadParts,
	type SpreadPeer
} from "./configSpreadTypes.js"

export {
	createSpread,
	generationOf,
	type SpreadState
} from "./configSpreadState.js"
export * from "./configSpreadTypes.js"

/** Takes one event and returns what is to be done. */
export function stepSpread(
	state: SpreadState,
	event: SpreadEvent,
	now: number
): SpreadAction[] {
	const step: Step = {state, now, actions: []}
	switch (event.kind) {
		case SpreadEventKind.PeersChanged:
			changePeers(step, event.peers)
			break
		case SpreadEventKind.RootLearnt:
			learnRoot(step, event)
			break
		case SpreadEventKind.PartsReceived:
			receiveParts(step, event.parts)
			break
		case SpreadEventKind.PeerGeneration:
			hearGeneration(step, event.peer, event.generation)
			break
		case SpreadEventKind.FetchFailed:
			failFetch(step, event.source, event.peer)
			break
		case SpreadEventKind.WatchGap:
			step.actions.push({kind: SpreadActionKind.FetchPlatformRoot})
			break
		case SpreadEventKind.Tick:
			tick(step, event.random)
			break
	}
	installWhenWhole(step)
	return step.actions
}

function changePeers(step: Step, peers: readonly SpreadPeer[]): void {
	const {state, now} = step
	state.peers = peers.filter(({id}) => id !== state.options.selfId)
	const ids = new Set(state.peers.map(({id}) => id))
	for (const id of [...state.heard.keys()]) {
		if (ids.has(id)) continue
		state.heard.delete(id)
		state.offeredAt.delete(id)
	}
	chooseWatchers(step)
	if (state.startUntil !== undefined) return
	state.startUntil = now + state.options.startMs
	state.antiEntropyAt = now + state.options.antiEntropyMs
	askAtStart(step)
}

function chooseWatchers(step: Step): void {
	const {state, now, actions} = step
	const {selfId, failureDomain, isEntry, watchersPerDomain} = state.options
	const near = state.peers.filter(peer => peer.failureDomain === failureDomain)
	const ids = [selfId, ...near.map(({id}) => id)]
	const watchers = rankPeers(`watch:${failureDomain}`, ids)
	const isChosen =
		isEntry && watchers.slice(0, watchersPerDomain).includes(selfId)
	if (isChosen === state.isWatching) return
	state.isWatching = isChosen
	if (!isChosen) {
		actions.push({kind: SpreadActionKind.StopWatching})
		return
	}
	state.platformReadAt = now + state.options.platformReadMs
	actions.push({kind: SpreadActionKind.Watch})
	actions.push({kind: SpreadActionKind.FetchPlatformRoot})
}

/** Asks several sources, so that a lagging one does not decide alone. */
function askAtStart({state, actions}: Step): void {
	const {selfId, startFanout} = state.options
	const ids = state.peers.map(({id}) => id)
	const asked = rankPeers(`start:${selfId}`, ids).slice(0, startFanout)
	state.awaited = new Set([platformKey, ...asked])
	if (!state.isWatching) {
		actions.push({kind: SpreadActionKind.FetchPlatformRoot})
	}
	for (const peer of asked) {
		actions.push({kind: SpreadActionKind.FetchPeerRoot, peer, known: 0})
	}
}

function learnRoot(step: Step, event: RootLearnt): void {
	const {state, now} = step
	const {source, peer, root, fingerprint, parts} = event
	if (source === RootSource.Peer) state.heard.set(peer, root.generation)
	if (source !== RootSource.Operator) state.awaited.delete(peer)
	if (state.rootFetch?.peer === peer) state.rootFetch = undefined
	reportConflict(step, event)
	if (root.generation > knownGeneration(state)) {
		gatherParts(step, event)
		return
	}
	const {gathering} = state
	if (gathering?.fingerprint !== fingerprint) return
	if (addParts(gathering, parts) > 0) extendFetch(state, gathering, now)
}

function reportConflict({state, actions}: Step, event: RootLearnt): void {
	const {source, peer, root, fingerprint} = event
	const known = [state.installed, state.gathering].find(
		snapshot => snapshot?.root.generation === root.generation
	)
	if (known === undefined || known.fingerprint === fingerprint) return
	if (state.conflict === fingerprint) return
	state.conflict = fingerprint
	const {generation} = root
	actions.push({
		kind: SpreadActionKind.ReportConflict,
		source,
		peer,
		generation
	})
}

function gatherParts(step: Step, event: RootLearnt): void {
	const {state, now} = step
	const known = [state.installed?.parts, state.gathering?.parts]
	const giveUpAt = now + state.options.giveUpMs
	state.gathering = startGathering(event, known, giveUpAt)
	if (isWhole(state.gathering)) return
	fetchParts(step, state.gathering, event.peer)
}

/** Fetches from a peer, or from the platform for the platform's key. */
function fetchParts(step: Step, gathering: Gathering, source: string): void {
	const {state, now, actions} = step
	const hashes = [...gathering.missing]
	gathering.attempts += 1
	gathering.source = source
	gathering.retryAt = now + state.options.retryMs
	if (source === platformKey) {
		actions.push({kind: SpreadActionKind.FetchPlatformParts, hashes})
		return
	}
	actions.push({kind: SpreadActionKind.FetchPeerParts, peer: source, hashes})
}

function receiveParts({state, now}: Step, parts: SpreadParts): void {
	const {gathering} = state
	if (gathering === undefined) return
	if (addParts(gathering, parts) > 0) extendFetch(state, gathering, now)
}

/** Parts that arrive show that the fetch goes on. */
function extendFetch(
	{options}: SpreadState,
	gathering: Gathering,
	now: number
): void {
	gathering.retryAt = now + options.retryMs
	gathering.giveUpAt = now + options.giveUpMs
}

/** The only place where the generation in force changes. */
function installWhenWhole(step: Step): void {
	const {state, now, actions} = step
	const {gathering} = state
	if (gathering === undefined || !isWhole(gathering)) return
	if (isStarting(state, now)) return
	const {root, fingerprint, parts} = gathering
	state.gathering = undefined
	state.installed = {root, fingerprint, parts}
	actions.push({kind: SpreadActionKind.Install, root, parts})
	offerToPeers(step, root.generation)
}

/** True while a source asked at start may still know a newer generation. */
function isStarting(state: SpreadState, now: number): boolean {
	if (state.installed !== undefined) return false
	if (state.startUntil === undefined) return true
	return state.awaited.size > 0 && now < state.startUntil
}

function offerToPeers({state, actions}: Step, generation: number): void {
	const {selfId, isEntry, offerFanout} = state.options
	if (!isEntry) return
	const behind = state.peers
		.map(({id}) => id)
		.filter(id => (state.heard.get(id) ?? 0) < generation)
	const key = `offer:${generation}:${selfId}`
	const peers = rankPeers(key, behind).slice(0, offerFanout)
	if (peers.length === 0) return
	actions.push({kind: SpreadActionKind.Offer, peers, generation})
}

function hearGeneration(step: Step, peer: string, generation: number): void {
	const {state} = step
	state.heard.set(peer, generation)
	if (generation <= knownGeneration(state)) {
		state.awaited.delete(peer)
		if (state.rootFetch?.peer === peer) state.rootFetch = undefined
	}
	fetchNewerRoot(step)
	if (generation < generationOf(state)) offerBack(step, peer)
}

/** Fetches from the peer that is furthest ahead, one fetch at a time. */
function fetchNewerRoot({state, now, actions}: Step): void {
	if (state.rootFetch !== undefined && now < state.rootFetch.deadline) return
	state.rootFetch = undefined
	const known = knownGeneration(state)
	let best = known
	let peer: string | undefined
	for (const [id, generation] of state.heard) {
		if (generation <= best) continue
		best = generation
		peer = id
	}
	if (peer === undefined) return
	state.rootFetch = {peer, deadline: now + state.options.retryMs}
	actions.push({kind: SpreadActionKind.FetchPeerRoot, peer, known})
}

/** Tells a peer that is behind, at most once per interval. */
function offerBack({state, now, actions}: Step, peer: string): void {
	const {antiEntropyMs, isEntry} = state.options
	const last = state.offeredAt.get(peer)
	if (!isEntry || (last !== undefined && now < last + antiEntropyMs)) return
	state.offeredAt.set(peer, now)
	const generation = generationOf(state)
	actions.push({kind: SpreadActionKind.Offer, peers: [peer], generation})
}

function failFetch({state, now}: Step, source: RootSource, peer: string): void {
	state.awaited.delete(source === RootSource.Platform ? platformKey : peer)
	if (source !== RootSource.Platform) state.heard.delete(peer)
	if (state.rootFetch?.peer === peer) state.rootFetch = undefined
	// A platform that fails is not asked again before the next retry is due.
	if (source === RootSource.Platform) return
	if (state.gathering?.source === peer) state.gathering.retryAt = now
}

function tick(step: Step, random: number): void {
	const {state, now, actions} = step
	const {antiEntropyMs, platformReadMs} = state.options
	if (state.startUntil === undefined) return
	retryParts(step)
	fetchNewerRoot(step)
	if (state.isWatching && now >= state.platformReadAt) {
		state.platformReadAt = now + platformReadMs
		actions.push({kind: SpreadActionKind.FetchPlatformRoot})
	}
	if (now < state.antiEntropyAt) return
	state.antiEntropyAt = now + antiEntropyMs
	compareWithPeer(step, random)
}

function retryParts(step: Step): void {
	const {state, now} = step
	const {gathering} = state
	if (gathering === undefined || isWhole(gathering)) return
	if (now >= gathering.giveUpAt) {
		state.gathering = undefined
		return
	}
	if (now < gathering.retryAt) return
	const sources = [...findHolders(state, gathering), platformKey]
	const index = gathering.attempts % sources.length
	fetchParts(step, gathering, sources[index] ?? platformKey)
}

/** Peers that have the generation or a later one. */
function findHolders(state: SpreadState, {root}: Gathering): string[] {
	const holders: string[] = []
	for (const [id, generation] of state.heard) {
		if (generation >= root.generation) holders.push(id)
	}
	return rankPeers(state.options.selfId, holders)
}

/** Anti-entropy: heals whatever messages were lost. */
function compareWithPeer({state, actions}: Step, random: number): void {
	const {peers} = state
	const peer = peers[Math.floor(random * peers.length)]?.id
	if (peer === undefined || state.installed === undefined) {
		actions.push({kind: SpreadActionKind.FetchPlatformRoot})
	}
	if (peer === undefined) return
	const known = knownGeneration(state)
	actions.push({kind: SpreadActionKind.FetchPeerRoot, peer, known})
}
