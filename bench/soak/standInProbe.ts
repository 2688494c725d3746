/**
 * Measures how soon the stand-ins of a soak answer. They share one event loop, so
 * a call over a relay to a server that does nothing takes as long as one to the store.
 */
import {once} from "node:events"
import {createServer, get, type Server} from "node:http"
import type {AddressInfo} from "node:net"
import {type Relay, startRelay} from "../../standins/relay.js"
import {sleep} from "../../src/utils/common.js"

/** The platform's store answers within this time, also when it is slow. */
const maxAnswerMs = 250
const intervalMs = 250

export class StandInProbe {
	/** When the last answer came that took longer than the platform's store may. */
	lastLateAt = Number.NEGATIVE_INFINITY
	/** The longest time that an answer took since `resetLongest`. */
	longestMs = 0
	private isStopped = false
	private loop: Promise<void> = Promise.resolve()

	private constructor(
		private readonly server: Server,
		private readonly relay: Relay
	) {}

	static async start(ip: string): Promise<StandInProbe> {
		const server = createServer((_req, res) => {
			res.end()
		})
		server.listen(0, ip)
		await once(server, "listening")
		const {port} = server.address() as AddressInfo
		const relay = await startRelay({target: `${ip}:${port}`, ip})
		const probe = new StandInProbe(server, relay)
		probe.loop = probe.run()
		return probe
	}

	resetLongest(): void {
		this.longestMs = 0
	}

	async stop(): Promise<void> {
		this.isStopped = true
		await this.loop
		this.server.close()
		await this.relay.close()
	}

	private async run(): Promise<void> {
		while (!this.isStopped) {
			const sentAt = performance.now()
			await this.call()
			const now = performance.now()
			this.longestMs = Math.max(this.longestMs, now - sentAt)
			if (now - sentAt > maxAnswerMs) this.lastLateAt = now
			await sleep(intervalMs)
		}
	}

	private call(): Promise<void> {
		const url = `http://${this.relay.address}/`
		return new Promise((resolve, reject) => {
			const req = get(url, {agent: false}, res => {
				res.resume()
				res.on("end", resolve)
			})
			req.on("error", reject)
		})
	}
}
