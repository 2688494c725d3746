/** Finds out by a connection whether a process listens at an address. */
import {connect} from "node:net"

export enum ProbeResult {
	Listening = "listening",
	/** The host is there and no process listens. */
	Refused = "refused",
	/** No reply within the timeout, or none that tells. */
	Unknown = "unknown"
}

export function probeAddress(
	address: string,
	timeoutMs: number
): Promise<ProbeResult> {
	const [host = "", port = ""] = address.split(":")
	return new Promise(resolve => {
		const socket = connect({host, port: Number(port)})
		const finish = (result: ProbeResult): void => {
			clearTimeout(timer)
			socket.destroy()
			resolve(result)
		}
		const timer = setTimeout(() => {
			finish(ProbeResult.Unknown)
		}, timeoutMs)
		socket.on("connect", () => {
			finish(ProbeResult.Listening)
		})
		socket.on("error", (err: NodeJS.ErrnoException) => {
			const isRefused = err.code === "ECONNREFUSED"
			finish(isRefused ? ProbeResult.Refused : ProbeResult.Unknown)
		})
	})
}
