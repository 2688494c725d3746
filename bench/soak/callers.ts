/** Callers that keep connections open, and judge every answer they get. */
import {Agent, type IncomingMessage, request} from "node:http"
import {routeHost, type SoakDeployment} from "./deployment.js"
import {draftTokens} from "./members.js"

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
	/** Text of an answer other than 200, or the error that ended the call. */
	reason?: string | undefined
	/** Key that was sent, if the configuration has Members. */
	credential?: string | undefined
	/** Tokens that were stated. */
	tokens?: number | undefined
	/** Whether it may be refused in normal operation. */
	isRefusable?: boolean
	/** Set if it is a stream that broke off after an event. */
	cut?: CutStream | undefined
}

/** What a caller knows of a stream that it may resume. */
interface CutStream {
	headers: Record<string, string>
	lastEvent: number
	/** Build of the engine that sent the last event. */
	build: string
}

type LastEvent = Pick<CutStream, "lastEvent" | "build">
type End = (how: CallEnd, status: number, details?: EndDetails) => void

interface EndDetails {
	last?: LastEvent | undefined
	reason?: string | undefined
}

const kinds = ["draft", "draft", "book", "status"]
export const adapterCount = 9
const eventCount = 6
/** Well beyond the longest time-out of a route. */
const patienceMs = 8000
const reasonChars = 80

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
		for (let n = 0; n < count; n++) this.tasks.push(this.run(n))
	}

	async stop(): Promise<void> {
		this.isStopped = true
		await Promise.all(this.tasks)
	}

	private async run(caller: number): Promise<void> {
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
			let record = await this.call(kind, address, agent, caller)
			this.records.push(record)
			if (record.cut !== undefined) {
				agent.destroy()
				agent = new Agent({keepAlive: true, maxSockets: 1})
				address = pick()
				record = await this.call(kind, address, agent, caller, record)
				this.records.push(record)
			}
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
		agent: Agent,
		caller: number,
		/** The call whose stream this one resumes. */
		first?: CallRecord
	): Promise<CallRecord> {
		const id = `c${this.next++}`
		const {members} = this.deployment
		const shown =
			first === undefined ? members?.draw(caller, this.random) : undefined
		const headers = this.createHeaders(id, kind, first)
		if (shown !== undefined) headers["X-Credential"] = shown.key
		const isRefusable = shown?.isRefusable ?? first?.isRefusable ?? false
		const credential = headers["X-Credential"]
		const {prompt, output} = draftTokens
		const tokens = kind === "draft" ? prompt + output : undefined
		const shownFields = {credential, tokens, isRefusable}
		const sentAt = performance.now()
		const [host, port] = address.split(":")
		return new Promise(resolve => {
			const end: End = (how, status, {last, reason} = {}) => {
				clearTimeout(timer)
				const endedAt = performance.now()
				const gateway = address
				const isCut = last !== undefined && last.lastEvent < eventCount
				const cut = isCut ? {...last, headers} : undefined
				const call = {id, gateway, kind, end: how, sentAt, endedAt, status}
				resolve({...call, reason, cut, ...shownFields})
			}
			const req = request({
				host,
				port,
				agent,
				method: kind === "status" ? "GET" : "POST",
				path: `/${kind}/1`,
				headers
			})
			const timer = setTimeout(() => {
				this.breaches.push(`${id}: ${kind} has no end after ${patienceMs} ms`)
				req.destroy()
			}, patienceMs)
			req.on("error", err => {
				end(CallEnd.Unknown, 0, {reason: err.message})
			})
			req.on("response", res => {
				this.receive(res, id, kind, end, first?.cut)
			})
			req.end()
		})
	}

	private receive(
		res: IncomingMessage,
		id: string,
		kind: string,
		end: End,
		resumed: CutStream | undefined
	): void {
		const chunks: Buffer[] = []
		res.on("data", (chunk: Buffer) => chunks.push(chunk))
		res.on("error", () => undefined)
		res.on("close", () => {
			const status = res.statusCode ?? 0
			const body = Buffer.concat(chunks).toString()
			const isStream = kind === "draft" && status === 200
			const last = isStream ? this.checkStream(id, body, resumed) : undefined
			const text = body.trim().slice(0, reasonChars)
			if (!res.complete) {
				end(CallEnd.Unknown, status, {last, reason: "broken off"})
			} else if (status === 200) {
				this.check(res, id, kind, body, last)
				end(CallEnd.Answered, status)
			} else if (status === 503 || status === 429 || status === 401) {
				end(CallEnd.Refused, status, {reason: text})
			} else end(CallEnd.Unknown, status, {reason: text})
		})
	}

	private check(
		res: IncomingMessage,
		id: string,
		kind: string,
		body: string,
		last: LastEvent | undefined
	): void {
		if (res.headers["x-server-stamp"] === undefined) {
			this.breaches.push(`${id}: success without a worker's stamp`)
		}
		const isWhole =
			kind === "draft"
				? last?.lastEvent === eventCount && body.endsWith("\n\n")
				: body === `done ${id}`
		if (isWhole) return
		this.breaches.push(`${id}: ${kind} answered ${JSON.stringify(body)}`)
	}

	/**
	 * Checks that the whole events of a stream follow each other, and those before
	 * it, at one build. Returns the last one; undefined if there is none.
	 */
	private checkStream(
		id: string,
		body: string,
		resumed: CutStream | undefined
	): LastEvent | undefined {
		let last: LastEvent | undefined = resumed
		for (const text of body.split("\n\n").slice(0, -1)) {
			const number = (last?.lastEvent ?? 0) + 1
			const build = text.split(" ").at(-1) ?? ""
			if (text !== `id: ${number}\ndata: ${id} ${number} ${build}`)
				this.breaches.push(`${id}: event ${number} is ${JSON.stringify(text)}`)
			if (last !== undefined && last.build !== build)
				this.breaches.push(`${id}: ${build} goes on after ${last.build}`)
			last = {lastEvent: number, build}
		}
		return last
	}

	private createHeaders(
		id: string,
		kind: string,
		first: CallRecord | undefined
	): Record<string, string> {
		if (first?.cut !== undefined) {
			const {headers, lastEvent} = first.cut
			return {
				...headers,
				"X-Request-Id": id,
				Resumes: first.id,
				"Last-Event-Id": String(lastEvent)
			}
		}
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
			"X-Token-Count": `${draftTokens.prompt},${draftTokens.output}`,
			"X-Prompt-Prefix": `p${adapter}:400,${id}:200`
		}
	}
}
