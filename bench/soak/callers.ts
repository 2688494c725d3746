/** Callers that keep connections open, and judge every answer they get. */
import {Agent, type IncomingMessage, request} from "node:http"
import {routeHost, type SoakDeployment} from "./deployment.js"

export enum CallEnd {
	Answered = "answered",
	/** Not run, and never will be. */
	Refused = "refused",
	/** It may have run. */
	Unknown = "unknown"
}

export interface CallRecord {
	id: string
	/** `ip:port` of the gateway that it was sent to. */
	gateway: string
	kind: string
	end: CallEnd
	sentAt: number
	endedAt: number
	status: number
}

const kinds = ["draft", "draft", "book", "status"]
const adapterCount = 9
const eventCount = 6
/** Well beyond the longest time-out of a route. */
const patienceMs = 8000

export class Callers {
	readonly records: CallRecord[] = []
	readonly breaches: string[] = []
	private isStopped = false
	private next = 1
	private readonly tasks: Promise<void>[] = []

	constructor(
		private readonly deployment: SoakDeployment,
		private readonly random: () => number
	) {}

	start(count: number): void {
		for (let n = 0; n < count; n++) this.tasks.push(this.run())
	}

	async stop(): Promise<void> {
		this.isStopped = true
		await Promise.all(this.tasks)
	}

	private async run(): Promise<void> {
		let agent = new Agent({keepAlive: true, maxSockets: 1})
		const pick = (): string => {
			const {gateways} = this.deployment
			return (
				gateways[Math.floor(this.random() * gateways.length)]?.callers ?? ""
			)
		}
		let address = pick()
		while (!this.isStopped) {
			const kind = kinds[Math.floor(this.random() * kinds.length)] ?? "draft"
			const record = await this.call(kind, address, agent)
			this.records.push(record)
			if (record.end !== CallEnd.Answered) {
				agent.destroy()
				agent = new Agent({keepAlive: true, maxSockets: 1})
				address = pick()
			}
			await new Promise(resolve => setTimeout(resolve, this.random() * 120))
		}
		agent.destroy()
	}

	private call(
		kind: string,
		address: string,
		agent: Agent
	): Promise<CallRecord> {
		const id = `c${this.next++}`
		const sentAt = performance.now()
		const [host, port] = address.split(":")
		return new Promise(resolve => {
			const end = (how: CallEnd, status: number): void => {
				clearTimeout(timer)
				const endedAt = performance.now()
				resolve({id, gateway: address, kind, end: how, sentAt, endedAt, status})
			}
			const req = request({
				host,
				port,
				agent,
				method: kind === "status" ? "GET" : "POST",
				path: `/${kind}/1`,
				headers: this.createHeaders(id, kind)
			})
			const timer = setTimeout(() => {
				this.breaches.push(`${id}: ${kind} has no end after ${patienceMs} ms`)
				req.destroy()
			}, patienceMs)
			req.on("error", () => {
				end(CallEnd.Unknown, 0)
			})
			req.on("response", res => {
				this.receive(res, id, kind, end)
			})
			req.end()
		})
	}

	private receive(
		res: IncomingMessage,
		id: string,
		kind: string,
		end: (how: CallEnd, status: number) => void
	): void {
		const chunks: Buffer[] = []
		res.on("data", (chunk: Buffer) => chunks.push(chunk))
		res.on("error", () => undefined)
		res.on("close", () => {
			const status = res.statusCode ?? 0
			const body = Buffer.concat(chunks).toString()
			if (!res.complete) end(CallEnd.Unknown, status)
			else if (status === 200) {
				this.check(res, id, kind, body)
				end(CallEnd.Answered, status)
			} else if (status === 503 || status === 429) {
				end(CallEnd.Refused, status)
			} else end(CallEnd.Unknown, status)
		})
	}

	private check(
		res: IncomingMessage,
		id: string,
		kind: string,
		body: string
	): void {
		if (res.headers["x-server-stamp"] === undefined) {
			this.breaches.push(`${id}: success without a worker's stamp`)
		}
		const events = Array.from(
			{length: eventCount},
			(_, n) => `id: ${n + 1}\ndata: ${id} ${n + 1}\n\n`
		)
		const expected = kind === "draft" ? events.join("") : `done ${id}`
		if (body === expected) return
		this.breaches.push(`${id}: ${kind} answered ${JSON.stringify(body)}`)
	}

	private createHeaders(id: string, kind: string): Record<string, string> {
		const headers: Record<string, string> = {
			Host: routeHost,
			"X-Request-Id": id,
			"X-Deadline-Ms": kind === "draft" ? "4000" : "1500"
		}
		if (kind !== "draft") return headers
		const adapter = Math.floor(this.random() ** 2 * adapterCount)
		return {
			...headers,
			"X-Model": `base/a${adapter}`,
			"X-Token-Count": "600,20",
			"X-Prompt-Prefix": `p${adapter}:400,${id}:200`
		}
	}
}
