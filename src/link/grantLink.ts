/** The gRPC stream between a gateway and the agent beside an engine. */
import * as grpc from "@grpc/grpc-js"
import type {AgentMessage, GatewayMessage} from "../contract/gen/grants_pb.js"
import {grantMethods} from "./methods.js"
import {clientCredentials, serverCredentials, type TlsKeys} from "./tls.js"

export type GrantStream = grpc.ClientDuplexStream<GatewayMessage, AgentMessage>
export type GrantCall = grpc.ServerDuplexStream<GatewayMessage, AgentMessage>

/** A stream to one agent, with the connection it runs on. */
export interface OpenGrantStream {
	stream: GrantStream
	close(): void
}

/** The caller's heartbeats replace gRPC's, whose shortest period is seconds. */
const reconnectMs = 200

/** Opens a stream on a connection of its own. */
export function openGrantStream(
	address: string,
	tls?: TlsKeys
): OpenGrantStream {
	const client = new grpc.Client(address, clientCredentials(tls), {
		"grpc.initial_reconnect_backoff_ms": reconnectMs,
		"grpc.max_reconnect_backoff_ms": reconnectMs,
		"grpc.use_local_subchannel_pool": 1,
		"grpc.enable_retries": 0
	})
	const {path, requestSerialize, responseDeserialize} = grantMethods.grants
	const stream = client.makeBidiStreamRequest(
		path,
		requestSerialize,
		responseDeserialize
	)
	return {
		stream,
		close: () => {
			// A call that is still open reports its cancellation as an error.
			stream.on("error", () => undefined)
			stream.cancel()
			client.close()
		}
	}
}

export interface GrantServerOptions {
	/** `ip:port`. */
	address: string
	tls?: TlsKeys | undefined
	onCall: (call: GrantCall) => void
}

/** Serves the streams of gateways; rejects when the address is taken. */
export async function startGrantServer(
	options: GrantServerOptions
): Promise<grpc.Server> {
	const server = new grpc.Server({"grpc.so_reuseport": 0})
	server.addService(grantMethods, {grants: options.onCall})
	await new Promise<void>((resolve, reject) => {
		server.bindAsync(options.address, serverCredentials(options.tls), err => {
			if (err === null) resolve()
			else reject(err)
		})
	})
	return server
}
