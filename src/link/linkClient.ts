/** gRPC client of one peer process. */
import * as grpc from "@grpc/grpc-js"
import type {MessageInitShape} from "@bufbuild/protobuf"
import {create} from "@bufbuild/protobuf"
import {
	type Ack,
	AnnounceSchema,
	ConfigOfferSchema,
	ConfigRequestSchema,
	type ConfigResponse,
	DrainRequestSchema,
	type Report,
	type ReportAck,
	type RunEvent,
	type RunRequest,
	StatusRequestSchema,
	type StatusResponse,
	type Ticket,
	TicketRequestSchema
} from "../contract/gen/link_pb.js"
import {Step, StepError} from "../contract/errors.js"
import {linkMethods} from "./methods.js"
import {clientCredentials, type TlsKeys} from "./tls.js"

export interface LinkClientOptions {
	/** `ip:port` of the peer's link server. */
	address: string
	tls?: TlsKeys | undefined
	/** Timeout of unary calls. */
	timeoutMs?: number
}

export type RunStream = grpc.ClientReadableStream<RunEvent>
export type ReportStream = grpc.ClientDuplexStream<ReportAck, Report>

/** A unary call to a peer failed; `code` is its gRPC status. */
export class LinkError extends StepError {
	constructor(
		peer: string,
		readonly code: grpc.status,
		message: string
	) {
		super(message, {step: Step.Forward, peer})
	}
}

const maxMessageBytes = 16 * 1024 * 1024
const minReconnectBackoffMs = 100
const maxReconnectBackoffMs = 2000
const keepaliveMs = 5000

export class LinkClient {
	readonly address: string
	private readonly client: grpc.Client
	private readonly timeoutMs: number

	constructor({address, tls, timeoutMs = 3000}: LinkClientOptions) {
		this.address = address
		this.timeoutMs = timeoutMs
		this.client = new grpc.Client(address, clientCredentials(tls), {
			"grpc.max_receive_message_length": maxMessageBytes,
			"grpc.initial_reconnect_backoff_ms": minReconnectBackoffMs,
			"grpc.max_reconnect_backoff_ms": maxReconnectBackoffMs,
			"grpc.keepalive_time_ms": keepaliveMs,
			"grpc.keepalive_timeout_ms": keepaliveMs,
			"grpc.use_local_subchannel_pool": 1,
			// gRPC's own retries would hide whether a call reached the peer.
			"grpc.enable_retries": 0
		})
	}

	/** Starts a request on the peer; its events arrive on the returned stream. */
	run(req: RunRequest, deadline: number): RunStream {
		const {path, requestSerialize, responseDeserialize} = linkMethods.run
		return this.client.makeServerStreamRequest(
			path,
			requestSerialize,
			responseDeserialize,
			req,
			{deadline}
		)
	}

	/** Opens a stream on which the peer sends reports and this side acknowledges. */
	report(): ReportStream {
		const {path, requestSerialize, responseDeserialize} = linkMethods.report
		return this.client.makeBidiStreamRequest(
			path,
			requestSerialize,
			responseDeserialize
		)
	}

	/** Resolves to true once connected, or to false at `deadline` (epoch ms). */
	waitForReady(deadline: number): Promise<boolean> {
		return new Promise(resolve => {
			this.client.waitForReady(deadline, err => {
				resolve(err === undefined)
			})
		})
	}

	config(
		req: MessageInitShape<typeof ConfigRequestSchema>
	): Promise<ConfigResponse> {
		return this.callUnary(linkMethods.config, create(ConfigRequestSchema, req))
	}

	offer(msg: MessageInitShape<typeof ConfigOfferSchema>): Promise<Ack> {
		return this.callUnary(linkMethods.offer, create(ConfigOfferSchema, msg))
	}

	announce(msg: MessageInitShape<typeof AnnounceSchema>): Promise<Ack> {
		return this.callUnary(linkMethods.announce, create(AnnounceSchema, msg))
	}

	drain(req: MessageInitShape<typeof DrainRequestSchema>): Promise<Ack> {
		return this.callUnary(linkMethods.drain, create(DrainRequestSchema, req))
	}

	status(): Promise<StatusResponse> {
		return this.callUnary(linkMethods.status, create(StatusRequestSchema))
	}

	ticket(req: MessageInitShape<typeof TicketRequestSchema>): Promise<Ticket> {
		return this.callUnary(linkMethods.ticket, create(TicketRequestSchema, req))
	}

	close(): void {
		this.client.close()
	}

	private callUnary<I, O>(
		method: grpc.MethodDefinition<I, O>,
		req: I
	): Promise<O> {
		return new Promise((resolve, reject) => {
			const deadline = Date.now() + this.timeoutMs
			this.client.makeUnaryRequest(
				method.path,
				method.requestSerialize,
				method.responseDeserialize,
				req,
				{deadline},
				(err, res) => {
					if (err === null && res !== undefined) resolve(res)
					else reject(this.toLinkError(err))
				}
			)
		})
	}

	private toLinkError(err: grpc.ServiceError | null): LinkError {
		const code = err?.code ?? grpc.status.UNKNOWN
		return new LinkError(this.address, code, err?.details ?? "no answer")
	}
}
