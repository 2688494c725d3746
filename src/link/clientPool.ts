/** Clients of peers by address, opened when first used. */
import {LinkClient} from "./linkClient.js"
import type {TlsKeys} from "./tls.js"

export class ClientPool {
	private readonly clients = new Map<string, LinkClient>()

	constructor(private readonly tls: TlsKeys | undefined) {}

	get(address: string): LinkClient {
		const known = this.clients.get(address)
		if (known !== undefined) return known
		const client = new LinkClient({address, tls: this.tls})
		this.clients.set(address, client)
		return client
	}

	get addresses(): string[] {
		return [...this.clients.keys()]
	}

	/** Closes the clients of addresses that are not in use any more. */
	closeExcept(addresses: ReadonlySet<string>): void {
		for (const [address, client] of this.clients) {
			if (addresses.has(address)) continue
			client.close()
			this.clients.delete(address)
		}
	}

	close(): void {
		for (const client of this.clients.values()) client.close()
		this.clients.clear()
	}
}
