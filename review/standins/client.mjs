/**
 * Stand-ins for clients, as PROTOCOL.md describes them: each keeps a connection to one
 * gateway and uses it for one request after the other. They do not repeat requests.
 */
import {Agent, request} from "node:http"
import {randomBytes} from "node:crypto"

export class Client {
	constructor({name, ip, port, record}) {
		this.name = name
		this.target = {host: ip, port}
		this.record = record
		this.agent = new Agent({keepAlive: true, maxSockets: 1})
		this.sockets = new WeakMap()
	}

	close() {
		this.agent.destroy()
	}

	/**
	 * Sends one request and resolves with what became of it: `status` 0 means that the
	 * connection ended without a complete answer, or was not established; `hasBegun`
	 * that the head of an answer had arrived.
	 */
	send({method, path, host, deadlineMs, headers = {}, body = ""}) {
		const id = randomBytes(8).toString("hex")
		const sentAt = performance.now()
		return new Promise(resolve => {
			let isKept = false
			let socketUses = 0
			let hasBegun = false
			let received = ""
			const finish = result => {
				clearTimeout(timer)
				const answer = {id, sentAt, endedAt: performance.now(), isKept, method}
				const rest = {path, hasBegun, body: received}
				const whole = {...answer, ...rest, ...result}
				this.record(this, whole)
				resolve(whole)
			}
			const req = request({
				...this.target,
				agent: this.agent,
				method,
				path,
				headers: {
					Host: host,
					"X-Request-Id": id,
					"X-Deadline-Ms": String(deadlineMs),
					...(body === "" ? {} : {"Content-Length": String(body.length)}),
					...headers
				}
			})
			const timer = setTimeout(() => {
				req.destroy(new Error("deadline"))
			}, deadlineMs)
			req.on("socket", socket => {
				socketUses = this.sockets.get(socket) ?? 0
				this.sockets.set(socket, socketUses + 1)
				isKept = socketUses > 0
			})
			req.on("error", err => {
				finish({status: 0, reason: err.code ?? err.message})
			})
			req.on("response", res => {
				hasBegun = true
				res.on("data", chunk => {
					received += String(chunk)
				})
				res.on("error", err => {
					finish({status: 0, reason: err.code ?? err.message})
				})
				res.on("end", () => {
					const {statusCode: status, headers: answered} = res
					finish({status, headers: answered, reason: ""})
				})
			})
			req.end(body)
		})
	}
}
