/**
 * Carries out the spread decisions of one process: it reads the platform and
 * peers, installs into the store and tells peers of new generations.
 */
import {
	type ConfigPartContent,
	type ConfigRoot,
	configRootKind,
	configRootName,
	decodeRoot,
	fingerprintRoot,
	parseRoot
} from "../contract/config/index.js"
import type {ConfigOffer} from "../contract/gen/link_pb.js"
import type {LinkClient} from "../link/linkClient.js"
import type {Platform} from "../link/platform.js"
import {
	createSpread,
	RootSource,
	type SpreadAction,
	SpreadActionKind,
	type SpreadEvent,
	SpreadEventKind,
	type SpreadPeer,
	type SpreadState,
	stepSpread
} from "../policy/configSpread.js"
import type {Counters} from "../program/counters.js"
import type {Log} from "../program/log.js"
import {assertNever, messageOf, sleep} from "../utils/common.js"
import type {ConfigStore, ReadonlyPartMap} from "./configStore.js"
import {
	decodeParts,
	readPeerParts,
	readPeerRoot,
	readPlatformParts,
	readPlatformRoot
} from "./fetch.js"

export interface SpreadTaskOptions {
	/** Own link address, by which peers know this process. */
	selfAddress: string
	failureDomain: string
	isEntry: boolean
	platform: Platform
	store: ConfigStore
	/** The link to a peer, by its address. */
	client: (address: string) => LinkClient
	counters: Counters
	log: Log
	tickMs?: number
	watchMs?: number
	antiEntropyMs?: number
}

const watchRetryMs = 500

export class SpreadTask {
	private readonly options: Required<SpreadTaskOptions>
	private readonly state: SpreadState
	private readonly ticker: NodeJS.Timeout
	private watch: AbortController | undefined

	constructor(options: SpreadTaskOptions) {
		const {selfAddress, failureDomain, isEntry, antiEntropyMs = 2000} = options
		this.options = {tickMs: 250, watchMs: 20_000, ...options, antiEntropyMs}
		this.state = createSpread({
			selfId: selfAddress,
			failureDomain,
			isEntry,
			antiEntropyMs
		})
		this.ticker = setInterval(() => {
			this.step({kind: SpreadEventKind.Tick, random: Math.random()})
		}, this.options.tickMs)
	}

	/** Takes the entries known now, by address. */
	setPeers(peers: readonly SpreadPeer[]): void {
		this.step({kind: SpreadEventKind.PeersChanged, peers})
	}

	/** Takes the generation that a message of a peer carried. */
	handlePeerGeneration(address: string, generation: number): void {
		const peer = address
		this.step({kind: SpreadEventKind.PeerGeneration, peer, generation})
	}

	/**
	 * Takes a root with parts that the operator command handed over.
	 *
	 * @throws StoredConfigError when the root or a part is malformed
	 */
	handleOperatorOffer(offer: ConfigOffer): void {
		const root = decodeRoot(offer.root)
		const parts = decodeParts(offer.parts, "")
		this.learn(RootSource.Operator, "", root, parts)
	}

	close(): void {
		clearInterval(this.ticker)
		this.watch?.abort()
	}

	private step(event: SpreadEvent): void {
		const actions = stepSpread(this.state, event, Date.now())
		for (const action of actions) void this.carryOut(action)
	}

	private async carryOut(action: SpreadAction): Promise<void> {
		switch (action.kind) {
			case SpreadActionKind.FetchPlatformRoot:
				return this.fetchPlatformRoot()
			case SpreadActionKind.FetchPlatformParts:
				return this.fetchPlatformParts(action.hashes)
			case SpreadActionKind.FetchPeerRoot:
				return this.fetchPeerRoot(action.peer, action.known)
			case SpreadActionKind.FetchPeerParts:
				return this.fetchPeerParts(action.peer, action.hashes)
			case SpreadActionKind.Install:
				this.install(action.root, action.parts)
				return
			case SpreadActionKind.Offer:
				await Promise.all(action.peers.map(peer => this.offerTo(peer)))
				return
			case SpreadActionKind.Watch:
				this.startWatch()
				return
			case SpreadActionKind.StopWatching:
				this.watch?.abort()
				this.watch = undefined
				return
			case SpreadActionKind.ReportConflict:
				this.reportConflict(action.peer, action.generation)
				return
			default:
				assertNever(action)
		}
	}

