/** A worker of a plain service, and a client that reads answers byte by byte. */
import {createServer} from "node:http"
import {connect} from "node:net"

/** Registers in the store and runs each request that it gets for `workMs`. */
export class PlainWorker {
	runs = []
	arrivals = []
	isLeaving = false
	state = "ready"
	workMs = 20
	bodyBytes = 800
	born = Date.now()
	isUp = false
	isRegistered = true

	constructor({store, ip, id, service = "desk", port = 9000, record}) {
		Object.assign(this, {store, ip, id, service, port, record})
	}

	async start() {
		this.born = Date.now()
		this.server = createServer((req, res) => this.handle(req, res))
		await new Promise(done => this.server.listen(this.port, this.ip, done))
		this.isUp = true
		this.register()
		this.timer = setInterval(() => this.register(), 1100)
	}

	/** Writes the worker's entry, as every heartbeat does. */
	register() {
		if (this.store.isAway || !this.isRegistered) return
		this.seq = (this.seq ?? 0) + 1
		this.store.put("servers", this.id, {
			service: this.service,
			address: `${this.ip}:${this.port}`,
			zone: "zone-a",
			version: "1.0",
			slots: 6,
			state: this.state,
			cold_left_ms: 0,
			seq: this.seq,
			born: this.born
		})
	}

	/** The process ends at once; the entry stays until it is removed. */
	async crash() {
		clearInterval(this.timer)
		this.isUp = false
		const closed = new Promise(done => this.server.close(done))
		this.server.closeAllConnections()
		await closed
	}

	handle(req, res) {
		const id = req.headers["x-request-id"]
		const expected = req.headers["x-expect-instance"]
		const chunks = []
		req.on("data", chunk => chunks.push(chunk))
		req.on("end", () => {
			res.setHeader("X-Instance-Id", this.id)
			if (this.isLeaving) {
				res.setHeader("Server-Leaving", "1")
				res.setHeader("Connection", "close")
			}
			if (expected !== undefined && expected !== this.id) {
				res.writeHead(421, {"X-Not-Run": "1", "Content-Length": "0"}).end()
				return
			}
			this.arrivals.push({id, at: performance.now(), isLeaving: this.isLeaving})
			this.runs.push({id, at: performance.now(), method: req.method})
			this.record?.add("worker runs", {worker: this.id, id})
			setTimeout(() => this.answer(req, res, id), this.workMs)
		})
	}

	answer(req, res, id) {
		const body = Buffer.alloc(this.bodyBytes, "a")
		res.writeHead(200, {
			"X-Request-Id": id,
			"X-Server-Stamp": `stamp.${this.id}`,
			"X-Server-Load": `${this.open ?? 0},0,6`,
			"Content-Type": "text/plain",
			"Content-Length": String(body.length)
		})
		res.end(body)
	}

	stop() {
		clearInterval(this.timer)
		this.server.closeAllConnections()
		this.server.close()
	}
}

/**
 * Sends one request on a new connection. Resolves with status, headers, the body's
 * bytes and whether the answer is complete.
 */
export function sendRequest({
	front,
	method = "GET",
	path,
	host = "desk.example",
	id,
	deadlineMs = 5000,
	headers = {},
	body = "",
	onSocket
}) {
	return new Promise(done => {
		const socket = connect(front)
		const chunks = []
		let error
		let isDone = false
		const finish = () => {
			if (isDone) return
			isDone = true
			clearTimeout(timer)
			socket.destroy()
			done({...parseAnswer(Buffer.concat(chunks)), error})
		}
		const timer = setTimeout(() => {
			error = "deadline"
			finish()
		}, deadlineMs + 500)
		socket.on("connect", () => {
			const head = {
				Host: host,
				"X-Request-Id": id,
				"X-Deadline-Ms": deadlineMs,
				...headers,
				...(body.length > 0 || method === "POST"
					? {"Content-Length": Buffer.byteLength(body)}
					: {})
			}
			const lines = Object.entries(head).map(
				([name, value]) => `${name}: ${value}`
			)
			socket.write(
				`${method} ${path} HTTP/1.1\r\n${lines.join("\r\n")}\r\n\r\n`
			)
			if (body.length > 0) socket.write(body)
			onSocket?.(socket)
		})
		socket.on("data", chunk => {
			chunks.push(chunk)
			if (parseAnswer(Buffer.concat(chunks)).isComplete) finish()
		})
		socket.on("error", err => {
			error = err.code
		})
		socket.on("end", finish)
		socket.on("close", finish)
	})
}

/** Decodes an answer with a length, or one in chunks. */
export function parseAnswer(bytes) {
	const headEnd = bytes.indexOf("\r\n\r\n")
	if (headEnd < 0)
		return {status: 0, headers: {}, bodyBytes: 0, isComplete: false}
	const [statusLine, ...lines] = bytes
		.subarray(0, headEnd)
		.toString()
		.split("\r\n")
	const headers = Object.fromEntries(
		lines.map(line => {
			const at = line.indexOf(":")
			return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()]
		})
	)
	const status = Number(statusLine.split(" ")[1])
	const body = bytes.subarray(headEnd + 4)
	const length = headers["content-length"]
	const isComplete =
		length === undefined
			? body.subarray(-5).toString() === "0\r\n\r\n"
			: body.length >= Number(length)
	return {status, headers, body, bodyBytes: body.length, isComplete}
}

/** A configuration with one plain service and one route of each plain kind. */
export function createConfig(version, extra = {}) {
	const route = (name, prefix, kind, attempts) => ({
		name,
		host: "desk.example",
		path_prefix: prefix,
		kind,
		service: "desk",
		timeout_ms: 15_000,
		target_latency_ms: 193,
		priority: 2,
		max_attempts: attempts
	})
	return {
		version,
		routes: [
			route("status", "/status/", "safe", 2),
			route("booking", "/booking/", "unsafe", 1),
			...(extra.routes ?? [])
		],
		services: [{name: "desk", max_conns: 100}, ...(extra.services ?? [])],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 4_194_304,
			header_timeout_ms: 5000,
			idle_timeout_ms: 15_000
		}
	}
}
