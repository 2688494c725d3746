/**
 * What an endpoint process knows of the entries: it announces itself to them
 * until they report streams, and follows their configuration.
 */
import type {MessageInitShape} from "@bufbuild/protobuf"
import type {AnnounceSchema, ReportAck} from "../contract/gen/link_pb.js"
import {LinkClient, type TlsKeys} from "../link/index.js"
import type {Log} from "../program/log.js"
import {ConfigFollower, type ConfigStore} from "../spread/index.js"
import {sleep} from "../utils/common.js"

export interface EntryContactsOptions {
	/** Addresses from the settings. */
	seeds: readonly string[]
	tls: TlsKeys | undefined
	store: ConfigStore
	log: Log
	describe: () => MessageInitShape<typeof AnnounceSchema>
}

const eagerIntervalMs = 250
const idleIntervalMs = 5000

export class EntryContacts {
	private readonly options: EntryContactsOptions
	private readonly clients = new Map<string, LinkClient>()
	private readonly follower: ConfigFollower
	private readonly stop = new AbortController()

	constructor(options: EntryContactsOptions) {
		this.options = options
		this.follower = new ConfigFollower(options.store, options.log)
		for (const address of options.seeds) this.client(address)
	}

	/** Announces this process and pulls configuration until `close`. */
	async run(): Promise<void> {
		while (!this.stop.signal.aborted) {
			await this.announce()
			const {isReady} = this.options.store
			const waitMs = isReady ? idleIntervalMs : eagerIntervalMs
			await sleep(waitMs, this.stop.signal)
		}
	}

	/** Tells every known entry what this process is and whether it leaves. */
	async announce(): Promise<void> {
		const clients = [...this.clients.values()]
		await Promise.allSettled(clients.map(client => this.announceTo(client)))
	}

	/** Takes an acknowledgement on a report stream. */
	hear(ack: ReportAck): void {
		const client = this.client(ack.entryAddress)
		this.follower.hear(client, ack.generation)
	}

	close(): void {
		this.stop.abort()
		for (const client of this.clients.values()) client.close()
	}

	private async announceTo(client: LinkClient): Promise<void> {
		const {generation} = await client.announce(this.options.describe())
		this.follower.hear(client, generation)
	}

	private client(address: string): LinkClient {
		const known = this.clients.get(address)
		if (known !== undefined) return known
		const client = new LinkClient({address, tls: this.options.tls})
		this.clients.set(address, client)
		return client
	}
}