	private install(
		root: ConfigRoot,
		parts: ReadonlyMap<string, ConfigPartContent>
	): void {
		this.options.store.install(root, parts)
		this.options.counters.set("config.generation", root.generation)
		this.options.log.info("configuration installed", {
			generation: root.generation
		})
	}

	private reportConflict(peer: string, generation: number): void {
		this.options.counters.add("config.conflicts")
		this.options.log.error("two contents claim one generation", {
			peer,
			generation
		})
	}

	private async fetchPlatformRoot(): Promise<void> {
		await this.guard(RootSource.Platform, "", async () => {
			const root = await readPlatformRoot(this.options.platform)
			if (root === undefined) throw new Error("no root is stored")
			this.learn(RootSource.Platform, "", root, new Map())
		})
	}

	private async fetchPlatformParts(hashes: readonly string[]): Promise<void> {
		await this.guard(RootSource.Platform, "", async () => {
			const {platform} = this.options
			await readPlatformParts(platform, hashes, parts => {
				this.receive(parts)
			})
		})
	}

	private async fetchPeerRoot(peer: string, known: number): Promise<void> {
		await this.guard(RootSource.Peer, peer, async () => {
			const client = this.options.client(peer)
			const {root, generation} = await readPeerRoot(client, known)
			if (root === undefined) this.handlePeerGeneration(peer, generation)
			else this.learn(RootSource.Peer, peer, root, new Map())
		})
	}

	private async fetchPeerParts(
		peer: string,
		hashes: readonly string[]
	): Promise<void> {
		await this.guard(RootSource.Peer, peer, async () => {
			const client = this.options.client(peer)
			await readPeerParts(client, hashes, parts => {
				this.receive(parts)
			})
		})
	}

	private async offerTo(peer: string): Promise<void> {
		await this.guard(RootSource.Peer, peer, async () => {
			const {store, selfAddress, client} = this.options
			const {generation} = await client(peer).offer({
				generation: store.generation,
				address: selfAddress
			})
			this.handlePeerGeneration(peer, generation)
		})
	}

	/** Runs a fetch; a failure is told to the decisions and counted. */
	private async guard(
		source: RootSource,
		peer: string,
		fetch: () => Promise<void>
	): Promise<void> {
		try {
			await fetch()
		} catch (err) {
			this.options.counters.add(`config.fetchFailed.${source}`)
			const reason = messageOf(err)
			this.options.log.debug("configuration fetch failed", {peer, reason})
			this.step({kind: SpreadEventKind.FetchFailed, source, peer})
		}
	}

	private learn(
		source: RootSource,
		peer: string,
		root: ConfigRoot,
		parts: ReadonlyPartMap
	): void {
		this.step({
			kind: SpreadEventKind.RootLearnt,
			source,
			peer,
			root,
			fingerprint: fingerprintRoot(root),
			parts
		})
	}

	private receive(parts: ReadonlyPartMap): void {
		this.step({kind: SpreadEventKind.PartsReceived, parts})
	}

	private startWatch(): void {
		this.watch?.abort()
		const controller = new AbortController()
		this.watch = controller
		void this.runWatch(controller.signal)
	}

	private async runWatch(signal: AbortSignal): Promise<void> {
		const {platform, watchMs, counters} = this.options
		let revision = 0
		while (!signal.aborted) {
			try {
				if (revision === 0) revision = await this.openWatch()
				const deadline = Date.now() + watchMs
				const seen = await platform.watch(configRootKind, revision, deadline)
				revision = seen.gap ? 0 : seen.revision
				if (seen.gap) {
					counters.add("config.watchGaps")
					this.step({kind: SpreadEventKind.WatchGap})
					await sleep(watchRetryMs, signal)
				}
				const latest = seen.events.findLast(
					event => event.name === configRootName && event.value !== null
				)
				if (latest === undefined || this.watch?.signal !== signal) continue
				const root = parseRoot(latest.value)
				this.learn(RootSource.Platform, "", root, new Map())
			} catch {
				counters.add("config.watchFailed")
				revision = 0
				await sleep(watchRetryMs, signal)
			}
		}
	}

	/** Lists the root and returns the revision to watch from. */
	private async openWatch(): Promise<number> {
		const {revision, items} = await this.options.platform.list(configRootKind)
		const item = items.find(({name}) => name === configRootName)
		if (item !== undefined) {
			const root = parseRoot(item.value)
			this.learn(RootSource.Platform, "", root, new Map())
		}
		return revision
	}
}
