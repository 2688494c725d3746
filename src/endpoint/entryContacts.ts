/**
 * The entries that an endpoint process knows. Announces the process to each
 * entry until that entry acknowledges reports, and fetches the configuration
 * from the entries through a `SpreadTask`.
 */
import type {MessageInitShape} from "@bufbuild/protobuf"
import type {AnnounceSchema, ReportAck} from "../contract/gen/link_pb.js"
import {ClientPool, type Platform, type TlsKeys} from "../link/index.js"
import type {Counters} from "../program/counters.js"
import type {Log} from "../program/log.js"
import {type ConfigStore, SpreadTask} from "../spread/index.js"
import {sleep} from "../utils/common.js"

export interface EntryContactsOptions {
	selfAddress: string
	failureDomain: string
	/** Addresses of entries from the settings. */
	seeds: readonly string[]
	tls: TlsKeys | undefined
	platform: Platform
	store: ConfigStore
	counters: Counters
	log: Log
	/** Returns false until the process has acquired its incarnation. */
	canAnnounce: () => boolean
	describeSelf: () => MessageInitShape<typeof AnnounceSchema>
}

const unconfiguredAnnounceIntervalMs = 250
const announceIntervalMs = 5000
const antiEntropyMs = 5000
/** An entry that acknowledges no report for this long is removed. */
const entryExpiryMs = 60_000

export class EntryContacts {
	private readonly options: EntryContactsOptions
	private readonly clients: ClientPool
	private readonly spread: SpreadTask
	private readonly stop = new AbortController()
	/**
	 * By address of each entry that acknowledges reports: when to remove the
	 * entry unless another acknowledgement arrives.
	 */
	private readonly entryExpiresAt = new Map<string, number>()

	constructor(options: EntryContactsOptions) {
		this.options = options
		this.clients = new ClientPool(options.tls)
		this.spread = new SpreadTask({
			selfAddress: options.selfAddress,
			failureDomain: options.failureDomain,
			isEntry: false,
			platform: options.platform,
			store: options.store,
			client: address => this.clients.get(address),
			counters: options.counters,
			log: options.log,
			antiEntropyMs
		})
		this.updatePeers()
	}

	/**
	 * Until `close`, announces this process to the entries that do not yet
	 * acknowledge its reports; more often while it has no configuration.
	 */
	async run(): Promise<void> {
		while (!this.stop.signal.aborted) {
			await this.announceToNewEntries()
			const {isReady} = this.options.store
			const waitMs = isReady
				? announceIntervalMs
				: unconfiguredAnnounceIntervalMs
			await sleep(waitMs, this.stop.signal)
			this.updatePeers()
		}
	}

	/** Sends this process's identity and state to every known entry. */
	async announce(): Promise<void> {
		const addresses = this.listEntryAddresses()
		await Promise.allSettled(addresses.map(entry => this.announceTo(entry)))
	}

	/** Skips entries that acknowledge reports: they know this process already. */
	private async announceToNewEntries(): Promise<void> {
		const entries = this.listEntryAddresses().filter(
			address => !this.entryExpiresAt.has(address)
		)
		await Promise.allSettled(entries.map(entry => this.announceTo(entry)))
	}

	/** Handles an acknowledgement that arrived on a report stream. */
	handleAck(ack: ReportAck): void {
		const isNew = !this.entryExpiresAt.has(ack.entryAddress)
		this.entryExpiresAt.set(ack.entryAddress, Date.now() + entryExpiryMs)
		if (isNew) this.updatePeers()
		this.spread.handlePeerGeneration(ack.entryAddress, ack.generation)
	}

	close(): void {
		this.stop.abort()
		this.spread.close()
		this.clients.close()
	}

	/**
	 * Sends nothing before the incarnation is known, since an entry could not
	 * tell whether such an announcement is newer than an earlier process's.
	 */
	private async announceTo(address: string): Promise<void> {
		if (!this.options.canAnnounce()) return
		const client = this.clients.get(address)
		const {generation} = await client.announce(this.options.describeSelf())
		this.spread.handlePeerGeneration(address, generation)
	}

	private listEntryAddresses(): string[] {
		const now = Date.now()
		for (const [address, until] of this.entryExpiresAt) {
			if (until < now) this.entryExpiresAt.delete(address)
		}
		return [...new Set([...this.options.seeds, ...this.entryExpiresAt.keys()])]
	}

	private updatePeers(): void {
		const known = this.listEntryAddresses()
		this.clients.closeExcept(new Set(known))
		this.spread.setPeers(known.map(id => ({id, failureDomain: ""})))
	}
}
