/** Traffic of many clients, each with a kept connection to one of the gateways. */
import {randomBytes} from "node:crypto"
import {Client} from "./client.mjs"
import {sleep} from "./deployment.mjs"

export class Traffic {
	/** `kinds` are drawn by their `share`; each has what `Client.send` takes. */
	constructor({deployment, clients, perSecond, kinds}) {
		this.deployment = deployment
		this.kinds = kinds
		this.pauseMs = (clients * 1000) / perSecond
		this.results = []
		this.isStopping = false
		this.clients = Array.from({length: clients}, (_, index) => {
			const {gateways} = deployment
			return this.createClient(index, gateways[index % gateways.length])
		})
	}

	createClient(index, {ip, port}) {
		const name = `client-${index}`
		return new Client({
			name,
			ip,
			port,
			record: (client, result) => {
				this.results.push(result)
				const {id, method, path, status, isKept, reason} = result
				const ms = Math.round(result.endedAt - result.sentAt)
				const kept = isKept ? "kept connection" : "new connection"
				this.deployment.log(
					`${client.name} ${method} ${path} ${id} on a ${kept}: ` +
						`${status === 0 ? `no answer (${reason})` : status} after ${ms} ms`
				)
			}
		})
	}

	start() {
		this.loops = this.clients.map((_, index) => this.run(index))
	}

	/** Stops sending and waits for what is open. */
	async stop() {
		this.isStopping = true
		await Promise.all(this.loops)
		for (const client of this.clients) client.close()
	}

	async run(index) {
		await sleep(Math.random() * this.pauseMs)
		while (!this.isStopping) {
			const startedAt = performance.now()
			const kind = this.pick()
			const result = await this.clients[index].send(kind)
			// The platform forwards a new connection to another gateway.
			if (result.status === 0) this.move(index)
			const leftMs = startedAt + this.pauseMs - performance.now()
			await sleep(Math.max(1, leftMs * (0.8 + 0.4 * Math.random())))
		}
	}

	move(index) {
		const {gateways} = this.deployment
		const client = this.clients[index]
		const at = gateways.findIndex(({ip}) => ip === client.target.host)
		client.close()
		const next = gateways[(at + 1) % gateways.length]
		this.clients[index] = this.createClient(index, next)
	}

	pick() {
		let left = Math.random() * this.kinds.reduce((sum, k) => sum + k.share, 0)
		for (const kind of this.kinds) {
			left -= kind.share
			if (left < 0) return this.complete(kind)
		}
		return this.complete(this.kinds[0])
	}

	complete(kind) {
		return kind.headers === undefined
			? kind
			: {...kind, headers: kind.headers(randomBytes(4).toString("hex"))}
	}
}
