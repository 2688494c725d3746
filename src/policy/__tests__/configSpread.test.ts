import {expect, test} from "vitest"
import type {ConfigRoot} from "../../contract/config/types.js"
import {
	createSpread,
	getInstalledGeneration,
	type RootLearnt,
	RootSource,
	type SpreadAction,
	SpreadActionKind,
	type SpreadEvent,
	SpreadEventKind,
	type SpreadParts,
	type SpreadPeer,
	type SpreadState,
	stepSpread
} from "../configSpread.js"

const self = {selfId: "e0", failureDomain: "a", isEntry: true}
const peers: SpreadPeer[] = ["e1", "e2", "e3"].map(id => ({
	id,
	failureDomain: "b"
}))

function createRoot(generation: number): ConfigRoot {
	const buckets = ["shared", "", `part-${generation}`]
	return {generation, buckets, applies: [], settings: {} as never}
}

function createParts(...hashes: string[]): SpreadParts {
	return new Map(hashes.map(hash => [hash, {adapters: []}]))
}

function createRootLearnt(
	generation: number,
	{
		source = RootSource.Platform,
		peer = "",
		fingerprint = `root-${generation}`,
		parts = createParts("shared", `part-${generation}`)
	}: Partial<RootLearnt> = {}
): RootLearnt {
	const root = createRoot(generation)
	const kind = SpreadEventKind.RootLearnt
	return {kind, source, peer, root, fingerprint, parts}
}

function createPeersChanged(list: readonly SpreadPeer[]): SpreadEvent {
	return {kind: SpreadEventKind.PeersChanged, peers: list}
}

/** Applies the events, all at time `now`, and returns all actions. */
function feed(
	state: SpreadState,
	now: number,
	...events: SpreadEvent[]
): SpreadAction[] {
	return events.flatMap(event => stepSpread(state, event, now))
}

function filterByKind<K extends SpreadActionKind>(
	actions: readonly SpreadAction[],
	kind: K
): Extract<SpreadAction, {kind: K}>[] {
	return actions.filter(
		(action): action is Extract<SpreadAction, {kind: K}> => action.kind === kind
	)
}

const tick: SpreadEvent = {kind: SpreadEventKind.Tick, random: 0}
const platformFailed: SpreadEvent = {
	kind: SpreadEventKind.FetchFailed,
	source: RootSource.Platform,
	peer: ""
}

/** State of an entry without peers that has installed `generation`. */
function createInstalled(generation: number): SpreadState {
	const state = createSpread(self)
	feed(state, 0, createPeersChanged([]), createRootLearnt(generation))
	expect(getInstalledGeneration(state)).toBe(generation)
	return state
}

test("ignores a lower generation from every source", () => {
	const state = createInstalled(5)
	for (const source of Object.values(RootSource)) {
		const actions = feed(state, 1, createRootLearnt(4, {source, peer: ""}))
		expect(filterByKind(actions, SpreadActionKind.Install)).toEqual([])
	}
	expect(getInstalledGeneration(state)).toBe(5)
})

test("reports a root with the installed generation but other content once", () => {
	const state = createInstalled(5)
	const other = createRootLearnt(5, {
		fingerprint: "other",
		parts: createParts("part-5")
	})
	const actions = feed(state, 1, other, other, createRootLearnt(5))
	expect(actions).toEqual([
		{
			kind: SpreadActionKind.ReportConflict,
			source: RootSource.Platform,
			peer: "",
			generation: 5
		}
	])
	expect(state.installed?.fingerprint).toBe("root-5")
})

test("installs a generation only after all of its parts arrived", () => {
	const state = createInstalled(1)
	const parts = createParts()
	const actions = feed(state, 1, createRootLearnt(2, {parts}))
	expect(actions).toEqual([
		{kind: SpreadActionKind.FetchPlatformParts, hashes: ["part-2"]}
	])
	feed(state, 2, {kind: SpreadEventKind.PartsReceived, parts: createParts("x")})
	expect(getInstalledGeneration(state)).toBe(1)
	const received = createParts("part-2")
	feed(state, 3, {kind: SpreadEventKind.PartsReceived, parts: received})
	expect(getInstalledGeneration(state)).toBe(2)
	expect([...(state.installed?.parts.keys() ?? [])].sort()).toEqual([
		"part-2",
		"shared"
	])
})

