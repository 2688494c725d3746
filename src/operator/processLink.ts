/** Links from the operator command to entries and endpoint processes. */
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

/** A link to one process; each call rejects when the process does not answer. */
export abstract class ProcessLink {
	/** `ip:port` of the process. */
	abstract readonly address: string

	/**
	 * Returns the root that the process has or, if the request names parts, those of
	 * them that it has.
	 */
	abstract config(
		req: MessageInitShape<typeof ConfigRequestSchema>
	): Promise<ConfigResponse>

	/** Offers an accepted root with parts; the answer has the process's generation. */
	abstract offer(msg: MessageInitShape<typeof ConfigOfferSchema>): Promise<Ack>

	/**
	 * Drains the host `hostId`: the process itself, or an endpoint process, to which
	 * an entry forwards the request.
	 */
	abstract drain(req: MessageInitShape<typeof DrainRequestSchema>): Promise<Ack>

	/** Returns the status of the process and, from an entry, of known hosts. */
	abstract status(): Promise<StatusResponse>

	abstract close(): void
}

class GrpcProcessLink extends ProcessLink {
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
export type OpenLink = (address: string) => ProcessLink

/** Returns a function that opens gRPC links with these keys and this timeout. */
export function createLinkOpener(
	tls: TlsKeys | undefined,
	timeoutMs: number
): OpenLink {
	return address =>
		new GrpcProcessLink(new LinkClient({address, tls, timeoutMs}))
}
