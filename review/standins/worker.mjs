/**
 * Stand-ins for workers, as PROTOCOL.md describes them: a plain service, and a model
 * worker with orders, reports and streams. They record what they run.
 */
import {createServer} from "node:http"

/** Base of plain and model workers. */
class Worker {
	/** `record` is called with each request that arrives, and what was done with it. */
	constructor({id, service, zone, slots, record}) {
		this.id = id
		this.service = service
		this.zone = zone
		this.slots = slots
		this.record = record
		this.born = Date.now()
		this.running = 0
		this.server = createServer((req, res) => {
			this.receive(req, res)
		})
		this.server.keepAliveTimeout = 5000
	}

	async start(ip, port) {
		await new Promise(resolve => this.server.listen(port, ip, resolve))
		this.address = `${ip}:${port}`
	}

	stop() {
		this.server.closeAllConnections()
		this.server.close()
	}

	receive(req, res) {
		const chunks = []
		req.on("data", chunk => chunks.push(chunk))
		req.on("end", () => {
			const at = performance.now()
			const requestId = req.headers["x-request-id"] ?? ""
			const expected = req.headers["x-expect-instance"]
			const isOther = expected !== undefined && expected !== this.id
			if (isOther) {
				res.writeHead(421, {"X-Instance-Id": this.id, "Content-Length": "0"})
				res.end()
				return
			}
			if (this.control(req, res, Buffer.concat(chunks).toString("utf8"))) return
			this.serve(req, res, {at, requestId})
		})
	}

	/** Answers what is no request of a client; returns whether it did. */
	control(req, res) {
		if (req.url !== "/health") return false
		res.writeHead(200, {
			"X-Instance-Id": this.id,
			"X-Server-Load": this.loadText,
			"Content-Length": "0"
		})
		res.end()
		return true
	}

	get loadText() {
		return `${this.running},0,${this.slots}`
	}

	createHead(requestId) {
		return {
			"X-Request-Id": requestId,
			"X-Server-Stamp": `stamp.${this.id}.${requestId}`,
			"X-Server-Load": this.loadText
		}
	}
}

export class PlainWorker extends Worker {
	constructor(options) {
		super(options)
		this.workMs = options.workMs
		/** Spoils an answer if it returns true: the first digit of its status is wrong. */
		this.spoils = () => false
	}

	createEntry(state = "ready") {
		const {service, address, zone, slots, born} = this
		const rest = {version: "v1", slots, state, cold_left_ms: 0, seq: 0, born}
		return {service, address, zone, ...rest}
	}

	serve(req, res, {at, requestId}) {
		this.running += 1
		this.record({at, worker: this.id, requestId, method: req.method})
		setTimeout(() => {
			this.running -= 1
			const body = `${req.method} ${requestId} by ${this.id}\n`
			if (this.spoils()) {
				this.record({at: performance.now(), worker: this.id, spoilt: requestId})
				this.sendSpoilt(res, requestId, body)
				return
			}
			res.writeHead(200, {
				...this.createHead(requestId),
				"Content-Length": String(Buffer.byteLength(body))
			})
			res.end(body)
		}, this.workMs)
	}

	sendSpoilt(res, requestId, body) {
		const lines = Object.entries(this.createHead(requestId)).map(
			([name, value]) => `${name}: ${value}`
		)
		const head = ["HTTP/1.1 000 OK", ...lines, `Content-Length: ${body.length}`]
		res.socket?.end(`${head.join("\r\n")}\r\n\r\n${body}`)
	}
}

/** Adapters load from the store in this time. */
const adapterLoadMs = 250

export class ModelWorker extends Worker {
	constructor(options) {
		super(options)
		const {model, adapterSlots, adapters = [], eventMs, events} = options
		this.model = model
		this.adapterSlots = adapterSlots
		this.eventMs = eventMs
		this.events = events
		this.seq = 0
		this.highestFence = 0
		/** Newest version of an adapter, for loads that name none. */
		this.getNewest = options.getNewest ?? (() => 1)
		this.adapters = new Map(adapters.map(name => [name, 1]))
		this.incoming = new Map()
		this.runs = new Map()
		this.crashes = 0
	}

