/**
 * Stand-in for the platform's metadata store: kinds of objects with one revision
 * counter, lists, watches, and writes under a condition. Everything it states is
 * linearizable.
 */
import {createServer} from "node:http"

const pageSize = 500

export class Store {
	constructor() {
		this.revision = 1
		this.kinds = new Map()
		this.events = []
		this.waiting = new Set()
		this.server = createServer((req, res) => {
			this.handle(req, res)
		})
		this.server.keepAliveTimeout = 60_000
	}

	listen(ip, port) {
		this.address = `${ip}:${port}`
		return new Promise((resolve, reject) => {
			this.server.once("error", reject)
			this.server.listen(port, ip, resolve)
		})
	}

	close() {
		this.server.close()
		this.server.closeAllConnections()
	}

	/** Writes as the operator or a worker does; returns when it is acknowledged. */
	put(kind, name, spec) {
		this.revision += 1
		const known = this.items(kind).get(name)
		const object = {
			metadata: {
				name,
				revision: this.revision,
				created: known?.metadata.created ?? this.revision,
				finalizers: [],
				deleting: false
			},
			spec,
			status: null
		}
		this.items(kind).set(name, object)
		this.note(kind, object, false)
		return object
	}

	remove(kind, name) {
		const known = this.items(kind).get(name)
		if (known === undefined) return
		this.revision += 1
		this.items(kind).delete(name)
		const metadata = {...known.metadata, revision: this.revision}
		this.note(kind, {...known, metadata}, true)
	}

	items(kind) {
		if (!this.kinds.has(kind)) this.kinds.set(kind, new Map())
		return this.kinds.get(kind)
	}

	note(kind, object, deleted) {
		this.events.push({kind, revision: this.revision, object, deleted})
		for (const look of [...this.waiting]) look()
	}

	handle(req, res) {
		const chunks = []
		req.on("data", chunk => chunks.push(chunk))
		req.on("end", () => {
			const url = new URL(req.url, "http://store")
			const [, , kind, ...rest] = url.pathname
				.split("/")
				.map(decodeURIComponent)
			const text = Buffer.concat(chunks).toString()
			const body = text === "" ? {} : JSON.parse(text)
			this.answer(req, res, {kind, name: rest[0], url, body})
		})
	}

	answer(req, res, {kind, name, url, body}) {
		const reply = (status, value) => {
			if (res.destroyed) return
			const payload = JSON.stringify(value)
			res.writeHead(status, {
				"Content-Type": "application/json",
				"Content-Length": Buffer.byteLength(payload),
				"Store-Era": "1"
			})
			res.end(payload)
		}
		const items = this.items(kind)
		if (req.method === "POST") {
			const {name: wanted} = body.metadata
			if (items.has(wanted)) reply(409, items.get(wanted))
			else reply(201, this.put(kind, wanted, body.spec))
			return
		}
		if (name === undefined) {
			const watch = url.searchParams.get("watch")
			if (watch !== null) this.watch(res, reply, kind, Number(watch), url)
			else this.list(reply, items, url)
			return
		}
		const known = items.get(name)
		if (known === undefined) {
			reply(404, {})
			return
		}
		if (req.method === "GET") {
			reply(200, known)
			return
		}
		const wanted = body.metadata?.revision ?? url.searchParams.get("revision")
		if (wanted != null && Number(wanted) !== known.metadata.revision) {
			reply(409, known)
		} else if (req.method === "DELETE") {
			this.remove(kind, name)
			reply(200, known)
		} else reply(200, this.put(kind, name, body.spec))
	}

	list(reply, items, url) {
		const after = url.searchParams.get("after") ?? ""
		const rest = [...items.values()]
			.filter(({metadata}) => metadata.name > after)
			.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1))
		reply(200, {
			items: rest.slice(0, pageSize),
			has_more: rest.length > pageSize,
			as_of: this.revision
		})
	}

	watch(res, reply, kind, since, url) {
		const find = () =>
			this.events.filter(each => each.kind === kind && each.revision > since)
		const send = found => {
			this.waiting.delete(look)
			clearTimeout(timer)
			const events = found.map(({object, deleted}) => ({object, deleted}))
			reply(200, {events, as_of: this.revision})
		}
		const look = () => {
			const found = find()
			if (found.length > 0) send(found)
		}
		const timer = setTimeout(
			() => {
				send([])
			},
			Number(url.searchParams.get("wait_ms") ?? 0)
		)
		this.waiting.add(look)
		res.on("close", () => {
			this.waiting.delete(look)
			clearTimeout(timer)
		})
		look()
	}
}
