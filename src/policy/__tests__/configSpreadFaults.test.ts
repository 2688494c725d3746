/**
 * Some joined processes over a network that loses, repeats and crosses
 * messages, and a platform that answers stale reads and goes out.
 */
import fc from "fast-check"
import {expect, test} from "vitest"
import type {ConfigRoot} from "../../contract/config/types.js"
import {
	createSpread,
	generationOf,
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

enum OpKind {
	Accept,
	Deliver,
	Lose,
	Repeat,
	Tick,
	Restart,
	Outage,
	Stale
}

/** One step of a schedule; `pick` selects a message or a process. */
interface Op {
	kind: OpKind
	pick: number
}

/** A message in flight; delivering it may send others. */
type Message = () => void

class Network {
	now = 0
	roots: ConfigRoot[] = []
	messages: Message[] = []
	isOut = false
	/** How many generations behind the platform answers. */
	lag = 0
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
			this.learn(id, RootSource.Operator, "", this.roots.at(-1))
		})
		for (const [id, {isWatching}] of this.states) {
			if (!isWatching) continue
			this.send(() => {
				this.readPlatform(id)
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
		const before = generationOf(state)
		for (const action of stepSpread(state, event, this.now)) {
			this.check(action, before)
			this.carryOut(id, state, action)
		}
		if (generationOf(state) < before) throw new Error(`${id} went back`)
	}

	private check(action: SpreadAction, before: number): void {
		if (action.kind !== SpreadActionKind.Install) return
		const {root, parts} = action
		expect(root.generation).toBeGreaterThan(before)
		expect(root).toBe(this.roots[root.generation - 1])
		const wanted = root.buckets.filter(hash => hash !== "")
		expect([...parts.keys()].sort()).toEqual(wanted.sort())
	}

	private carryOut(id: string, state: SpreadState, action: SpreadAction): void {
		switch (action.kind) {
			case SpreadActionKind.FetchPlatformRoot:
				this.send(() => {
					this.readPlatform(id)
				})
				break
			case SpreadActionKind.FetchPlatformParts:
				this.send(() => {
					this.sendParts(id, this.isOut ? [] : action.hashes)
				})
				break
			case SpreadActionKind.FetchPeerRoot:
				this.send(() => {
					this.askPeer(id, action.peer, action.known)
				})
				break
			case SpreadActionKind.FetchPeerParts:
				this.send(() => {
					const held = this.states.get(action.peer)?.installed?.parts
					this.sendParts(
						id,
						action.hashes.filter(hash => held?.has(hash))
					)
				})
				break
			case SpreadActionKind.Offer:
				for (const peer of action.peers) this.sendGeneration(peer, id, state)
				break
			default:
		}
	}

	private readPlatform(id: string): void {
		const index = Math.max(0, this.roots.length - 1 - this.lag)
		if (!this.isOut) {
			this.learn(id, RootSource.Platform, "", this.roots[index])
			return
		}
		const source = RootSource.Platform
		this.feed(id, {kind: SpreadEventKind.FetchFailed, source, peer: ""})
	}

	private askPeer(id: string, peer: string, known: number): void {
		const state = this.states.get(peer)
		const root = state?.installed?.root
		if (state === undefined) return
		if (root === undefined || root.generation <= known) {
			this.sendGeneration(id, peer, state)
		} else {
			this.send(() => {
				this.learn(id, RootSource.Peer, peer, root)
			})
		}
		if (known < 1) return
		const kind = SpreadEventKind.PeerGeneration
		this.feed(peer, {kind, peer: id, generation: known})
	}

	private sendGeneration(to: string, from: string, state: SpreadState): void {
		const generation = generationOf(state)
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

	private learn(
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

function runOp(network: Network, {kind, pick}: Op): void {
	const {messages} = network
	const index = messages.length === 0 ? 0 : pick % messages.length
	const id = ids[pick % ids.length] ?? ""
	switch (kind) {
		case OpKind.Accept:
			network.accept()
			break
		case OpKind.Deliver:
			messages.splice(index, 1)[0]?.()
			break
		case OpKind.Lose:
			messages.splice(index, 1)
			break
		case OpKind.Repeat:
			messages[index]?.()
			break
		case OpKind.Tick:
			network.tick(id, (pick % 10) / 10)
			break
		case OpKind.Restart:
			network.restart(id)
			break
		case OpKind.Outage:
			network.isOut = !network.isOut
			break
		case OpKind.Stale:
			network.lag = pick % 4
			break
	}
}

/** Delivers everything in order while time passes. */
function settle(network: Network): void {
	for (let round = 0; round < 40; round++) {
		for (const id of ids) network.tick(id, ((round * 7) % 10) / 10)
		while (network.messages.length > 0) network.messages.shift()?.()
	}
}

const opArbitrary = fc.record({
	kind: fc.oneof(
		{weight: 6, arbitrary: fc.constant(OpKind.Deliver)},
		{weight: 3, arbitrary: fc.constant(OpKind.Tick)},
		{
			weight: 4,
			arbitrary: fc.constantFrom(
				OpKind.Accept,
				OpKind.Lose,
				OpKind.Repeat,
				OpKind.Restart,
				OpKind.Outage,
				OpKind.Stale
			)
		}
	),
	pick: fc.nat(1000)
})

test("no process goes back or installs a part of a configuration, and all meet", () => {
	const ops = fc.array(opArbitrary, {minLength: 20, maxLength: 150})
	fc.assert(
		fc.property(ops, schedule => {
			const network = new Network()
			for (const op of schedule) runOp(network, op)
			network.isOut = false
			network.lag = 0
			settle(network)
			for (const state of network.states.values()) {
				expect(generationOf(state)).toBe(network.roots.length)
			}
		}),
		{seed, numRuns: 200}
	)
})

test("all meet by the peers alone while the platform is out", () => {
	const ops = fc.array(opArbitrary, {minLength: 20, maxLength: 100})
	fc.assert(
		fc.property(ops, schedule => {
			const network = new Network()
			for (const op of schedule) runOp(network, op)
			network.isOut = true
			const states = [...network.states.values()]
			const newest = Math.max(...states.map(generationOf))
			fc.pre(newest > 0)
			settle(network)
			const reached = states.map(generationOf)
			expect(Math.min(...reached)).toBe(Math.max(...reached))
			expect(Math.min(...reached)).toBeGreaterThanOrEqual(newest)
		}),
		{seed, numRuns: 200}
	)
})
