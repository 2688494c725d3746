/** gRPC server of one process. */
import * as grpc from "@grpc/grpc-js"
import type {
	Ack,
	Announce,
	ConfigOffer,
	ConfigRequest,
	ConfigResponse,
	DrainRequest,
	Report,
	ReportAck,
	RunEvent,
	RunRequest,
	StatusRequest,
	StatusResponse,
	Ticket,
	TicketRequest
} from "../contract/gen/link_pb.js"
import {messageOf} from "../utils/common.js"
import {bindGrpc, type GrpcBindOptions} from "./bindGrpc.js"
import {linkMethods} from "./methods.js"

export type RunCall = grpc.ServerWritableStream<RunRequest, RunEvent>
export type ReportCall = grpc.ServerDuplexStream<ReportAck, Report>

/** Handlers by method; a method without one answers UNIMPLEMENTED. */
export interface LinkHandlers {
	run?: (call: RunCall) => void
	report?: (call: ReportCall) => void
	config?: (req: ConfigRequest) => Promise<ConfigResponse>
	offer?: (req: ConfigOffer) => Promise<Ack>
	announce?: (req: Announce) => Promise<Ack>
	drain?: (req: DrainRequest) => Promise<Ack>
	status?: (req: StatusRequest) => Promise<StatusResponse>
	ticket?: (req: TicketRequest) => Promise<Ticket>
}

export interface LinkServerOptions extends GrpcBindOptions {
	handlers: LinkHandlers
}

/** Thrown by a handler to answer a call with this gRPC status. */
export class RefusedCallError extends Error {
	constructor(
		readonly code: grpc.status,
		message: string
	) {
		super(message)
		this.name = "RefusedCallError"
	}
}

const maxMessageBytes = 16 * 1024 * 1024
const keepaliveMs = 5000

export class LinkServer {
	private readonly server: grpc.Server

	private constructor(
		server: grpc.Server,
		/** `ip:port` that is bound. */
		readonly address: string
	) {
		this.server = server
	}

	/** Binds the address and starts; rejects when the address is in use. */
	static async start(options: LinkServerOptions): Promise<LinkServer> {
		const server = new grpc.Server({
			"grpc.max_receive_message_length": maxMessageBytes,
			"grpc.keepalive_time_ms": keepaliveMs,
			"grpc.keepalive_timeout_ms": keepaliveMs,
			"grpc.so_reuseport": 0
		})
		addHandlers(server, options.handlers)
		const port = await bindGrpc(server, options)
		const ip = options.address.slice(0, options.address.lastIndexOf(":"))
		return new LinkServer(server, `${ip}:${port}`)
	}

	/** Stops accepting calls and resolves when all running calls have ended. */
	drain(): Promise<void> {
		return new Promise(resolve => {
			this.server.tryShutdown(() => {
				resolve()
			})
		})
	}

	close(): void {
		this.server.forceShutdown()
	}
}

function addHandlers(server: grpc.Server, handlers: LinkHandlers): void {
	const implementation: grpc.UntypedServiceImplementation = {}
	if (handlers.run !== undefined) implementation.run = handlers.run
	if (handlers.report !== undefined) implementation.report = handlers.report
	addUnaryHandler(implementation, "config", handlers.config)
	addUnaryHandler(implementation, "offer", handlers.offer)
	addUnaryHandler(implementation, "announce", handlers.announce)
	addUnaryHandler(implementation, "drain", handlers.drain)
	addUnaryHandler(implementation, "status", handlers.status)
	addUnaryHandler(implementation, "ticket", handlers.ticket)
	server.addService(linkMethods, implementation)
}

function addUnaryHandler(
	implementation: grpc.UntypedServiceImplementation,
	name: keyof typeof linkMethods,
	handler: ((req: never) => Promise<unknown>) | undefined
): void {
	if (handler === undefined) return
	const handleCall: grpc.handleUnaryCall<never, unknown> = (call, reply) => {
		handler(call.request).then(
			res => {
				reply(null, res)
			},
			(err: unknown) => {
				reply(toGrpcStatus(err))
			}
		)
	}
	implementation[name] = handleCall as grpc.UntypedHandleCall
}

function toGrpcStatus(err: unknown): Partial<grpc.StatusObject> {
	const code = err instanceof RefusedCallError ? err.code : grpc.status.INTERNAL
	return {code, details: messageOf(err)}
}
