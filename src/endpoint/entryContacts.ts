/**
 * What an endpoint process knows of the entries: it announces itself to them
 * until they open report streams, and takes its configuration from them.
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
	/** Addresses from the settings. */
	seeds: readonly string[]
	tls: TlsKeys | undefined
	platform: Platform
	store: ConfigStore
	counters: Counters
	log: Log
	/** False until the process has its incarnation. */
	isAnnounceable: () => boolean
	describe: () => MessageInitShape<typeof AnnounceSchema>
}

const eagerIntervalMs = 250
const idleIntervalMs = 5000
const antiEntropyMs = 5000
/** Time after which an entry that sent nothing is forgotten. */
const silenceMs = 60_000

export class EntryContacts {
	private readonly options: EntryContactsOptions
	private readonly clients: ClientPool
	private readonly spread: SpreadTask
	private readonly stop = new AbortController()
	/** Time until which an entry heard on a stream counts as known. */
	private readonly knownUntil = new Map<string, number>()

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

	/** Announces this process until `close`. */
	async run(): Promise<void> {
		while (!this.stop.signal.aborted) {
			await this.announceToUnlinked()
			const {isReady} = this.options.store
			const waitMs = isReady ? idleIntervalMs : eagerIntervalMs
			await sleep(waitMs, this.stop.signal)
			this.updatePeers()
		}
	}

	/** Tells every known entry what this process is and whether it leaves. */
	async announce(): Promise<void> {
		const addresses = this.listKnown()
		await Promise.allSettled(addresses.map(entry => this.announceTo(entry)))
	}

	/** An entry that acknowledges reports knows this process already. */
	private async announceToUnlinked(): Promise<void> {
		const entries = this.listKnown().filter(
			address => !this.knownUntil.has(address)
		)
		await Promise.allSettled(entries.map(entry => this.announceTo(entry)))
	}

	/** Takes an acknowledgement on a report stream. */
	hear(ack: ReportAck): void {
		const isNew = !this.knownUntil.has(ack.entryAddress)
		this.knownUntil.set(ack.entryAddress, Date.now() + silenceMs)
		if (isNew) this.updatePeers()
		this.spread.hear(ack.entryAddress, ack.generation)
	}

	close(): void {
		this.stop.abort()
		this.spread.close()
		this.clients.close()
	}

	/** An announcement before the incarnation is known could not be ranked. */
	private async announceTo(address: string): Promise<void> {
		if (!this.options.isAnnounceable()) return
		const client = this.clients.get(address)
		const {generation} = await client.announce(this.options.describe())
		this.spread.hear(address, generation)
	}

	private listKnown(): string[] {
		const now = Date.now()
		for (const [address, until] of this.knownUntil) {
			if (until < now) this.knownUntil.delete(address)
		}
		return [...new Set([...this.options.seeds, ...this.knownUntil.keys()])]
	}

	private updatePeers(): void {
		const known = this.listKnown()
		this.clients.keepOnly(new Set(known))
		this.spread.setPeers(known.map(id => ({id, failureDomain: ""})))
	}
}
