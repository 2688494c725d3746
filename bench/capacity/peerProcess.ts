/** Starts the peer process (peer.ts) and sends it commands. */
import {type ChildProcess, fork} from "node:child_process"
import {once} from "node:events"
import {fileURLToPath} from "node:url"
import {
	type PeerReply,
	type PeerCommand,
	PeerCommandType
} from "./peerOrders.js"

export class PeerProcess {
	private readonly child: ChildProcess

	constructor() {
		this.child = fork(fileURLToPath(new URL("./peer.js", import.meta.url)))
	}

	/** Starts simulated endpoints and returns their addresses. */
	async startEndpoints(count: number): Promise<string[]> {
		const {addresses} = await this.sendCommand({
			type: PeerCommandType.StartEndpoints,
			count
		})
		return addresses
	}

	async readCpuUs(): Promise<number> {
		const {cpuUs} = await this.sendCommand({type: PeerCommandType.ReadCpu})
		return cpuUs
	}

	/** Replaces one resident adapter of every simulated endpoint. */
	async replaceAdapters(): Promise<void> {
		await this.sendCommand({type: PeerCommandType.ReplaceAdapters})
	}

	/** Makes every simulated endpoint change its reported load from now on. */
	async simulateLoad(): Promise<void> {
		await this.sendCommand({type: PeerCommandType.SimulateLoad})
	}

	/** Sends concurrent requests; resolves when all responses are read. */
	async sendRequests(url: string, count: number): Promise<void> {
		await this.sendCommand({type: PeerCommandType.SendRequests, url, count})
	}

	close(): void {
		this.child.kill()
	}

	private async sendCommand(command: PeerCommand): Promise<PeerReply> {
		const reply = once(this.child, "message")
		this.child.send(command)
		const [message] = (await reply) as [PeerReply]
		return message
	}
}
