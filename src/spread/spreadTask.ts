/**
 * Runs configuration propagation in one process. It feeds events into the
 * `configSpread` state machine and executes its actions: fetching from the
 * platform and peers, installing into the store, notifying peers.
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
	/** This process's link address, which identifies it to peers. */
	selfAddress: string
	failureDomain: string
	isEntry: boolean
	platform: Platform
	store: ConfigStore
	/** Returns the client of a peer, by its link address. */
	client: (address: string) => LinkClient
	counters: Counters
	log: Log
	/** Interval of the state machine's ticks. */
	tickMs?: number
	/** Timeout of one long-poll watch. */
	watchMs?: number
	/**
	 * Interval of asking a random peer for a newer root; also the shortest
	 * interval between two offers to one stale peer.
	 */
	antiEntropyMs?: number
}

const watchRetryMs = 500

export class SpreadTask {
	private readonly options: Required<SpreadTaskOptions>
	private readonly state: SpreadState
	private readonly ticker: NodeJS.Timeout
	private watchController: AbortController | undefined

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

	/** Replaces the set of known entries. */
	setPeers(peers: readonly SpreadPeer[]): void {
		this.step({kind: SpreadEventKind.PeersChanged, peers})
	}

	/** Handles the generation that a peer reported in a message. */
	handlePeerGeneration(address: string, generation: number): void {
		const peer = address
		this.step({kind: SpreadEventKind.PeerGeneration, peer, generation})
	}

	/**
	 * Handles a root and parts that the operator command sent.
	 *
	 * @throws StoredConfigError when the root or a part is malformed
	 */
	handleOperatorOffer(offer: ConfigOffer): void {
		const root = decodeRoot(offer.root)
		const parts = decodeParts(offer.parts, "")
		this.handleRoot(RootSource.Operator, "", root, parts)
	}

	close(): void {
		clearInterval(this.ticker)
		this.watchController?.abort()
	}

	private step(event: SpreadEvent): void {
		const actions = stepSpread(this.state, event, Date.now())
		for (const action of actions) void this.execute(action)
	}

	private async execute(action: SpreadAction): Promise<void> {
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
				this.watchController?.abort()
				this.watchController = undefined
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
		this.options.log.error(
			"ignored a configuration root: its generation is installed or pending with other content",
			{
				peer,
				generation
			}
		)
	}

	private async fetchPlatformRoot(): Promise<void> {
		await this.runCall(RootSource.Platform, "", async () => {
			const root = await readPlatformRoot(this.options.platform)
			if (root === undefined)
				throw new Error("the platform has no configuration root")
			this.handleRoot(RootSource.Platform, "", root, new Map())
		})
	}

	private async fetchPlatformParts(hashes: readonly string[]): Promise<void> {
		await this.runCall(RootSource.Platform, "", async () => {
			const {platform} = this.options
			await readPlatformParts(platform, hashes, parts => {
				this.handleParts(parts)
			})
		})
	}

	private async fetchPeerRoot(peer: string, known: number): Promise<void> {
		await this.runCall(RootSource.Peer, peer, async () => {
			const client = this.options.client(peer)
			const {root, generation} = await readPeerRoot(client, known)
			if (root === undefined) this.handlePeerGeneration(peer, generation)
			else this.handleRoot(RootSource.Peer, peer, root, new Map())
		})
	}

	private async fetchPeerParts(
		peer: string,
		hashes: readonly string[]
	): Promise<void> {
		await this.runCall(RootSource.Peer, peer, async () => {
			const client = this.options.client(peer)
			await readPeerParts(client, hashes, parts => {
				this.handleParts(parts)
			})
		})
	}

	private async offerTo(peer: string): Promise<void> {
		await this.runCall(RootSource.Peer, peer, async () => {
			const {store, selfAddress, client} = this.options
			const {generation} = await client(peer).offer({
				generation: store.generation,
				address: selfAddress
			})
			this.handlePeerGeneration(peer, generation)
		})
	}

	/** Runs a fetch or an offer; on failure counts it and notifies the state machine. */
	private async runCall(
		source: RootSource,
		peer: string,
		call: () => Promise<void>
	): Promise<void> {
		try {
			await call()
		} catch (err) {
			this.options.counters.add(`config.fetchFailed.${source}`)
			const reason = messageOf(err)
			this.options.log.debug("configuration fetch or offer failed", {
				peer,
				reason
			})
			this.step({kind: SpreadEventKind.FetchFailed, source, peer})
		}
	}

	private handleRoot(
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

	private handleParts(parts: ReadonlyPartMap): void {
		this.step({kind: SpreadEventKind.PartsReceived, parts})
	}

	private startWatch(): void {
		this.watchController?.abort()
		const controller = new AbortController()
		this.watchController = controller
		void this.runWatch(controller.signal)
	}

	private async runWatch(signal: AbortSignal): Promise<void> {
		const {platform, watchMs, counters} = this.options
		let revision = 0
		while (!signal.aborted) {
			try {
				if (revision === 0) revision = await this.openWatch()
				const deadline = Date.now() + watchMs
				const result = await platform.watch(configRootKind, revision, deadline)
				revision = result.gap ? 0 : result.revision
				if (result.gap) {
					counters.add("config.watchGaps")
					this.step({kind: SpreadEventKind.WatchGap})
					await sleep(watchRetryMs, signal)
				}
				const latest = result.events.findLast(
					event => event.name === configRootName && event.value !== null
				)
				if (latest === undefined || this.watchController?.signal !== signal)
					continue
				const root = parseRoot(latest.value)
				this.handleRoot(RootSource.Platform, "", root, new Map())
			} catch {
				counters.add("config.watchFailed")
				revision = 0
				await sleep(watchRetryMs, signal)
			}
		}
	}

	/** Reads the current root and returns the revision to watch from. */
	private async openWatch(): Promise<number> {
		const {revision, items} = await this.options.platform.list(configRootKind)
		const item = items.find(({name}) => name === configRootName)
		if (item !== undefined) {
			const root = parseRoot(item.value)
			this.handleRoot(RootSource.Platform, "", root, new Map())
		}
		return revision
	}
}