	createEntry(state = "ready") {
		const {service, address, zone, slots, born, seq} = this
		const models = this.listModels()
		const rest = {version: "v1", slots, state, cold_left_ms: 0, stage: "both"}
		return {service, address, zone, ...rest, models, seq, born}
	}

	listModels() {
		const adapters = [...this.adapters].map(
			([name, version]) => `${name}@${version}`
		)
		return [{name: this.model, version: 1, adapters}]
	}

	control(req, res, body) {
		if (req.url === "/report") this.report(res)
		else if (req.url === "/order") this.order(res, JSON.parse(body))
		else return super.control(req, res)
		return true
	}

	report(res) {
		const incoming = [...this.incoming].map(
			([name, version]) => `${this.model}/${name}@${version}`
		)
		sendJson(res, 200, {
			stage: "both",
			models: this.listModels(),
			busy: false,
			seq: this.seq,
			queued: 0,
			running: this.runs.size,
			kv_used: 0,
			kv_total: 120_000,
			handles: 0,
			born: this.born,
			incoming,
			runs: [...this.runs.keys()].map(id => [id, 100, 1, 5])
		})
	}

	order(res, {operation, model, adapter, version, ...order}) {
		const {precondition, holder, fencing_token: fence} = order
		if (holder === undefined || fence === undefined) {
			sendJson(res, 400, {})
			return
		}
		if (fence < this.highestFence) {
			sendJson(res, 412, {})
			return
		}
		this.highestFence = fence
		if (precondition !== undefined && precondition !== this.seq) {
			sendJson(res, 409, {})
			return
		}
		const isAdapter = adapter !== undefined && model === this.model
		if (!isAdapter) {
			sendJson(res, 200, {})
			return
		}
		this.seq += 1
		this.record({
			at: performance.now(),
			worker: this.id,
			order: `${operation} ${adapter}@${version ?? "newest"}`
		})
		if (operation === "unload") {
			this.adapters.delete(adapter)
			sendJson(res, 200, {})
			return
		}
		this.load(adapter, version ?? this.getNewest(adapter))
		sendJson(res, 202, {})
	}

	load(adapter, version) {
		this.incoming.set(adapter, version)
		setTimeout(() => {
			const replace = () => {
				const inUse = [...this.runs.values()].includes(adapter)
				if (inUse && this.adapters.has(adapter)) {
					setTimeout(replace, 5)
					return
				}
				this.incoming.delete(adapter)
				this.adapters.set(adapter, version)
			}
			replace()
		}, adapterLoadMs)
	}

	serve(req, res, {at, requestId}) {
		const [, adapter = ""] = String(req.headers["x-model"]).split("/")
		const version = this.adapters.get(adapter)
		const expected = req.headers["x-expect-version"]
		const isOther = expected !== undefined && expected !== String(version)
		if (version === undefined || isOther) {
			res.writeHead(421, {"X-Instance-Id": this.id, "Content-Length": "0"})
			res.end()
			return
		}
		this.record({at, worker: this.id, requestId, adapter, version})
		this.runs.set(requestId, adapter)
		this.running += 1
		res.writeHead(200, {
			...this.createHead(requestId),
			"X-Weight-Versions": String(version),
			"Content-Type": "text/event-stream"
		})
		let next = Number(req.headers["last-event-id"] ?? 0) + 1
		const timer = setInterval(() => {
			if (next > this.events) res.end()
			else res.write(`id: ${next}\ndata: ${requestId} ${next}\n\n`)
			next += 1
		}, this.eventMs)
		res.on("close", () => {
			clearInterval(timer)
			this.running -= 1
			this.runs.delete(requestId)
		})
	}
}

function sendJson(res, status, body) {
	const text = JSON.stringify(body)
	res.writeHead(status, {
		"Content-Type": "application/json",
		"Content-Length": String(Buffer.byteLength(text))
	})
	res.end(text)
}
