/** A model worker of the pages, and a client that takes up streams that broke off. */
import {createServer} from "node:http"
import {connect} from "node:net"
import {sleep} from "./kit.mjs"

const baseLoadMs = 600
const adapterLoadMs = 250

/** Registers in the store, carries out orders and streams its answers. */
export class ModelWorker {
	runs = []
	orders = []
	build = "1.0"
	state = "ready"
	isLeaving = false
	/** Whether it reaches the store. */
	isConnected = true
	events = 40
	gapMs = 100
	firstMs = 120
	adapterSlots = 6
	isUp = false
	starts = 0

	constructor({store, ip, id, port = 9000, service = "models", record}) {
		Object.assign(this, {store, ip, id, port, service, record})
	}

	async start() {
		this.starts += 1
		this.born = Date.now()
		this.seq = 0
		this.fence = 0
		this.hasModel = this.starts === 1
		this.isBusy = false
		this.adapters = new Map()
		this.incoming = new Map()
		this.open = new Set()
		this.server = createServer((req, res) => this.handle(req, res))
		await new Promise(done => this.server.listen(this.port, this.ip, done))
		this.isUp = true
		this.register()
		this.timer = setInterval(() => this.register(), 1100)
	}

	async crash() {
		clearInterval(this.timer)
		this.isUp = false
		for (const run of this.open) clearInterval(run.timer)
		const closed = new Promise(done => this.server.close(done))
		this.server.closeAllConnections()
		await closed
	}

	stop() {
		clearInterval(this.timer)
		for (const run of this.open ?? []) clearInterval(run.timer)
		this.server.closeAllConnections()
		this.server.close()
	}

	listModels() {
		if (!this.hasModel) return []
		const adapters = [...this.adapters].map(
			([name, {version}]) => `${name}@${version}`
		)
		return [{name: "base", version: 1, adapters}]
	}

	register() {
		if (!this.isConnected || this.store.isAway) return
		this.writtenAt = performance.now()
		this.store.put("servers", this.id, {
			service: this.service,
			address: `${this.ip}:${this.port}`,
			zone: "zone-a",
			version: this.build,
			slots: 64,
			state: this.state,
			cold_left_ms: 0,
			seq: (this.beat = (this.beat ?? 0) + 1),
			born: this.born,
			models: this.listModels()
		})
	}

	handle(req, res) {
		const chunks = []
		req.on("data", chunk => chunks.push(chunk))
		req.on("end", () => {
			const id = req.headers["x-request-id"]
			if (id !== undefined) res.setHeader("X-Request-Id", id)
			res.setHeader("X-Instance-Id", this.id)
			if (this.isLeaving) res.setHeader("Server-Leaving", "1")
			const expected = req.headers["x-expect-instance"]
			if (expected !== undefined && expected !== this.id) this.refuse(res, 421)
			else if (req.url === "/report") this.report(res)
			else if (req.url === "/health")
				res.writeHead(200, {"Content-Length": "0"}).end()
			else if (req.url === "/order")
				this.order(res, JSON.parse(Buffer.concat(chunks).toString()))
			else this.generate(req, res, id)
		})
	}

	refuse(res, status) {
		res.writeHead(status, {"X-Not-Run": "1", "Content-Length": "0"}).end()
	}

	report(res) {
		const text = JSON.stringify({
			stage: "both",
			models: this.listModels(),
			busy: this.isBusy,
			seq: this.seq,
			queued: 0,
			running: this.open.size,
			runs: [...this.open].map(({id, sent}) => [id, 100, sent, 5]),
			kv_used: 100 * this.open.size,
			kv_total: 130_000,
			handles: 0,
			incoming: [...this.incoming].map(
				([name, version]) => `base/${name}@${version}`
			),
			born: this.born
		})
		res.writeHead(200, {
			"Content-Type": "application/json",
			"Content-Length": String(Buffer.byteLength(text))
		})
		res.end(text)
	}

	order(res, order) {
		const status = this.carryOut(order)
		this.orders.push({...order, status, born: this.born})
		this.record?.add("order", {
			worker: this.id,
			operation: order.operation,
			adapter: order.adapter ?? "",
			fence: order.fencing_token,
			status
		})
		res.writeHead(status, {"Content-Length": "0"}).end()
	}

	carryOut({
		operation,
		model,
		adapter,
		version,
		precondition,
		holder,
		fencing_token: fence
	}) {
		if (holder === undefined || fence === undefined || model !== "base")
			return 400
		if (fence < this.fence) return 412
		this.fence = fence
		if (this.isBusy) return 409
		if (precondition !== undefined && precondition !== this.seq) return 409
		const {server} = this
		if (adapter === undefined) {
			if (operation !== "load") return 400
			if (this.hasModel) return 200
			this.seq += 1
			this.isBusy = true
			setTimeout(() => {
				if (this.server !== server) return
				this.isBusy = false
				this.hasModel = true
			}, baseLoadMs)
			return 202
		}
		if (!this.hasModel) return 400
		this.seq += 1
		if (operation === "unload") {
			this.adapters.delete(adapter)
			return 200
		}
		this.incoming.set(adapter, version ?? 1)
		setTimeout(() => {
			if (this.server !== server) return
			this.incoming.delete(adapter)
			this.adapters.set(adapter, {version: version ?? 1})
		}, adapterLoadMs)
		return 202
	}

