/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: objects
 * by kind and name, listed in pages, watched from a revision. Each call takes
 * `answerMs`. The methods are what the operator and the workers write.
 */
import {createServer} from "node:http"

const defaultPageItems = 500
const defaultAnswerMs = 4
/** Longest wait of a watch. */
const maxWaitMs = 30_000

export class Store {
	constructor({pageItems = defaultPageItems, answerMs = defaultAnswerMs} = {}) {
		this.pageItems = pageItems
		this.answerMs = answerMs
		this.revision = 100
		this.kinds = new Map()
		this.events = []
		this.oldestRevision = this.revision
		/** Watches that wait: functions that look for events again. */
		this.waiting = new Set()
		this.isSilent = false
		this.server = createServer((req, res) => {
			this.receive(req, res)
		})
	}

	async start(ip, port) {
		await new Promise(resolve => this.server.listen(port, ip, resolve))
		this.address = `${ip}:${port}`
	}

	stop() {
		this.server.closeAllConnections()
		this.server.close()
	}

	/** Writes an object; the return is its acknowledgement. */
	put(kind, name, spec) {
		this.revision += 1
		const items = this.getItems(kind)
		const created = items.get(name)?.created ?? this.revision
		const item = {name, revision: this.revision, created, spec, status: null}
		items.set(name, item)
		this.addEvent(kind, item, false)
		return this.revision
	}

	remove(kind, name) {
		const item = this.getItems(kind).get(name)
		if (item === undefined) return
		this.revision += 1
		this.getItems(kind).delete(name)
		this.addEvent(kind, {...item, revision: this.revision}, true)
	}

	/** Watches hear nothing until the history is discarded. */
	silenceWatches() {
		this.isSilent = true
	}

	/** Discards the history and cuts the watches; those from before get 410. */
	discardHistory() {
		this.isSilent = false
		this.oldestRevision = this.revision
		this.events = []
		return this.cutWatches()
	}

	/** Cuts off the watches that wait, by closing their connections. */
	cutWatches() {
		const cut = this.waiting.size
		for (const {socket} of [...this.waiting]) socket.end()
		return cut
	}

	addEvent(kind, item, deleted) {
		this.events.push({kind, item, deleted})
		for (const look of [...this.waiting]) look()
	}

	getItems(kind) {
		let items = this.kinds.get(kind)
		if (items === undefined) {
			items = new Map()
			this.kinds.set(kind, items)
		}
		return items
	}

	receive(req, res) {
		const chunks = []
		req.on("data", chunk => chunks.push(chunk))
		req.on("end", () => {
			setTimeout(() => {
				this.answer(req, res, Buffer.concat(chunks).toString("utf8"))
			}, this.answerMs)
		})
	}

	answer(req, res, body) {
		const url = new URL(req.url, "http://store")
		const [, , kind = "", path = ""] = url.pathname.split("/")
		const name = decodeURIComponent(path)
		if (req.method !== "GET") this.write(req.method, res, kind, name, body)
		else if (url.searchParams.has("watch")) this.watch(req, res, kind, url)
		else if (name !== "") this.read(res, kind, name)
		else this.list(res, kind, url.searchParams.get("after") ?? "")
	}

	read(res, kind, name) {
		const item = this.getItems(kind).get(name)
		if (item === undefined) reply(res, 404, {})
		else reply(res, 200, encode(item))
	}

	list(res, kind, after) {
		const items = [...this.getItems(kind).values()]
			.sort((a, b) => (a.name < b.name ? -1 : 1))
			.filter(({name}) => name > after)
		reply(res, 200, {
			items: items.slice(0, this.pageItems).map(encode),
			has_more: items.length > this.pageItems,
			as_of: this.revision
		})
	}

	watch(req, res, kind, url) {
		const after = Number(url.searchParams.get("watch"))
		const waitMs = Number(url.searchParams.get("wait_ms") ?? 0)
		const look = () => {
			if (this.isSilent) return
			if (after < this.oldestRevision) {
				end(410, {})
				return
			}
			const found = this.events.filter(
				event => event.kind === kind && event.item.revision > after
			)
			if (found.length === 0) return
			const events = found.map(({item, deleted}) => ({
				deleted,
				object: encode(item)
			}))
			end(200, {events, as_of: this.revision})
		}
		look.socket = req.socket
		const end = (status, body) => {
			stop()
			if (!res.writableEnded) reply(res, status, body)
		}
		const stop = () => {
			clearTimeout(timer)
			this.waiting.delete(look)
		}
		const timer = setTimeout(
			() => {
				// What a silent watch did not deliver is still to come after `as_of`.
				const asOf = this.isSilent ? after : this.revision
				end(200, {events: [], as_of: asOf})
			},
			Math.min(waitMs, maxWaitMs)
		)
		res.on("close", stop)
		this.waiting.add(look)
		look()
	}

	write(method, res, kind, path, text) {
		const body = text === "" ? {} : JSON.parse(text)
		const name = path === "" ? body.metadata?.name : path
		const known = this.getItems(kind).get(name)
		if (method === "POST") {
			if (known !== undefined) {
				reply(res, 409, encode(known))
				return
			}
		} else if (known === undefined) {
			reply(res, 404, {})
			return
		} else {
			const expected = body.metadata?.revision
			if (expected !== undefined && expected !== known.revision) {
				reply(res, 409, encode(known))
				return
			}
		}
		if (method === "DELETE") this.remove(kind, name)
		else this.put(kind, name, body.spec)
		const item = this.getItems(kind).get(name)
		reply(res, method === "POST" ? 201 : 200, item ? encode(item) : {})
	}
}

function encode({name, revision, created, spec, status}) {
	const metadata = {name, revision, created, finalizers: [], deleting: false}
	return {metadata, spec, status}
}

/** In a name, stands for bytes that are no UTF-8. */
export const unreadableBytes = "\uE0FF"

function reply(res, status, body) {
	const parts = JSON.stringify(body)
		.split(unreadableBytes)
		.flatMap(text => [Buffer.from([0xff, 0xfe]), Buffer.from(text)])
	const bytes = Buffer.concat(parts.slice(1))
	res.writeHead(status, {
		"Content-Type": "application/json",
		"Content-Length": String(bytes.length)
	})
	res.end(bytes)
}
