/**
 * Stand-ins for workers: a model worker, which runs streams and takes orders, and a
 * worker of a plain service. Both answer 421 to a request that names another
 * instance, and 400 to one without an id.
 */
import {createServer} from "node:http"

class Worker {
	constructor({id, ip, port, service, zone, onRun, note}) {
		Object.assign(this, {id, ip, port, service, zone, onRun, note})
		this.address = `${ip}:${port}`
		this.bornAt = Date.now()
		this.isUp = false
	}

	start() {
		this.server = createServer((req, res) => {
			const chunks = []
			res.on("error", () => undefined)
			req.on("error", () => undefined)
			req.on("data", chunk => chunks.push(chunk))
			req.on("end", () => {
				this.handle(req, res, Buffer.concat(chunks).toString())
			})
		})
		this.server.keepAliveTimeout = 60_000
		return new Promise((resolve, reject) => {
			this.server.once("error", reject)
			this.server.listen(this.port, this.ip, () => {
				this.isUp = true
				this.bornAt = Date.now()
				resolve()
			})
		})
	}

	/** Ends at once, as a process that is killed: open connections are reset. */
	async crash() {
		if (!this.isUp) return
		this.isUp = false
		const closed = new Promise(resolve => this.server.close(resolve))
		this.server.closeAllConnections()
		await closed
	}

	handle(req, res, body) {
		const expected = req.headers["x-expect-instance"]
		if (expected !== undefined && expected !== this.id) {
			this.note(`${this.id} answers 421 to ${req.method} ${req.url}`)
			res.writeHead(421, {"X-Instance-Id": this.id, "Content-Length": "0"})
			res.end()
			return
		}
		if (req.url === "/health") {
			res.writeHead(200, {"X-Instance-Id": this.id, "Content-Length": "0"})
			res.end()
		} else this.serve(req, res, body)
	}

	/** True if the request has no id; it is answered. */
	turnsAwayWithoutId(req, res) {
		if (req.headers["x-request-id"] !== undefined) return false
		res.writeHead(400, {"X-Not-Run": "1", "Content-Length": "0"})
		res.end()
		return true
	}

	head(req) {
		return {
			"X-Request-Id": req.headers["x-request-id"],
			"X-Server-Stamp": `stamp.${this.id}.${req.headers["x-request-id"]}`
		}
	}
}

export class PlainWorker extends Worker {
	constructor(options) {
		super(options)
		this.workMs = options.workMs ?? 20
		this.slots = 6
	}

	entry() {
		const {service, address, zone, slots, bornAt: born} = this
		const state = this.state ?? "ready"
		return {
			service,
			address,
			zone,
			version: "v1",
			slots,
			state,
			cold_left_ms: 0,
			seq: 0,
			born
		}
	}

	serve(req, res, body) {
		if (this.turnsAwayWithoutId(req, res)) return
		const id = req.headers["x-request-id"]
		this.onRun(this, {id, method: req.method, url: req.url, body})
		setTimeout(() => {
			const text = `${this.service} did ${req.method} ${req.url} for ${id}`
			const headers = {
				...this.head(req),
				"Content-Length": Buffer.byteLength(text)
			}
			res.writeHead(200, headers)
			res.end(text)
		}, this.workMs)
	}
}

export class ModelWorker extends Worker {
	constructor(options) {
		super(options)
		const {model, adapterSlots, isLoaded = true, loadMs = 600} = options
		Object.assign(this, {model, adapterSlots, loadMs})
		this.adapterMs = options.adapterMs ?? 250
		this.stepMs = options.stepMs ?? 20
		this.events = options.events ?? 6
		this.slots = 64
		this.hasModel = isLoaded
		this.reset()
	}

	reset() {
		this.life = {}
		this.seq = 0
		this.fence = 0
		this.isBusy = false
		this.adapters = new Map()
		this.incoming = new Map()
		this.runs = new Map()
	}

	/** Starts again under the id that it had, empty, as the pages tell. */
	async restart() {
		this.reset()
		this.hasModel = false
		await this.start()
	}

	entry() {
		const {service, address, zone, slots, seq, bornAt: born} = this
		return {
			service,
			address,
			zone,
			version: "v1",
			slots,
			state: this.state ?? "ready",
			cold_left_ms: 0,
			stage: "both",
			models: this.models(),
			seq,
			born
		}
	}

	models() {
		if (!this.hasModel) return []
		const adapters = [...this.adapters].map(([name]) => `${name}@1`)
		return [{name: this.model, version: 1, adapters}]
	}

	serve(req, res, body) {
		if (req.url === "/report") this.report(res)
		else if (req.url === "/order") this.takeOrder(res, JSON.parse(body))
		else if (!this.turnsAwayWithoutId(req, res)) this.run(req, res, body)
	}