test("retries missing parts from each peer that has them and the platform", () => {
	const state = createSpread(self)
	feed(state, 0, createPeersChanged(peers), createRootLearnt(1))
	const source = RootSource.Peer
	feed(
		state,
		3000,
		tick,
		createRootLearnt(2, {source, peer: "e1", parts: createParts()})
	)
	feed(state, 3000, {
		kind: SpreadEventKind.PeerGeneration,
		peer: "e2",
		generation: 3
	})
	const asked = [4000, 5000, 6000].flatMap(now =>
		feed(state, now, tick).filter(
			({kind}) =>
				kind === SpreadActionKind.FetchPeerParts ||
				kind === SpreadActionKind.FetchPlatformParts
		)
	)
	const names = asked.map(action => ("peer" in action ? action.peer : ""))
	expect(names.sort()).toEqual(["", "e1", "e2"])
})

test("retries parts at once after a peer's failure, later after the platform's", () => {
	const state = createSpread(self)
	feed(state, 0, createPeersChanged(peers), platformFailed, createRootLearnt(1))
	feed(state, 2000, tick)
	const source = RootSource.Peer
	const failed = (peer: string): SpreadEvent => ({
		kind: SpreadEventKind.FetchFailed,
		source,
		peer
	})
	feed(
		state,
		2001,
		createRootLearnt(2, {source, peer: "e1", parts: createParts()})
	)
	expect(feed(state, 2100, failed("e2"), tick)).toEqual([])
	expect(feed(state, 2200, failed("e1"), tick)).toEqual([
		{kind: SpreadActionKind.FetchPlatformParts, hashes: ["part-2"]}
	])
	expect(feed(state, 2300, platformFailed, tick)).toEqual([])
	expect(feed(state, 3200, tick)).toHaveLength(1)
})

test("restarts the retry time when a part arrives", () => {
	const state = createInstalled(1)
	const buckets = ["x", "y"]
	const event = createRootLearnt(2, {parts: createParts()})
	feed(state, 0, {...event, root: {...event.root, buckets}})
	feed(state, 900, {
		kind: SpreadEventKind.PartsReceived,
		parts: createParts("x")
	})
	expect(feed(state, 1500, tick)).toEqual([])
	expect(feed(state, 1900, tick)).toEqual([
		{kind: SpreadActionKind.FetchPlatformParts, hashes: ["y"]}
	])
})

test("abandons a generation whose parts no source has", () => {
	const state = createInstalled(1)
	feed(
		state,
		0,
		createRootLearnt(9, {source: RootSource.Operator, parts: createParts()})
	)
	feed(state, 0, createRootLearnt(2))
	expect(getInstalledGeneration(state)).toBe(1)
	feed(state, 40_000, tick, createRootLearnt(2))
	expect(getInstalledGeneration(state)).toBe(2)
})

test("waits until every source asked at startup answered or failed, then installs the newest generation", () => {
	const state = createSpread(self)
	const actions = feed(state, 0, createPeersChanged(peers))
	const asked = filterByKind(actions, SpreadActionKind.FetchPeerRoot)
	expect(asked.map(({peer}) => peer).sort()).toEqual(["e1", "e2", "e3"])
	const source = RootSource.Peer
	feed(state, 1, platformFailed, createRootLearnt(3, {source, peer: "e1"}))
	feed(state, 2, createRootLearnt(7, {source, peer: "e2"}))
	expect(getInstalledGeneration(state)).toBe(0)
	feed(state, 3, createRootLearnt(6, {source, peer: "e3"}))
	expect(getInstalledGeneration(state)).toBe(7)
})

test("stops waiting for silent peers at the startup deadline", () => {
	const state = createSpread(self)
	const source = RootSource.Peer
	feed(
		state,
		0,
		createPeersChanged(peers),
		createRootLearnt(3, {source, peer: "e1"})
	)
	feed(state, 1999, tick)
	expect(getInstalledGeneration(state)).toBe(0)
	feed(state, 2000, tick)
	expect(getInstalledGeneration(state)).toBe(3)
})

test("fetches from the platform and a peer again while nothing is installed", () => {
	const state = createSpread(self)
	feed(state, 0, createPeersChanged(peers), platformFailed)
	const actions = feed(state, 4000, tick)
	expect(actions.map(({kind}) => kind)).toEqual([
		SpreadActionKind.FetchPlatformRoot,
		SpreadActionKind.FetchPeerRoot
	])
})

