/** Starts the child process that stands for endpoint processes. */
import {type ChildProcess, fork} from "node:child_process"
import {once} from "node:events"
import {fileURLToPath} from "node:url"
import {type PeerAnswer, type PeerOrder, PeerOrderType} from "./peerOrders.js"

export class PeerProcess {
	private readonly child: ChildProcess

	constructor() {
		this.child = fork(fileURLToPath(new URL("./peer.js", import.meta.url)))
	}

	/** Opens endpoints and returns their addresses. */
	async open(count: number): Promise<string[]> {
		const {addresses} = await this.ask({type: PeerOrderType.Open, count})
		return addresses
	}

	async readCpuUs(): Promise<number> {
		const {cpuUs} = await this.ask({type: PeerOrderType.ReadCpu})
		return cpuUs
	}

	/** Replaces one resident adapter at every endpoint. */
	async replace(): Promise<void> {
		await this.ask({type: PeerOrderType.Replace})
	}

	/** Lets requests start and end at every endpoint from now on. */
	async work(): Promise<void> {
		await this.ask({type: PeerOrderType.Work})
	}

	/** Sends requests at a time and resolves when all answers are read. */
	async call(url: string, count: number): Promise<void> {
		await this.ask({type: PeerOrderType.Call, url, count})
	}

	close(): void {
		this.child.kill()
	}

	private async ask(order: PeerOrder): Promise<PeerAnswer> {
		const answer = once(this.child, "message")
		this.child.send(order)
		const [message] = (await answer) as [PeerAnswer]
		return message
	}
}