	generate(req, res, id) {
		const [model, adapter = ""] = String(req.headers["x-model"]).split("/")
		const loaded = this.adapters.get(adapter)
		const version = req.headers["x-expect-version"]
		const isMissing =
			model !== "base" ||
			!this.hasModel ||
			(adapter !== "" && loaded === undefined) ||
			(version !== undefined &&
				loaded !== undefined &&
				Number(version) !== loaded.version)
		if (isMissing) {
			this.refuse(res, 421)
			return
		}
		const after = Number(req.headers["last-event-id"] ?? 0)
		const run = {
			id,
			build: this.build,
			worker: this.id,
			from: after + 1,
			sent: 0
		}
		this.runs.push(run)
		this.open.add(run)
		this.record?.add("worker runs", {
			worker: this.id,
			build: this.build,
			id,
			from: after + 1
		})
		res.writeHead(200, {
			"X-Server-Stamp": `stamp.${this.id}`,
			"X-Weight-Versions": String(loaded?.version ?? 1),
			"X-Server-Load": `${this.open.size},0,64`,
			"Content-Type": "text/event-stream"
		})
		let next = after + 1
		const step = () => {
			if (next > this.events) {
				clearInterval(run.timer)
				this.open.delete(run)
				res.end()
				return
			}
			res.write(`id: ${next}\ndata: token ${next} of build ${this.build}\n\n`)
			run.sent += 1
			next += 1
		}
		run.timer = setTimeout(() => {
			step()
			run.timer = setInterval(step, this.gapMs)
		}, this.firstMs)
		res.on("close", () => {
			clearInterval(run.timer)
			clearTimeout(run.timer)
			this.open.delete(run)
		})
	}
}

/** Reads events of one attempt; resolves when it ends. */
function readStream({
	front,
	path,
	id,
	model,
	deadlineMs,
	lastId,
	origin,
	prefix
}) {
	return new Promise(done => {
		const events = []
		let bytes = Buffer.alloc(0)
		let isDone = false
		const socket = connect(front)
		const finish = reason => {
			if (isDone) return
			isDone = true
			clearTimeout(timer)
			socket.destroy()
			const text = bytes.toString()
			const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0)
			const retryAfter = Number(
				/retry-after: ([\d.]+)/i.exec(text)?.[1] ?? Number.NaN
			)
			done({
				status,
				events,
				isWhole: reason === "whole",
				reason,
				retryAfter,
				text
			})
		}
		const timer = setTimeout(() => finish("deadline"), deadlineMs)
		const body = '{"prompt":"x"}'
		socket.on("connect", () => {
			const lines = [
				`POST ${path} HTTP/1.1`,
				"Host: desk.example",
				`X-Request-Id: ${id}`,
				`X-Model: ${model}`,
				"X-Token-Count: 200,160",
				`X-Prompt-Prefix: ${prefix}`,
				`X-Deadline-Ms: ${deadlineMs}`,
				...(lastId === undefined
					? []
					: [`Last-Event-Id: ${lastId}`, `Resumes: ${origin}`]),
				`Content-Length: ${body.length}`
			]
			socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`)
		})
		let seen = 0
		socket.on("data", chunk => {
			bytes = Buffer.concat([bytes, chunk])
			const text = bytes.toString()
			const found = [
				...text.matchAll(/id: (\d+)\ndata: token \d+ of build (\S+)\n\n/g)
			]
			for (const [, eventId, build] of found.slice(seen))
				events.push({id: Number(eventId), build})
			seen = found.length
			if (text.endsWith("0\r\n\r\n")) finish("whole")
			else if (/^HTTP\/1.1 [45]/.test(text) && text.includes("\r\n\r\n"))
				setTimeout(() => finish("refused"), 20)
		})
		socket.on("error", () => finish("cut"))
		socket.on("end", () => finish("cut"))
		socket.on("close", () => finish("cut"))
	})
}

/** Takes a stream up again at the next gateway, as clients do. */
export async function followStream({
	fronts,
	path,
	id,
	model,
	record,
	deadlineMs = 15_000,
	prefix = "5c1e:150,91bd:50",
	attempts = 2
}) {
	const until = performance.now() + deadlineMs
	const events = []
	let origin
	for (let attempt = 0; attempt < attempts; attempt += 1) {
		const front = fronts[attempt % fronts.length]
		const attemptId = `${id}-${attempt + 1}`
		const res = await readStream({
			front,
			path,
			id: attemptId,
			model,
			deadlineMs: Math.max(1, Math.round(until - performance.now())),
			lastId: events.at(-1)?.id,
			origin,
			prefix
		})
		if (origin === undefined && res.events.length > 0) origin = attemptId
		events.push(...res.events)
		const builds = [...new Set(res.events.map(({build}) => build))]
		record.add("attempt ended", {
			id: attemptId,
			status: res.status,
			events: res.events.length,
			builds: builds.join("+"),
			reason: res.reason
		})
		if (res.isWhole) return {events, isWhole: true}
		const leftMs = until - performance.now()
		const waitMs = Number.isNaN(res.retryAfter) ? 0 : res.retryAfter * 1000
		if (leftMs <= 0 || waitMs > leftMs / 3) break
		await sleep(waitMs)
	}
	return {events, isWhole: false}
}

/** A route of streams that may be resumed, and its service. */
export const streamParts = {
	routes: [
		{
			name: "draft",
			host: "desk.example",
			path_prefix: "/draft/",
			kind: "streaming",
			service: "models",
			timeout_ms: 15_000,
			target_latency_ms: 800,
			target_gap_ms: 300,
			priority: 1,
			max_attempts: 2,
			resumable: true,
			sticky: true
		}
	],
	services: [
		{
			name: "models",
			max_conns: 360,
			engine: {
				slots: 64,
				kv_capacity: 130_000,
				weights_mb: 66_000,
				adapter_slots: 6,
				models: [
					{
						name: "base",
						weights_mb: 65_100,
						load_time_s: 0.6,
						adapters: 3000,
						adapter_mb: 66
					}
				]
			}
		}
	]
}
