/** Binds gRPC servers to their addresses. */
import type {EventEmitter} from "node:events"
import {createServer} from "node:net"
import type * as grpc from "@grpc/grpc-js"
import {listenAt} from "../utils/listenAt.js"
import {serverCredentials, type TlsKeys} from "./tls.js"

export interface GrpcBindOptions {
	/** `ip:port`; port 0 binds a free port. */
	address: string
	tls?: TlsKeys | undefined
	/**
	 * Whether to find out with a plain socket first if the address can be bound, since
	 * gRPC prints each failure on standard error; false by default.
	 */
	probesFirst?: boolean
	/** Called with each error of the listener after it was bound. */
	onError: (err: Error) => void
}

/** Resolves with the port. After a rejection the server can't be bound any more. */
export async function bindGrpc(
	server: grpc.Server,
	{address, tls, probesFirst = false, onError}: GrpcBindOptions
): Promise<number> {
	try {
		if (probesFirst) await probeAddress(address)
		const port = await new Promise<number>((resolve, reject) => {
			server.bindAsync(address, serverCredentials(tls), (err, port) => {
				if (err === null) resolve(port)
				else reject(err)
			})
		})
		for (const http2Server of listHttp2Servers(server))
			http2Server.on("error", onError)
		return port
	} catch (err) {
		server.forceShutdown()
		throw err
	}
}

/** gRPC leaves these without a listener for errors, and offers no way to add one. */
function listHttp2Servers(server: grpc.Server): EventEmitter[] {
	const {http2Servers} = server as unknown as {
		http2Servers: Map<EventEmitter, unknown>
	}
	return [...http2Servers.keys()]
}

/** Rejects if nothing can listen at the address. */
async function probeAddress(address: string): Promise<void> {
	const probe = createServer(socket => socket.destroy())
	// Nothing is served by it.
	await listenAt(probe, address, {onError: () => undefined})
	await new Promise(resolve => probe.close(resolve))
}
