/**
 * Runs several processes over a simulated network that loses, duplicates and
 * reorders messages, with a platform that has outages and serves stale reads.
 */
import fc from "fast-check"
import {expect, test} from "vitest"
import type {ConfigRoot} from "../../contract/config/types.js"
import {
	createSpread,
	getInstalledGeneration,
	RootSource,
	type SpreadAction,
	SpreadActionKind,
	type SpreadEvent,
	SpreadEventKind,
	type SpreadParts,
	type SpreadState,
	stepSpread
} from "../configSpread.js"

const seed = 20_261_203
const ids = ["e0", "e1", "e2", "p0"]
const tickMs = 500

enum OperationKind {
	Accept,
	Deliver,
	Drop,
	Duplicate,
	Tick,
	Restart,
	ToggleOutage,
	SetLag
}

/** One operation of a schedule; `pick` selects a message or a process. */
interface Operation {
	kind: OperationKind
	pick: number
}

/** A message in flight; calling it delivers it, which may send others. */
type Message = () => void

class Network {
	now = 0
	roots: ConfigRoot[] = []
	messages: Message[] = []
	isPlatformDown = false
	/** Number of generations by which the platform's reads are stale. */
	platformLag = 0
	readonly states = new Map<string, SpreadState>()

	constructor() {
		this.accept()
		for (const id of ids) this.restart(id)
	}

	accept(): void {
		const generation = this.roots.length + 1
		const buckets = ["shared", "", `part-${generation}`]
		const settings = {} as never
		this.roots.push({generation, buckets, applies: [], settings})
		this.send(() => {
			const id = ids[generation % ids.length] ?? ""
			this.feedRoot(id, RootSource.Operator, "", this.roots.at(-1))
		})
		for (const [id, {isWatching}] of this.states) {
			if (!isWatching) continue
			this.send(() => {
				this.replyFromPlatform(id)
			})
		}
	}

	restart(id: string): void {
		const isEntry = id.startsWith("e")
		const failureDomain = id === "e2" ? "b" : "a"
		this.states.set(id, createSpread({selfId: id, failureDomain, isEntry}))
		const entries = ids.filter(peer => peer.startsWith("e"))
		const peers = entries.map(peer => ({
			id: peer,
			failureDomain: peer === "e2" ? "b" : "a"
		}))
		this.feed(id, {kind: SpreadEventKind.PeersChanged, peers})
	}

	tick(id: string, random: number): void {
		this.now += tickMs
		this.feed(id, {kind: SpreadEventKind.Tick, random})
	}

	feed(id: string, event: SpreadEvent): void {
		const state = this.states.get(id)
		if (state === undefined) return
		const before = getInstalledGeneration(state)
		for (const action of stepSpread(state, event, this.now)) {
			this.check(action, before)
			this.execute(id, state, action)
		}
		if (getInstalledGeneration(state) < before)
			throw new Error(`${id} reverted to a lower generation`)
	}

	private check(action: SpreadAction, before: number): void {
		if (action.kind !== SpreadActionKind.Install) return
		const {root, parts} = action
		expect(root.generation).toBeGreaterThan(before)
		expect(root).toBe(this.roots[root.generation - 1])
		const wanted = root.buckets.filter(hash => hash !== "")
		expect([...parts.keys()].sort()).toEqual(wanted.sort())
	}

	private execute(id: string, state: SpreadState, action: SpreadAction): void {
		switch (action.kind) {
			case SpreadActionKind.FetchPlatformRoot:
				this.send(() => {
					this.replyFromPlatform(id)
				})
				break
			case SpreadActionKind.FetchPlatformParts:
				this.send(() => {
					this.sendParts(id, this.isPlatformDown ? [] : action.hashes)
				})
				break
			case SpreadActionKind.FetchPeerRoot:
				this.send(() => {
					this.replyFromPeer(id, action.peer, action.known)
				})
				break
			case SpreadActionKind.FetchPeerParts:
				this.send(() => {
					const peerParts = this.states.get(action.peer)?.installed?.parts
					this.sendParts(
						id,
						action.hashes.filter(hash => peerParts?.has(hash))
					)
				})
				break
			case SpreadActionKind.Offer:
				for (const peer of action.peers) this.sendGeneration(peer, id, state)
				break
			default:
		}
	}

	private replyFromPlatform(id: string): void {
		const index = Math.max(0, this.roots.length - 1 - this.platformLag)
		if (!this.isPlatformDown) {
			this.feedRoot(id, RootSource.Platform, "", this.roots[index])
			return
		}
		const source = RootSource.Platform
		this.feed(id, {kind: SpreadEventKind.FetchFailed, source, peer: ""})
	}

