/**
 * Configuration propagation ("spread") as a state machine without I/O: decides
 * for one process which roots and parts to fetch from the platform or a peer,
 * when to install a generation, and which peers to notify of it. The installed
 * generation never decreases, and a generation is installed only with all of
 * its parts.
 */
import {
	addMissingParts,
	createPendingSnapshot,
	hasAllParts,
	type PendingSnapshot
} from "./configPendingSnapshot.js"
import {
	getInstalledGeneration,
	knownGeneration,
	platformSourceId,
	rankPeers,
	type SpreadState,
	type StepContext
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
	getInstalledGeneration,
	type SpreadState
} from "./configSpreadState.js"
export * from "./configSpreadTypes.js"

/** Applies an event to `state` and returns the actions to execute, in order. */
export function stepSpread(
	state: SpreadState,
	event: SpreadEvent,
	now: number
): SpreadAction[] {
	const context: StepContext = {state, now, actions: []}
	switch (event.kind) {
		case SpreadEventKind.PeersChanged:
			updatePeers(context, event.peers)
			break
		case SpreadEventKind.RootLearnt:
			handleRoot(context, event)
			break
		case SpreadEventKind.PartsReceived:
			handleParts(context, event.parts)
			break
		case SpreadEventKind.PeerGeneration:
			handlePeerGeneration(context, event.peer, event.generation)
			break
		case SpreadEventKind.FetchFailed:
			handleFetchFailure(context, event.source, event.peer)
			break
		case SpreadEventKind.WatchGap:
			context.actions.push({kind: SpreadActionKind.FetchPlatformRoot})
			break
		case SpreadEventKind.Tick:
			handleTick(context, event.random)
			break
	}
	installIfComplete(context)
	return context.actions
}

function updatePeers(context: StepContext, peers: readonly SpreadPeer[]): void {
	const {state, now} = context
	state.peers = peers.filter(({id}) => id !== state.options.selfId)
	const ids = new Set(state.peers.map(({id}) => id))
	for (const id of [...state.heard.keys()]) {
		if (ids.has(id)) continue
		state.heard.delete(id)
		state.lastOfferAt.delete(id)
	}
	updateWatching(context)
	if (state.startupDeadline !== undefined) return
	state.startupDeadline = now + state.options.startupWaitMs
	state.nextAntiEntropyAt = now + state.options.antiEntropyMs
	sendStartupFetches(context)
}

/**
 * Starts or stops watching the platform. `watchersPerDomain` entries of each
 * failure domain watch it. Processes that know the same entries compute the
 * same ranking, so they agree on which.
 */
function updateWatching(context: StepContext): void {
	const {state, now, actions} = context
	const {selfId, failureDomain, isEntry, watchersPerDomain} = state.options
	const sameDomainPeers = state.peers.filter(
		peer => peer.failureDomain === failureDomain
	)
	const ids = [selfId, ...sameDomainPeers.map(({id}) => id)]
	const watchers = rankPeers(`watch:${failureDomain}`, ids)
	const isWatcher =
		isEntry && watchers.slice(0, watchersPerDomain).includes(selfId)
	if (isWatcher === state.isWatching) return
	state.isWatching = isWatcher
	if (!isWatcher) {
		actions.push({kind: SpreadActionKind.StopWatching})
		return
	}
	state.nextPlatformReadAt = now + state.options.platformReadMs
	actions.push({kind: SpreadActionKind.Watch})
	actions.push({kind: SpreadActionKind.FetchPlatformRoot})
}

/**
 * Fetches the root from the platform and several peers, so that a single stale
 * source does not determine which generation is installed first.
 */
function sendStartupFetches({state, actions}: StepContext): void {
	const {selfId, startupFanout} = state.options
	const ids = state.peers.map(({id}) => id)
	const startupPeers = rankPeers(`start:${selfId}`, ids).slice(0, startupFanout)
	state.awaitedAtStartup = new Set([platformSourceId, ...startupPeers])
	if (!state.isWatching) {
		actions.push({kind: SpreadActionKind.FetchPlatformRoot})
	}
	for (const peer of startupPeers) {
		actions.push({kind: SpreadActionKind.FetchPeerRoot, peer, known: 0})
	}
}

