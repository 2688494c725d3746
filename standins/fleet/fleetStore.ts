/** Stand-in of the store of the users' platform, with faults to switch on. */
import {
	createServer,
	type IncomingMessage,
	type ServerResponse
} from "node:http"
import type {Server} from "node:http"

interface Item {
	name: string
	revision: number
	spec: unknown
}

export class FleetStore {
	address = ""
	/** Status to answer instead of doing anything; 0 for none. */
	refuseWith = 0
	/** Writes are done and not answered. */
	losesAnswers = false
	/** Calls are accepted and never answered. */
	isSilent = false
	pageSize = 50
	calls = 0
	private revision = 1
	private oldest = 0
	private readonly kinds = new Map<string, Map<string, Item>>()
	private readonly events: {kind: string; item: Item; deleted: boolean}[] = []
	private readonly waiting = new Set<() => void>()
	private readonly server: Server

	private constructor() {
		this.server = createServer((req, res) => {
			this.handle(req, res)
		})
	}

	static async start(ip = "127.0.0.1"): Promise<FleetStore> {
		const store = new FleetStore()
		const {server} = store
		await new Promise<void>(resolve => server.listen(0, ip, resolve))
		const address = server.address()
		const port =
			address !== null && typeof address === "object" ? address.port : 0
		store.address = `${ip}:${port}`
		return store
	}

	stop(): void {
		this.server.closeAllConnections()
		this.server.close()
	}

	/** Cuts all connections, as a partition that heals. */
	cut(): void {
		this.server.closeAllConnections()
	}

	put(kind: string, name: string, spec: unknown): number {
		this.revision += 1
		const item = {name, revision: this.revision, spec}
		this.getKind(kind).set(name, item)
		this.events.push({kind, item, deleted: false})
		this.notify()
		return this.revision
	}

	remove(kind: string, name: string): void {
		const item = this.getKind(kind).get(name)
		if (item === undefined) return
		this.revision += 1
		this.getKind(kind).delete(name)
		const gone = {...item, revision: this.revision}
		this.events.push({kind, item: gone, deleted: true})
		this.notify()
	}

	/** Drops the history: watches from before get 410. */
	forget(): void {
		this.oldest = this.revision
		this.events.length = 0
		this.notify()
	}

	private notify(): void {
		for (const wake of [...this.waiting]) wake()
	}

	private getKind(kind: string): Map<string, Item> {
		const known = this.kinds.get(kind) ?? new Map<string, Item>()
		this.kinds.set(kind, known)
		return known
	}

	private handle(req: IncomingMessage, res: ServerResponse): void {
		this.calls += 1
		const url = new URL(req.url ?? "/", "http://store")
		const [, , kind = "", name = ""] = url.pathname.split("/")
		if (this.isSilent) return
		if (this.refuseWith > 0) {
			reply(res, this.refuseWith, {})
			return
		}
		if (req.method !== "GET") {
			this.write(req, res, kind, decodeURIComponent(name))
			return
		}
		const watch = url.searchParams.get("watch")
		if (watch !== null) {
			const waitMs = Number(url.searchParams.get("wait_ms"))
			this.watch(res, kind, Number(watch), waitMs)
			return
		}
		if (name !== "") {
			const item = this.getKind(kind).get(decodeURIComponent(name))
			reply(res, item === undefined ? 404 : 200, encode(item))
			return
		}
		const after = url.searchParams.get("after") ?? ""
		const items = [...this.getKind(kind).values()]
			.sort((a, b) => (a.name < b.name ? -1 : 1))
			.filter(item => item.name > after)
		reply(res, 200, {
			items: items.slice(0, this.pageSize).map(encode),
			has_more: items.length > this.pageSize,
			as_of: this.revision
		})
	}

	private watch(
		res: ServerResponse,
		kind: string,
		from: number,
		waitMs: number
	): void {
		const answer = (): boolean => {
			if (from < this.oldest) {
				reply(res, 410, {})
				return true
			}
			const events = this.events.filter(
				event => event.kind === kind && event.item.revision > from
			)
			if (events.length === 0) return false
			const objects = events.map(({item, deleted}) => ({
				object: encode(item),
				deleted
			}))
			reply(res, 200, {events: objects, as_of: this.revision})
			return true
		}
		if (answer()) return
		const done = (): void => {
			clearTimeout(timer)
			this.waiting.delete(wake)
		}
		const wake = (): void => {
			if (answer()) done()
		}
		const timer = setTimeout(() => {
			done()
			reply(res, 200, {events: [], as_of: this.revision})
		}, waitMs)
		this.waiting.add(wake)
		res.on("close", done)
	}

	private write(
		req: IncomingMessage,
		res: ServerResponse,
		kind: string,
		path: string
	): void {
		const chunks: Buffer[] = []
		req.on("data", (chunk: Buffer) => chunks.push(chunk))
		req.on("end", () => {
			const body = JSON.parse(Buffer.concat(chunks).toString()) as {
				metadata: {name: string; revision?: number}
				spec: unknown
			}
			const name = path === "" ? body.metadata.name : path
			const known = this.getKind(kind).get(name)
			const isConflict =
				path === ""
					? known !== undefined
					: known?.revision !== body.metadata.revision
			if (isConflict) {
				reply(res, 409, encode(known))
				return
			}
			this.put(kind, name, body.spec)
			if (this.losesAnswers) return
			reply(res, 200, encode(this.getKind(kind).get(name)))
		})
	}
}

function encode(item: Item | undefined): unknown {
	if (item === undefined) return {}
	const {name, revision, spec} = item
	const metadata = {name, revision, finalizers: [], deleting: false}
	return {metadata, spec, status: null}
}

function reply(res: ServerResponse, status: number, body: unknown): void {
	res.writeHead(status, {"Content-Type": "application/json"})
	res.end(JSON.stringify(body))
}
