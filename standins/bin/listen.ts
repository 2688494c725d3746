/** The `--listen` setting and the shutdown of the stand-in programs. */
import {settingSchemas, type RunningService} from "../../src/program/index.js"
import type {ListenOptions} from "../common/index.js"

export const listenSetting = {
	schema: settingSchemas.address,
	description: "Address to listen on",
	placeholder: "ip:port"
}

/** Splits `ip:port`; an IPv6 address loses its brackets. */
export function parseListen(address: string): Required<ListenOptions> {
	const separator = address.lastIndexOf(":")
	const ip = address.slice(0, separator).replace(/[[\]]/g, "")
	return {ip, port: Number(address.slice(separator + 1))}
}

/** Creates a daemon that closes its servers when it is drained. */
export function createDrainableService(
	servers: readonly {close(): Promise<void>}[]
): RunningService {
	return {
		drain: async () => {
			await Promise.all(servers.map(server => server.close()))
		}
	}
}