test("fetches a newer root from a peer once, and again after the retry time", () => {
	const state = createInstalled(1)
	const heard = (generation: number): SpreadEvent => ({
		kind: SpreadEventKind.PeerGeneration,
		peer: "e1",
		generation
	})
	const actions = feed(state, 1, heard(2), heard(2), heard(3))
	expect(actions).toEqual([
		{kind: SpreadActionKind.FetchPeerRoot, peer: "e1", known: 1}
	])
	expect(feed(state, 1001, heard(3))).toEqual(actions)
})

test("keeps two watchers in a failure domain as entries leave and return", () => {
	const sameDomain = ["e0", "e1", "e2", "e3"].map(id => ({
		id,
		failureDomain: "a"
	}))
	const states = new Map(
		sameDomain.map(({id}) => [id, createSpread({...self, selfId: id})])
	)
	const updateAndListWatchers = (live: readonly SpreadPeer[]): string[] => {
		for (const {id} of live) {
			const state = states.get(id)
			if (state !== undefined) feed(state, 0, createPeersChanged(live))
		}
		const ids = live.map(({id}) => id)
		return ids.filter(id => states.get(id)?.isWatching)
	}
	const first = updateAndListWatchers(sameDomain)
	expect(first).toHaveLength(2)
	const rest = sameDomain.filter(({id}) => id !== first[0])
	expect(updateAndListWatchers(rest)).toHaveLength(2)
	expect(updateAndListWatchers(rest)).toContain(first[1])
	expect(updateAndListWatchers(sameDomain)).toEqual(first)
})

test("does not watch or offer unless it is an entry", () => {
	const state = createSpread({...self, isEntry: false})
	const events = [
		createPeersChanged([]),
		platformFailed,
		createRootLearnt(1),
		createPeersChanged(peers)
	]
	const actions = feed(state, 0, ...events, createRootLearnt(2))
	expect(getInstalledGeneration(state)).toBe(2)
	expect(filterByKind(actions, SpreadActionKind.Watch)).toEqual([])
	expect(filterByKind(actions, SpreadActionKind.Offer)).toEqual([])
})

test("reads the root after a watch gap and at the read interval", () => {
	const state = createInstalled(1)
	expect(state.isWatching).toBe(true)
	const read = [{kind: SpreadActionKind.FetchPlatformRoot}]
	expect(feed(state, 1, {kind: SpreadEventKind.WatchGap})).toEqual(read)
	feed(state, 29_999, tick)
	expect(feed(state, 30_000, tick)).toEqual(read)
})

test("offers an installed generation to three of twenty stale peers", () => {
	const manyPeers = Array.from({length: 20}, (_, i) => ({
		id: `p${i}`,
		failureDomain: "b"
	}))
	const state = createSpread(self)
	const actions = feed(
		state,
		0,
		createPeersChanged(manyPeers),
		createRootLearnt(1)
	)
	actions.push(...feed(state, 2000, tick))
	const [offer] = filterByKind(actions, SpreadActionKind.Offer)
	expect(offer?.peers).toHaveLength(3)
})

test("offers to a peer that reports an older generation once per interval", () => {
	const state = createInstalled(2)
	const behind: SpreadEvent = {
		kind: SpreadEventKind.PeerGeneration,
		peer: "e1",
		generation: 1
	}
	const offer = {kind: SpreadActionKind.Offer, peers: ["e1"], generation: 2}
	expect(feed(state, 1, behind, behind)).toEqual([offer])
	expect(feed(state, 2001, behind)).toEqual([offer])
})

test("fetches the root of one random peer per anti-entropy interval", () => {
	const state = createSpread(self)
	feed(state, 0, createPeersChanged(peers), createRootLearnt(1))
	const asked = [0, 0.5, 0.99].map((random, i) => {
		const now = 2000 * (i + 1)
		return feed(state, now, {kind: SpreadEventKind.Tick, random})
	})
	const fetches = asked.map(actions =>
		filterByKind(actions, SpreadActionKind.FetchPeerRoot).map(({peer}) => peer)
	)
	expect(fetches).toEqual([["e1"], ["e2"], ["e3"]])
	expect(feed(state, 6001, tick)).toEqual([])
})
