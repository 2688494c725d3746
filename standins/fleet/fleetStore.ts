/**
 * Stand-in for the object store that the gateways and agents list and watch.
 * Tests set its fields and call its methods to inject faults.
 */
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

const maxNameLength = 255
const endlessPart = Buffer.alloc(65_536, '"an answer without end",')

export class FleetStore {
	address = ""
	/** Answers every call with this status and does nothing; 0 for never. */
	failureStatus = 0
	/** Writes take effect and are never answered. */
	isDroppingWriteAnswers = false
	/** Calls neither take effect nor are answered. */
	isHanging = false
	/**
	 * Answers every call with a body that never ends and is sent as fast as it is taken,
	 * up to this number of bytes; 0 for never.
	 */
	endlessBytes = 0
	pageSize = 50
	/** Called before each page of a list is answered. */
	onPage: (() => void) | undefined
	/** Number of calls received. */
	calls = 0
	/** Stated in every response; rises with each `returnToCopy`. */
	era = 1
	private copy: {revision: number; kinds: Map<string, Map<string, Item>>} = {
		revision: 1,
		kinds: new Map()
	}
	private revision = 1
	/** Watches from an earlier revision get 410. */
	private oldestWatchRevision = 0
	private kinds = new Map<string, Map<string, Item>>()
	private readonly events: {kind: string; item: Item; deleted: boolean}[] = []
	/** Callbacks that make each waiting watch look for events again. */
	private readonly watchWakers = new Set<() => void>()
	private readonly server: Server

