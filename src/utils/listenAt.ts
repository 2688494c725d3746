/** Binds servers of Node.js to addresses. */
import type {Server} from "node:net"
import {splitAddress} from "./common.js"

export interface ListenOptions {
	/** Connections that may wait to be accepted. */
	backlog?: number
	/** Called with each error after the server listens. */
	onError: (err: Error) => void
}

/**
 * Listens at `ip:port`; rejects if that fails, after which the server may listen
 * again. However often it fails, it leaves no listeners behind.
 */
export function listenAt(
	server: Server,
	address: string,
	{backlog, onError}: ListenOptions
): Promise<void> {
	return new Promise((resolve, reject) => {
		const settle = (err?: Error): void => {
			server.off("error", settle)
			server.off("listening", settle)
			if (err === undefined) {
				server.on("error", onError)
				resolve()
			} else reject(err)
		}
		server.on("error", settle)
		server.on("listening", settle)
		server.listen({...splitAddress(address), backlog})
	})
}