function handleRoot(context: StepContext, event: RootLearnt): void {
	const {state, now} = context
	const {source, peer, root, fingerprint, parts} = event
	if (source === RootSource.Peer) state.heard.set(peer, root.generation)
	if (source !== RootSource.Operator) state.awaitedAtStartup.delete(peer)
	if (state.rootFetch?.peer === peer) state.rootFetch = undefined
	reportConflict(context, event)
	if (root.generation > knownGeneration(state)) {
		startPendingSnapshot(context, event)
		return
	}
	const {pending} = state
	if (pending?.fingerprint !== fingerprint) return
	if (addMissingParts(pending, parts) > 0) extendDeadlines(state, pending, now)
}

function reportConflict(
	{state, actions}: StepContext,
	event: RootLearnt
): void {
	const {source, peer, root, fingerprint} = event
	const known = [state.installed, state.pending].find(
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

function startPendingSnapshot(context: StepContext, event: RootLearnt): void {
	const {state, now} = context
	const known = [state.installed?.parts, state.pending?.parts]
	const abandonAt = now + state.options.abandonAfterMs
	state.pending = createPendingSnapshot(event, known, abandonAt)
	if (hasAllParts(state.pending)) return
	fetchParts(context, state.pending, event.peer)
}

/**
 * Fetches the missing parts from the source: a peer's id, or `platformSourceId`
 * for the platform.
 */
function fetchParts(
	context: StepContext,
	pending: PendingSnapshot,
	source: string
): void {
	const {state, now, actions} = context
	const hashes = [...pending.missing]
	pending.fetchCount += 1
	pending.source = source
	pending.retryAt = now + state.options.fetchRetryMs
	if (source === platformSourceId) {
		actions.push({kind: SpreadActionKind.FetchPlatformParts, hashes})
		return
	}
	actions.push({kind: SpreadActionKind.FetchPeerParts, peer: source, hashes})
}

function handleParts({state, now}: StepContext, parts: SpreadParts): void {
	const {pending} = state
	if (pending === undefined) return
	if (addMissingParts(pending, parts) > 0) extendDeadlines(state, pending, now)
}

/** A new part shows that the fetch progresses, so both deadlines restart. */
function extendDeadlines(
	{options}: SpreadState,
	pending: PendingSnapshot,
	now: number
): void {
	pending.retryAt = now + options.fetchRetryMs
	pending.abandonAt = now + options.abandonAfterMs
}

/** The only place where the installed generation changes. */
function installIfComplete(context: StepContext): void {
	const {state, now, actions} = context
	const {pending} = state
	if (pending === undefined || !hasAllParts(pending)) return
	if (isAwaitingStartup(state, now)) return
	const {root, fingerprint, parts} = pending
	state.pending = undefined
	state.installed = {root, fingerprint, parts}
	actions.push({kind: SpreadActionKind.Install, root, parts})
	offerInstalled(context, root.generation)
}

/**
 * True before the first list of peers, and while a startup fetch may still
 * return a newer generation.
 */
function isAwaitingStartup(state: SpreadState, now: number): boolean {
	if (state.installed !== undefined) return false
	if (state.startupDeadline === undefined) return true
	return state.awaitedAtStartup.size > 0 && now < state.startupDeadline
}

/** Offers the new generation to some of the peers not known to have it. */
function offerInstalled(
	{state, actions}: StepContext,
	generation: number
): void {
	const {selfId, isEntry, offerFanout} = state.options
	if (!isEntry) return
	const stalePeers = state.peers
		.map(({id}) => id)
		.filter(id => (state.heard.get(id) ?? 0) < generation)
	const key = `offer:${generation}:${selfId}`
	const peers = rankPeers(key, stalePeers).slice(0, offerFanout)
	if (peers.length === 0) return
	actions.push({kind: SpreadActionKind.Offer, peers, generation})
}

function handlePeerGeneration(
	context: StepContext,
	peer: string,
	generation: number
): void {
	const {state} = context
	state.heard.set(peer, generation)
	if (generation <= knownGeneration(state)) {
		state.awaitedAtStartup.delete(peer)
		if (state.rootFetch?.peer === peer) state.rootFetch = undefined
	}
	fetchNewestPeerRoot(context)
	if (generation < getInstalledGeneration(state))
		offerToStalePeer(context, peer)
}

/**
 * Fetches the root from the peer that reported the highest generation, if that
 * is above the installed and the pending one. Only one such fetch is in flight
 * at a time.
 */
function fetchNewestPeerRoot({state, now, actions}: StepContext): void {
	if (state.rootFetch !== undefined && now < state.rootFetch.deadline) return
	state.rootFetch = undefined
	const known = knownGeneration(state)
	let newest = known
	let peer: string | undefined
	for (const [id, generation] of state.heard) {
		if (generation <= newest) continue
		newest = generation
		peer = id
	}
	if (peer === undefined) return
	state.rootFetch = {peer, deadline: now + state.options.fetchRetryMs}
	actions.push({kind: SpreadActionKind.FetchPeerRoot, peer, known})
}

/**
 * Offers the installed generation to a peer, at most once per anti-entropy
 * interval.
 */
function offerToStalePeer(
	{state, now, actions}: StepContext,
	peer: string
): void {
	const {antiEntropyMs, isEntry} = state.options
	const last = state.lastOfferAt.get(peer)
	if (!isEntry || (last !== undefined && now < last + antiEntropyMs)) return
	state.lastOfferAt.set(peer, now)
	const generation = getInstalledGeneration(state)
	actions.push({kind: SpreadActionKind.Offer, peers: [peer], generation})
}

function handleFetchFailure(
	{state, now}: StepContext,
	source: RootSource,
	peer: string
): void {
	state.awaitedAtStartup.delete(
		source === RootSource.Platform ? platformSourceId : peer
	)
	// No parts or newer root are fetched from it until it reports a generation.
	if (source !== RootSource.Platform) state.heard.delete(peer)
	if (state.rootFetch?.peer === peer) state.rootFetch = undefined
	// Missing parts are fetched from the next source on the next tick after a
	// peer's failure, but not before `retryAt` after the platform's.
	if (source === RootSource.Platform) return
	if (state.pending?.source === peer) state.pending.retryAt = now
}

function handleTick(context: StepContext, random: number): void {
	const {state, now, actions} = context
	const {antiEntropyMs, platformReadMs} = state.options
	if (state.startupDeadline === undefined) return
	retryMissingParts(context)
	fetchNewestPeerRoot(context)
	if (state.isWatching && now >= state.nextPlatformReadAt) {
		state.nextPlatformReadAt = now + platformReadMs
		actions.push({kind: SpreadActionKind.FetchPlatformRoot})
	}
	if (now < state.nextAntiEntropyAt) return
	state.nextAntiEntropyAt = now + antiEntropyMs
	runAntiEntropy(context, random)
}

function retryMissingParts(context: StepContext): void {
	const {state, now} = context
	const {pending} = state
	if (pending === undefined || hasAllParts(pending)) return
	if (now >= pending.abandonAt) {
		state.pending = undefined
		return
	}
	if (now < pending.retryAt) return
	const sources = [...findPeersWithGeneration(state, pending), platformSourceId]
	const index = pending.fetchCount % sources.length
	fetchParts(context, pending, sources[index] ?? platformSourceId)
}

/** Peers that reported the pending generation or a later one. */
function findPeersWithGeneration(
	state: SpreadState,
	{root}: PendingSnapshot
): string[] {
	const found: string[] = []
	for (const [id, generation] of state.heard) {
		if (generation >= root.generation) found.push(id)
	}
	return rankPeers(state.options.selfId, found)
}

/**
 * Fetches the root of a random peer, so that a process whose messages were lost
 * still reaches the newest generation. Also reads the platform while nothing is
 * installed or no peer is known.
 */
function runAntiEntropy({state, actions}: StepContext, random: number): void {
	const {peers} = state
	const peer = peers[Math.floor(random * peers.length)]?.id
	if (peer === undefined || state.installed === undefined) {
		actions.push({kind: SpreadActionKind.FetchPlatformRoot})
	}
	if (peer === undefined) return
	const known = knownGeneration(state)
	actions.push({kind: SpreadActionKind.FetchPeerRoot, peer, known})
}