	private constructor() {
		this.server = createServer((req, res) => {
			this.handleRequest(req, res)
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

	/**
	 * Closes all connections and accepts new ones at once, as after a short
	 * network partition.
	 */
	closeConnections(): void {
		this.server.closeAllConnections()
	}

	put(kind: string, name: string, spec: unknown): number {
		this.revision += 1
		const item = {name, revision: this.revision, spec}
		this.getOrCreateItems(kind).set(name, item)
		this.events.push({kind, item, deleted: false})
		this.wakeWatches()
		return this.revision
	}

	remove(kind: string, name: string): void {
		const item = this.getOrCreateItems(kind).get(name)
		if (item === undefined) return
		this.revision += 1
		this.getOrCreateItems(kind).delete(name)
		const removed = {...item, revision: this.revision}
		this.events.push({kind, item: removed, deleted: true})
		this.wakeWatches()
	}

	/** Names and values of all objects of a kind. */
	list(kind: string): Map<string, unknown> {
		const items = [...this.getOrCreateItems(kind).values()]
		return new Map(items.map(({name, spec}) => [name, spec]))
	}

	/** Discards the event log: watches from an earlier revision get 410. */
	discardHistory(): void {
		this.oldestWatchRevision = this.revision
		this.events.length = 0
		this.wakeWatches()
	}

	/** Saves the state to which `returnToCopy` returns. */
	saveCopy(): void {
		const kinds = [...this.kinds].map(
			([kind, items]) => [kind, new Map(items)] as const
		)
		this.copy = {revision: this.revision, kinds: new Map(kinds)}
	}

	/**
	 * Goes back to the saved copy: later changes are lost, and their revisions are
	 * given out again. Waiting watches are cut.
	 */
	returnToCopy(): void {
		const {revision, kinds} = this.copy
		this.saveCopy()
		this.revision = revision
		this.kinds = kinds
		this.events.length = 0
		this.oldestWatchRevision = revision
		this.era += 1
		this.closeConnections()
	}

	private wakeWatches(): void {
		for (const wake of [...this.watchWakers]) wake()
	}

	private getOrCreateItems(kind: string): Map<string, Item> {
		const known = this.kinds.get(kind) ?? new Map<string, Item>()
		this.kinds.set(kind, known)
		return known
	}

	private handleRequest(req: IncomingMessage, res: ServerResponse): void {
		this.calls += 1
		const url = new URL(req.url ?? "/", "http://store")
		const [, , kind = "", name = ""] = url.pathname.split("/")
		if (this.isHanging) return
		if (this.endlessBytes > 0) {
			pour(res, this.endlessBytes)
			return
		}
		if (this.failureStatus > 0) {
			this.reply(res, this.failureStatus, {})
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
			const item = this.getOrCreateItems(kind).get(decodeURIComponent(name))
			this.reply(res, item === undefined ? 404 : 200, encode(item))
			return
		}
		this.onPage?.()
		const after = url.searchParams.get("after") ?? ""
		const items = [...this.getOrCreateItems(kind).values()]
			.sort((a, b) => (a.name < b.name ? -1 : 1))
			.filter(item => item.name > after)
		this.reply(res, 200, {
			items: items.slice(0, this.pageSize).map(encode),
			has_more: items.length > this.pageSize,
			as_of: this.revision
		})
	}

	private watch(
		res: ServerResponse,
		kind: string,
		afterRevision: number,
		waitMs: number
	): void {
		const tryAnswer = (): boolean => {
			const isKnown =
				afterRevision >= this.oldestWatchRevision &&
				afterRevision <= this.revision
			if (!isKnown) {
				this.reply(res, 410, {})
				return true
			}
			const events = this.events.filter(
				event => event.kind === kind && event.item.revision > afterRevision
			)
			if (events.length === 0) return false
			const objects = events.map(({item, deleted}) => ({
				object: encode(item),
				deleted
			}))
			this.reply(res, 200, {events: objects, as_of: this.revision})
			return true
		}
		if (tryAnswer()) return
		const stopWaiting = (): void => {
			clearTimeout(timer)
			this.watchWakers.delete(wake)
		}
		const wake = (): void => {
			if (tryAnswer()) stopWaiting()
		}
		const timer = setTimeout(() => {
			stopWaiting()
			this.reply(res, 200, {events: [], as_of: this.revision})
		}, waitMs)
		this.watchWakers.add(wake)
		res.on("close", stopWaiting)
	}

	private reply(res: ServerResponse, status: number, body: unknown): void {
		res.writeHead(status, {
			"Content-Type": "application/json",
			"Store-Era": String(this.era)
		})
		res.end(JSON.stringify(body))
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
			if (!isStorable(name) || !isWellFormed(JSON.stringify(body.spec))) {
				this.reply(res, 400, {})
				return
			}
			const known = this.getOrCreateItems(kind).get(name)
			const isConflict =
				path === ""
					? known !== undefined
					: known?.revision !== body.metadata.revision
			if (isConflict) {
				const status = known === undefined ? 404 : 409
				this.reply(res, status, encode(known))
				return
			}
			this.put(kind, name, body.spec)
			if (this.isDroppingWriteAnswers) return
			this.reply(res, 200, encode(this.getOrCreateItems(kind).get(name)))
		})
	}
}

function pour(res: ServerResponse, bytesLeft: number): void {
	const pourMore = (): void => {
		if (bytesLeft > 0) pour(res, bytesLeft - endlessPart.length)
	}
	if (res.destroyed) return
	if (res.write(endlessPart)) setImmediate(pourMore)
	else res.once("drain", pourMore)
}

/** The users' store was seen to reject an empty name and one of 300 characters. */
function isStorable(name: string): boolean {
	return name !== "" && name.length <= maxNameLength && isWellFormed(name)
}

/** A lone surrogate has no encoding in UTF-8. */
function isWellFormed(text: string): boolean {
	return !/\p{Surrogate}|\\ud[89a-f]/u.test(text)
}

/** Stands for bytes in names that are no UTF-8, and sorts behind U+FFFD as they do. */
const unreadable = /\uffff/g

function encode(item: Item | undefined): unknown {
	if (item === undefined) return {}
	const {name, revision, spec} = item
	const readName = name.replace(unreadable, "\ufffd")
	const metadata = {name: readName, revision, finalizers: [], deleting: false}
	return {metadata, spec, status: null}
}
