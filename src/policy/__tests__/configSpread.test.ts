import {expect, test} from "vitest"
import type {ConfigRoot} from "../../contract/config/types.js"
import {
	createSpread,
	generationOf,
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

function rootOf(generation: number): ConfigRoot {
	const buckets = ["shared", "", `part-${generation}`]
	return {generation, buckets, applies: [], settings: {} as never}
}

function partsOf(...hashes: string[]): SpreadParts {
	return new Map(hashes.map(hash => [hash, {adapters: []}]))
}

function learnt(
	generation: number,
	{
		source = RootSource.Platform,
		peer = "",
		fingerprint = `root-${generation}`,
		parts = partsOf("shared", `part-${generation}`)
	}: Partial<RootLearnt> = {}
): RootLearnt {
	const root = rootOf(generation)
	const kind = SpreadEventKind.RootLearnt
	return {kind, source, peer, root, fingerprint, parts}
}

function changed(list: readonly SpreadPeer[]): SpreadEvent {
	return {kind: SpreadEventKind.PeersChanged, peers: list}
}

/** Feeds events at one time and returns all actions. */
function feed(
	state: SpreadState,
	now: number,
	...events: SpreadEvent[]
): SpreadAction[] {
	return events.flatMap(event => stepSpread(state, event, now))
}

function pick<K extends SpreadActionKind>(
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

/** An entry without peers that runs `generation`. */
function createAt(generation: number): SpreadState {
	const state = createSpread(self)
	feed(state, 0, changed([]), learnt(generation))
	expect(generationOf(state)).toBe(generation)
	return state
}

test("a lower generation is ignored, whoever sends it", () => {
	const state = createAt(5)
	for (const source of Object.values(RootSource)) {
		const actions = feed(state, 1, learnt(4, {source, peer: ""}))
		expect(pick(actions, SpreadActionKind.Install)).toEqual([])
	}
	expect(generationOf(state)).toBe(5)
})

test("another content of the same generation is reported once", () => {
	const state = createAt(5)
	const other = learnt(5, {fingerprint: "other", parts: partsOf("part-5")})
	const actions = feed(state, 1, other, other, learnt(5))
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

test("a generation is installed only with all of its parts", () => {
	const state = createAt(1)
	const parts = partsOf()
	const actions = feed(state, 1, learnt(2, {parts}))
	expect(actions).toEqual([
		{kind: SpreadActionKind.FetchPlatformParts, hashes: ["part-2"]}
	])
	feed(state, 2, {kind: SpreadEventKind.PartsReceived, parts: partsOf("x")})
	expect(generationOf(state)).toBe(1)
	const received = partsOf("part-2")
	feed(state, 3, {kind: SpreadEventKind.PartsReceived, parts: received})
	expect(generationOf(state)).toBe(2)
	expect([...(state.installed?.parts.keys() ?? [])].sort()).toEqual([
		"part-2",
		"shared"
	])
})

test("parts that do not arrive are fetched from another holder", () => {
	const state = createSpread(self)
	feed(state, 0, changed(peers), learnt(1))
	const source = RootSource.Peer
	feed(state, 3000, tick, learnt(2, {source, peer: "e1", parts: partsOf()}))
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

test("parts are fetched anew when the fetch failed or stands still", () => {
	const state = createSpread(self)
	feed(state, 0, changed(peers), platformFailed, learnt(1))
	feed(state, 2000, tick)
	const source = RootSource.Peer
	const failed = (peer: string): SpreadEvent => ({
		kind: SpreadEventKind.FetchFailed,
		source,
		peer
	})
	feed(state, 2001, learnt(2, {source, peer: "e1", parts: partsOf()}))
	expect(feed(state, 2100, failed("e2"), tick)).toEqual([])
	expect(feed(state, 2200, failed("e1"), tick)).toEqual([
		{kind: SpreadActionKind.FetchPlatformParts, hashes: ["part-2"]}
	])
	expect(feed(state, 2300, platformFailed, tick)).toEqual([])
	expect(feed(state, 3200, tick)).toHaveLength(1)
})

test("parts that arrive put off the next fetch", () => {
	const state = createAt(1)
	const buckets = ["x", "y"]
	const event = learnt(2, {parts: partsOf()})
	feed(state, 0, {...event, root: {...event.root, buckets}})
	feed(state, 900, {kind: SpreadEventKind.PartsReceived, parts: partsOf("x")})
	expect(feed(state, 1500, tick)).toEqual([])
	expect(feed(state, 1900, tick)).toEqual([
		{kind: SpreadActionKind.FetchPlatformParts, hashes: ["y"]}
	])
})

test("a generation whose parts nobody has is given up", () => {
	const state = createAt(1)
	feed(state, 0, learnt(9, {source: RootSource.Operator, parts: partsOf()}))
	feed(state, 0, learnt(2))
	expect(generationOf(state)).toBe(1)
	feed(state, 40_000, tick, learnt(2))
	expect(generationOf(state)).toBe(2)
})

test("a start during an outage waits for the newest of the peers", () => {
	const state = createSpread(self)
	const actions = feed(state, 0, changed(peers))
	const asked = pick(actions, SpreadActionKind.FetchPeerRoot)
	expect(asked.map(({peer}) => peer).sort()).toEqual(["e1", "e2", "e3"])
	const source = RootSource.Peer
	feed(state, 1, platformFailed, learnt(3, {source, peer: "e1"}))
	feed(state, 2, learnt(7, {source, peer: "e2"}))
	expect(generationOf(state)).toBe(0)
	feed(state, 3, learnt(6, {source, peer: "e3"}))
	expect(generationOf(state)).toBe(7)
})

test("a start does not wait for ever for those that do not answer", () => {
	const state = createSpread(self)
	const source = RootSource.Peer
	feed(state, 0, changed(peers), learnt(3, {source, peer: "e1"}))
	feed(state, 1999, tick)
	expect(generationOf(state)).toBe(0)
	feed(state, 2000, tick)
	expect(generationOf(state)).toBe(3)
})

test("one that found nothing at start goes on asking", () => {
	const state = createSpread(self)
	feed(state, 0, changed(peers), platformFailed)
	const actions = feed(state, 4000, tick)
	expect(actions.map(({kind}) => kind)).toEqual([
		SpreadActionKind.FetchPlatformRoot,
		SpreadActionKind.FetchPeerRoot
	])
})

test("a process that is behind fetches from the peer once at a time", () => {
	const state = createAt(1)
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

test("two entries of a failure domain watch, and are replaced", () => {
	const near = ["e0", "e1", "e2", "e3"].map(id => ({id, failureDomain: "a"}))
	const states = new Map(
		near.map(({id}) => [id, createSpread({...self, selfId: id})])
	)
	const watching = (live: readonly SpreadPeer[]): string[] => {
		for (const {id} of live) {
			const state = states.get(id)
			if (state !== undefined) feed(state, 0, changed(live))
		}
		const ids = live.map(({id}) => id)
		return ids.filter(id => states.get(id)?.isWatching)
	}
	const first = watching(near)
	expect(first).toHaveLength(2)
	const rest = near.filter(({id}) => id !== first[0])
	expect(watching(rest)).toHaveLength(2)
	expect(watching(rest)).toContain(first[1])
	expect(watching(near)).toEqual(first)
})

test("a process that is no entry neither watches nor offers", () => {
	const state = createSpread({...self, isEntry: false})
	const events = [changed([]), platformFailed, learnt(1), changed(peers)]
	const actions = feed(state, 0, ...events, learnt(2))
	expect(generationOf(state)).toBe(2)
	expect(pick(actions, SpreadActionKind.Watch)).toEqual([])
	expect(pick(actions, SpreadActionKind.Offer)).toEqual([])
})

test("a watcher reads the root after a gap and from time to time", () => {
	const state = createAt(1)
	expect(state.isWatching).toBe(true)
	const read = [{kind: SpreadActionKind.FetchPlatformRoot}]
	expect(feed(state, 1, {kind: SpreadEventKind.WatchGap})).toEqual(read)
	feed(state, 29_999, tick)
	expect(feed(state, 30_000, tick)).toEqual(read)
})

test("an installed generation is offered to a few peers that lack it", () => {
	const many = Array.from({length: 20}, (_, i) => ({
		id: `p${i}`,
		failureDomain: "b"
	}))
	const state = createSpread(self)
	const actions = feed(state, 0, changed(many), learnt(1))
	actions.push(...feed(state, 2000, tick))
	const [offer] = pick(actions, SpreadActionKind.Offer)
	expect(offer?.peers).toHaveLength(3)
})

test("a peer that is behind is told, once per interval", () => {
	const state = createAt(2)
	const behind: SpreadEvent = {
		kind: SpreadEventKind.PeerGeneration,
		peer: "e1",
		generation: 1
	}
	const offer = {kind: SpreadActionKind.Offer, peers: ["e1"], generation: 2}
	expect(feed(state, 1, behind, behind)).toEqual([offer])
	expect(feed(state, 2001, behind)).toEqual([offer])
})

test("anti-entropy asks one random peer per interval", () => {
	const state = createSpread(self)
	feed(state, 0, changed(peers), learnt(1))
	const asked = [0, 0.5, 0.99].map((random, i) => {
		const now = 2000 * (i + 1)
		return feed(state, now, {kind: SpreadEventKind.Tick, random})
	})
	const fetches = asked.map(actions =>
		pick(actions, SpreadActionKind.FetchPeerRoot).map(({peer}) => peer)
	)
	expect(fetches).toEqual([["e1"], ["e2"], ["e3"]])
	expect(feed(state, 6001, tick)).toEqual([])
})