	private replyFromPeer(id: string, peer: string, known: number): void {
		const state = this.states.get(peer)
		const root = state?.installed?.root
		if (state === undefined) return
		if (root === undefined || root.generation <= known) {
			this.sendGeneration(id, peer, state)
		} else {
			this.send(() => {
				this.feedRoot(id, RootSource.Peer, peer, root)
			})
		}
		// Unlike the real peer, which learns nothing from a request, it takes the
		// requester's generation, which may still be pending there.
		if (known < 1) return
		const kind = SpreadEventKind.PeerGeneration
		this.feed(peer, {kind, peer: id, generation: known})
	}

	private sendGeneration(to: string, from: string, state: SpreadState): void {
		const generation = getInstalledGeneration(state)
		const kind = SpreadEventKind.PeerGeneration
		this.send(() => {
			this.feed(to, {kind, peer: from, generation})
		})
	}

	private sendParts(id: string, hashes: readonly string[]): void {
		const parts: SpreadParts = new Map(
			hashes.map(hash => [hash, {adapters: []}])
		)
		this.send(() => {
			this.feed(id, {kind: SpreadEventKind.PartsReceived, parts})
		})
	}

	private feedRoot(
		id: string,
		source: RootSource,
		peer: string,
		root: ConfigRoot | undefined
	): void {
		if (root === undefined) return
		this.feed(id, {
			kind: SpreadEventKind.RootLearnt,
			source,
			peer,
			root,
			fingerprint: `root-${root.generation}`,
			parts: new Map()
		})
	}

	private send(message: Message): void {
		this.messages.push(message)
	}
}

function runOperation(network: Network, {kind, pick}: Operation): void {
	const {messages} = network
	const index = messages.length === 0 ? 0 : pick % messages.length
	const id = ids[pick % ids.length] ?? ""
	switch (kind) {
		case OperationKind.Accept:
			network.accept()
			break
		case OperationKind.Deliver:
			messages.splice(index, 1)[0]?.()
			break
		case OperationKind.Drop:
			messages.splice(index, 1)
			break
		case OperationKind.Duplicate:
			messages[index]?.()
			break
		case OperationKind.Tick:
			network.tick(id, (pick % 10) / 10)
			break
		case OperationKind.Restart:
			network.restart(id)
			break
		case OperationKind.ToggleOutage:
			network.isPlatformDown = !network.isPlatformDown
			break
		case OperationKind.SetLag:
			network.platformLag = pick % 4
			break
	}
}

/** Ticks every process for 40 rounds and delivers all messages in order. */
function tickAndDeliverAll(network: Network): void {
	for (let round = 0; round < 40; round++) {
		for (const id of ids) network.tick(id, ((round * 7) % 10) / 10)
		while (network.messages.length > 0) network.messages.shift()?.()
	}
}

const operationArbitrary = fc.record({
	kind: fc.oneof(
		{weight: 6, arbitrary: fc.constant(OperationKind.Deliver)},
		{weight: 3, arbitrary: fc.constant(OperationKind.Tick)},
		{
			weight: 4,
			arbitrary: fc.constantFrom(
				OperationKind.Accept,
				OperationKind.Drop,
				OperationKind.Duplicate,
				OperationKind.Restart,
				OperationKind.ToggleOutage,
				OperationKind.SetLag
			)
		}
	),
	pick: fc.nat(1000)
})

test("never installs a lower or incomplete generation, and all reach the newest once faults end", () => {
	const operations = fc.array(operationArbitrary, {
		minLength: 20,
		maxLength: 150
	})
	fc.assert(
		fc.property(operations, schedule => {
			const network = new Network()
			for (const operation of schedule) runOperation(network, operation)
			network.isPlatformDown = false
			network.platformLag = 0
			tickAndDeliverAll(network)
			for (const state of network.states.values()) {
				expect(getInstalledGeneration(state)).toBe(network.roots.length)
			}
		}),
		{seed, numRuns: 200}
	)
})

test("all processes reach one generation through peers in a platform outage", () => {
	const operations = fc.array(operationArbitrary, {
		minLength: 20,
		maxLength: 100
	})
	fc.assert(
		fc.property(operations, schedule => {
			const network = new Network()
			for (const operation of schedule) runOperation(network, operation)
			network.isPlatformDown = true
			const states = [...network.states.values()]
			const newest = Math.max(...states.map(getInstalledGeneration))
			fc.pre(newest > 0)
			tickAndDeliverAll(network)
			const generations = states.map(getInstalledGeneration)
			expect(Math.min(...generations)).toBe(Math.max(...generations))
			expect(Math.min(...generations)).toBeGreaterThanOrEqual(newest)
		}),
		{seed, numRuns: 200}
	)
})
