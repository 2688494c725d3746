/** The operator command's side of the links to processes. */
import type {MessageInitShape} from "@bufbuild/protobuf"
import type {
	Ack,
	ConfigOfferSchema,
	ConfigRequestSchema,
	ConfigResponse,
	DrainRequestSchema,
	StatusResponse
} from "../contract/gen/link_pb.js"
import {LinkClient, type TlsKeys} from "../link/index.js"

/** A link to one process; every method rejects when it does not answer. */
export abstract class EntryLink {
	/** `ip:port` of the process. */
	abstract readonly address: string

	abstract config(
		req: MessageInitShape<typeof ConfigRequestSchema>
	): Promise<ConfigResponse>

	abstract offer(msg: MessageInitShape<typeof ConfigOfferSchema>): Promise<Ack>

	abstract drain(req: MessageInitShape<typeof DrainRequestSchema>): Promise<Ack>

	abstract status(): Promise<StatusResponse>

	abstract close(): void
}

/** A link over gRPC. */
class GrpcEntryLink extends EntryLink {
	readonly address: string
	private readonly client: LinkClient

	constructor(client: LinkClient) {
		super()
		this.address = client.address
		this.client = client
	}

	config(
		req: MessageInitShape<typeof ConfigRequestSchema>
	): Promise<ConfigResponse> {
		return this.client.config(req)
	}

	offer(msg: MessageInitShape<typeof ConfigOfferSchema>): Promise<Ack> {
		return this.client.offer(msg)
	}

	drain(req: MessageInitShape<typeof DrainRequestSchema>): Promise<Ack> {
		return this.client.drain(req)
	}

	status(): Promise<StatusResponse> {
		return this.client.status()
	}

	close(): void {
		this.client.close()
	}
}

/** Opens a link to the process at `address`. */
export type OpenLink = (address: string) => EntryLink

/** Opens links over gRPC. */
export function createLinkOpener(
	tls: TlsKeys | undefined,
	timeoutMs: number
): OpenLink {
	return address => new GrpcEntryLink(new LinkClient({address, tls, timeoutMs}))
}
