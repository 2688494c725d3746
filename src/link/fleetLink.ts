/**
 * Clients and servers of two gRPC services: grants, between a gateway and an agent,
 * and fleet, between two gateways.
 */
import * as grpc from "@grpc/grpc-js"
import {create} from "@bufbuild/protobuf"
import {
	type ConfirmAnswer,
	type ConfirmRequest,
	ConfirmRequestSchema,
	type FleetUpdate,
	type FollowRequest,
	FollowRequestSchema
} from "../contract/gen/fleet_pb.js"
import type {AgentMessage, GatewayMessage} from "../contract/gen/grants_pb.js"
import {bindGrpc, type GrpcBindOptions} from "./bindGrpc.js"
import {fleetMethods, grantMethods} from "./methods.js"
import {clientCredentials, type TlsKeys} from "./tls.js"

export type GrantStream = grpc.ClientDuplexStream<GatewayMessage, AgentMessage>
export type GrantCall = grpc.ServerDuplexStream<GatewayMessage, AgentMessage>

/** A stream to one agent; `close` also closes its connection. */
export interface OpenGrantStream {
	stream: GrantStream
	close(): void
}

const reconnectBackoffMs = 200
/**
 * Limit for a message of an agent, bytes; it ends the stream. A gateway has a stream to
 * each agent, and an agent's state has changes only.
 */
const maxAgentMessageBytes = 4 * 1024 * 1024
/**
 * The same for a gateway's update, of which there are few sources: the first one has the
 * whole fleet and the configuration, compressed or not.
 */
const maxUpdateBytes = 16 * 1024 * 1024

/** Opens a grant stream on its own connection. */
export function openGrantStream(
	address: string,
	tls?: TlsKeys
): OpenGrantStream {
	const client = openClient(address, tls, maxAgentMessageBytes)
	const {path, requestSerialize, responseDeserialize} = grantMethods.grants
	const stream = client.makeBidiStreamRequest(
		path,
		requestSerialize,
		responseDeserialize
	)
	return {
		stream,
		close: () => {
			// Cancelling an open call emits an error, which would be unhandled.
			stream.on("error", () => undefined)
			stream.cancel()
			client.close()
		}
	}
}

export type FollowStream = grpc.ClientReadableStream<FleetUpdate>
export type FollowCall = grpc.ServerWritableStream<FollowRequest, FleetUpdate>

/** A stream from one gateway; `close` also closes its connection. */
export interface OpenFollowStream {
	stream: FollowStream
	/**
	 * Asks the gateway, on the same connection, to confirm the configuration. Calls back
	 * once; without an answer if the call failed or took too long.
	 */
	confirm(onAnswer: (answer: ConfirmAnswer | undefined) => void): void
	close(): void
}

/**
 * Time after which a call to confirm is cancelled. The asking gateway asks another
 * one long before.
 */
const confirmTimeoutMs = 2000

export interface FollowOptions {
	/** Host name of the gateway that subscribes. */
	gateway: string
	/** Version of its configuration, which it doesn't need to get. */
	configVersion: number | undefined
	/** See `FollowRequest`. */
	relies?: boolean
	tls?: TlsKeys | undefined
}

/** Subscribes to the fleet updates of a gateway that watches the platform. */
export function openFollowStream(
	address: string,
	{gateway, configVersion, relies = false, tls}: FollowOptions
): OpenFollowStream {
	const client = openClient(address, tls, maxUpdateBytes)
	const {path, requestSerialize, responseDeserialize} = fleetMethods.follow
	const stream = client.makeServerStreamRequest(
		path,
		requestSerialize,
		responseDeserialize,
		create(FollowRequestSchema, {
			gateway,
			acceptsCompressed: true,
			relies,
			...(configVersion === undefined ? {} : {configVersion})
		})
	)
	return {
		stream,
		confirm: onAnswer => {
			const {confirm: method} = fleetMethods
			const call = client.makeUnaryRequest(
				method.path,
				method.requestSerialize,
				method.responseDeserialize,
				create(ConfirmRequestSchema, {gateway}),
				(err, answer) => {
					clearTimeout(timer)
					onAnswer(err === null ? answer : undefined)
				}
			)
			// Not a gRPC deadline, which is a time of day and moves with its steps.
			const timer = setTimeout(() => {
				call.cancel()
			}, confirmTimeoutMs)
		},
		close: () => {
			stream.on("error", () => undefined)
			stream.cancel()
			client.close()
		}
	}
}

/** Serves grant streams to gateways; rejects when the address is in use. */
export function startGrantServer(
	options: GrpcBindOptions & {onCall: (call: GrantCall) => void}
): Promise<grpc.Server> {
	return bindServer(options, server => {
		server.addService(grantMethods, {grants: options.onCall})
	})
}

/** Serves other gateways; rejects when the address is in use. */
export function startFollowServer(
	options: GrpcBindOptions & {
		onCall: (call: FollowCall) => void
		/** Answers a call to confirm. */
		confirm: () => ConfirmAnswer
	}
): Promise<grpc.Server> {
	const confirm: grpc.handleUnaryCall<ConfirmRequest, ConfirmAnswer> = (
		_call,
		respond
	) => {
		respond(null, options.confirm())
	}
	return bindServer(options, server => {
		server.addService(fleetMethods, {follow: options.onCall, confirm})
	})
}

function openClient(
	address: string,
	tls: TlsKeys | undefined,
	maxMessageBytes: number
): grpc.Client {
	// Without keepalive options: gRPC's shortest keepalive period is seconds, so
	// the users of the streams send heartbeats of their own.
	return new grpc.Client(address, clientCredentials(tls), {
		"grpc.max_receive_message_length": maxMessageBytes,
		"grpc.initial_reconnect_backoff_ms": reconnectBackoffMs,
		"grpc.max_reconnect_backoff_ms": reconnectBackoffMs,
		"grpc.use_local_subchannel_pool": 1,
		"grpc.enable_retries": 0
	})
}

async function bindServer(
	options: GrpcBindOptions,
	addServices: (server: grpc.Server) => void
): Promise<grpc.Server> {
	const server = new grpc.Server({"grpc.so_reuseport": 0})
	addServices(server)
	await bindGrpc(server, options)
	return server
}