	report(res) {
		const payload = JSON.stringify({
			stage: "both",
			models: this.models(),
			busy: this.isBusy,
			seq: this.seq,
			queued: 0,
			running: this.runs.size,
			kv_used: 0,
			kv_total: 130_000,
			handles: 0,
			born: this.bornAt,
			runs: [...this.runs.keys()].map(id => [id, 100, 1, 5]),
			incoming: [...this.incoming.keys()].map(name => `${this.model}/${name}@1`)
		})
		res.writeHead(200, {
			"Content-Type": "application/json",
			"Content-Length": Buffer.byteLength(payload)
		})
		res.end(payload)
	}

	/**
	 * Carries out an order that was left unanswered. It was sent to this address and
	 * names the instance, which is the same one if the worker is back under its id.
	 */
	carryOutLate(order) {
		if (!this.isUp) return
		const status = this.judge(order)
		this.note(
			`${this.id} late order ${order.operation} ${order.adapter}: ${status}, seq ${this.seq}`
		)
	}

	takeOrder(res, order) {
		if (this.holdsOrder?.(order) === true) return
		const status = this.judge(order)
		const {operation, model, adapter = "", precondition, fencing_token} = order
		this.note(
			`${this.id} order ${operation} ${model}/${adapter} precondition ${precondition} fence ${fencing_token}: ${status}, seq ${this.seq}, holds ${[...this.adapters.keys(), ...this.incoming.keys()].join(" ")}`
		)
		if (res.destroyed) return
		res.writeHead(status, {"Content-Length": "0"})
		res.end()
	}

	judge({operation, model, adapter, precondition, holder, fencing_token}) {
		const isKnown = operation === "load" || operation === "unload"
		if (!isKnown || holder === undefined || fencing_token === undefined)
			return 400
		if (fencing_token < this.fence) return 412
		this.fence = fencing_token
		if (precondition !== undefined && precondition !== this.seq) return 409
		if (adapter === undefined) return this.orderModel(operation, model)
		return operation === "load"
			? this.loadAdapter(adapter)
			: this.unloadAdapter(adapter)
	}

	orderModel(operation, model) {
		if (this.isBusy) return 409
		if (operation === "load" && this.hasModel && model === this.model)
			return 200
		this.seq += 1
		this.isBusy = true
		const {life} = this
		setTimeout(() => {
			if (this.life !== life) return
			this.isBusy = false
			this.hasModel = operation === "load"
		}, this.loadMs)
		return 202
	}

	loadAdapter(name) {
		if (this.adapters.has(name) || this.incoming.has(name)) return 200
		this.seq += 1
		this.incoming.set(name, true)
		const count = this.adapters.size + this.incoming.size
		if (count > this.adapterSlots) {
			this.onOverload?.(this, name, count)
			return 202
		}
		const {life} = this
		setTimeout(() => {
			if (this.life !== life) return
			this.incoming.delete(name)
			this.adapters.set(name, true)
		}, this.adapterMs)
		return 202
	}

	unloadAdapter(name) {
		if (!this.adapters.has(name)) return 200
		this.seq += 1
		const isUsed = [...this.runs.values()].includes(name)
		if (isUsed) this.unloading = name
		else this.adapters.delete(name)
		return isUsed ? 202 : 200
	}

	run(req, res, body) {
		const id = req.headers["x-request-id"]
		const [model, adapter = ""] = String(req.headers["x-model"]).split("/")
		const version = req.headers["x-expect-version"]
		const isHere =
			this.hasModel &&
			model === this.model &&
			(adapter === "" || this.adapters.has(adapter)) &&
			(version === undefined || version === "1")
		if (!isHere) {
			this.note(`${this.id} answers 421 to ${id}: ${model}/${adapter}`)
			res.writeHead(421, {"X-Instance-Id": this.id, "Content-Length": "0"})
			res.end()
			return
		}
		this.onRun(this, {id, method: req.method, url: req.url, body, adapter})
		this.runs.set(id, adapter)
		let next = Number(req.headers["last-event-id"] ?? 0) + 1
		const {life} = this
		const timer = setInterval(() => {
			if (this.life !== life || next > this.events) {
				clearInterval(timer)
				res.end()
				return
			}
			if (!res.headersSent)
				res.writeHead(200, {
					...this.head(req),
					"Content-Type": "text/event-stream",
					"X-Weight-Versions": "1"
				})
			res.write(`id: ${next}\ndata: ${this.service} ${id} ${next}\n\n`)
			next += 1
		}, this.stepMs)
		res.on("close", () => {
			clearInterval(timer)
			this.runs.delete(id)
			if (this.unloading === adapter) this.adapters.delete(adapter)
			if (this.unloading === adapter) this.unloading = undefined
		})
	}
}
