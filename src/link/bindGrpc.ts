/** Binds gRPC servers to their addresses. */
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
}

/** Resolves with the port. After a rejection the server can't be bound any more. */
export async function bindGrpc(
	server: grpc.Server,
	{address, tls, probesFirst = false}: GrpcBindOptions
): Promise<number> {
	try {
		if (probesFirst) await probeAddress(address)
		return await new Promise((resolve, reject) => {
			server.bindAsync(address, serverCredentials(tls), (err, port) => {
				if (err === null) resolve(port)
				else reject(err)
			})
		})
	} catch (err) {
		server.forceShutdown()
		throw err
	}
}

/** Rejects if nothing can listen at the address. */
async function probeAddress(address: string): Promise<void> {
	const probe = createServer(socket => socket.destroy())
	await listenAt(probe, address)
	await new Promise(resolve => probe.close(resolve))
}
