/**
 * Stand-in for a worker that registers in the platform's store: a plain service,
 * or a model worker that takes load and unload orders and streams its answers.
 * It records every run, and the orders that unload an adapter with a reported
 * active run or need more adapter slots than there are, so a test can check the
 * guarantees from the worker's side.
 */
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse
} from "node:http"

export interface WorkerOptions {
	ip: string
	port: number
	/** Adapter slots; 0 for a plain service. */
	adapterSlots: number
	/** Duration of a service call, or the interval between stream events. */
	stepMs: number
	random: () => number
	/** Builds of the software, one for each start in turn. */
	builds?: readonly string[]
}

/** A request that reached the worker, and what the worker stated in its answer. */
export interface WorkerArrival {
	requestId: string
	/** Id and incarnation; the id may outlive a crash. */
	worker: string
	at: number
	isLeaving: boolean
	/** Time until which the worker wants no requests; 0 if it stated none. */
	pausedUntil: number
	/** Requests a second that the worker takes from all; 0 if it stated no limit. */
	perSecond: number
	/** Whether the request would crash the worker. */
	isDeadly: boolean
	/** The Member whose request it is, as the worker was told. */
	member: string | undefined
	/** Whether the caller's key came with it. */
	hasCredential: boolean
}

export interface WorkerRun {
	requestId: string
	worker: string
	startedAt: number
	/** `name@version` of the adapter; empty for a plain service. */
	adapter: string
	/** A service call with POST, which must not run twice. */
	isUnsafe: boolean
}

interface LoadedAdapter {
	version: number
	/** The adapter takes no new runs and is removed when its last one ends. */
	isUnloadPending: boolean
	/** Loaded version that replaces the current one when its last run ends. */
	pendingVersion: number | undefined
}

interface ActiveRun {
	requestId: string
	adapter: string
	/** A report has listed this run, so the sender of orders can know it. */
	isReported: boolean
}

interface Order {
	/** "unload"; any other value loads the model or an adapter. */
	operation: string
	adapter?: string
	version?: number
	/** Sequence number of the state that the order was derived from. */
	precondition: number
	fencing_token: number
}

const eventsPerStream = 6
const adapterLoadMs = 60
/** Start of the `X-Server-Stamp` header, which marks answers of a worker. */
const stampPrefix = "stamp"

export class FleetWorker {
	readonly runs: WorkerRun[] = []
	readonly arrivals: WorkerArrival[] = []
	/** Parts of prompts on which the worker ends before it writes an event. */
	deadlyParts: ReadonlySet<string> = new Set()
	/** Called when it is to end. */
	onDeadly: () => void = () => undefined
	/** States in every answer that it is leaving, until it crashes. */
	isLeaving = false
	/** Turns half of the requests away for this long; 0 for none. */
	pauseMs = 0
	/** Requests a second that it takes, as its answers state; 0 for any number. */
	perSecond = 0
	/**
	 * Violations, as text: orders that unload an adapter with a reported active
	 * run, and loads that need more adapters than there are slots.
	 */
	readonly violations: string[] = []
	id: string
	/** Approximate probability that an answer is cut after its run started. */
	answerLossRatio = 0
	/** Probability that a service call gets 500; `/health` still answers 200. */
	errorRatio = 0
	/**
	 * Orders are executed 700 ms after their arrival and never answered. Orders
	 * with a stale fencing token are still rejected at once.
	 */
	isDelayingOrders = false
	/** Version that a load order without a version loads, by adapter. */
	newestVersions = new Map<string, number>()
	private readonly adapters = new Map<string, LoadedAdapter>()
	/** Loads in progress, as `base/adapter@version`. */
	private readonly incoming = new Set<string>()
	private readonly activeRuns = new Set<ActiveRun>()
	private server: Server | undefined
	private hasModel: boolean
	/** Incremented by every executed order; a crash resets it. */
	private sequence = 0
	private bornAt = Date.now()
	private highestFence = 0
	/**
	 * Incremented by every crash. Timers of late orders and of loads that were
	 * started in an earlier incarnation do nothing.
	 */
	private incarnation = 1

	constructor(
		readonly name: string,
		private readonly options: WorkerOptions
	) {
		this.id = `${name}-1`
		this.hasModel = options.adapterSlots > 0
	}

	get address(): string {
		return `${this.options.ip}:${this.options.port}`
	}

	get build(): string {
		const {builds = ["v1"]} = this.options
		return builds[(this.incarnation - 1) % builds.length] ?? ""
	}

	get isUp(): boolean {
		return this.server !== undefined
	}

	async start(): Promise<void> {
		const server = createServer((req, res) => {
			this.handleRequest(req, res)
		})
		const {ip, port} = this.options
		await new Promise<void>((resolve, reject) => {
			server.once("error", reject)
			server.listen(port, ip, resolve)
		})
		this.server = server
	}

	/**
	 * Closes all connections and loses model, adapters and fencing token. The
	 * next `start` continues under the same id only when `keepsId` is set.
	 */
	async crash(keepsId: boolean): Promise<void> {
		const {server} = this
		this.server = undefined
		if (server === undefined) return
		const closed = new Promise(resolve => server.close(resolve))
		server.closeAllConnections()
		await closed
		this.incarnation += 1
		if (!keepsId) this.id = `${this.name}-${this.incarnation}`
		this.adapters.clear()
		this.incoming.clear()
		this.hasModel = false
		this.sequence = 0
		this.highestFence = 0
		this.isLeaving = false
		this.perSecond = 0
		this.bornAt = Date.now()
	}

	/** Returns the object by which the worker registers in the store. */
	createServerObject(service: string, zone: string, state: string): unknown {
		const models = this.hasModel
			? [{name: "base", version: 1, adapters: this.listAdapters()}]
			: []
		const {address, sequence: seq, bornAt: born, build: version} = this
		// `slots` is the number of requests that run at a time, not of adapters.
		return {service, address, zone, slots: 8, state, seq, born, version, models}
	}

	private handleRequest(req: IncomingMessage, res: ServerResponse): void {
		const chunks: Buffer[] = []
		req.on("data", (chunk: Buffer) => chunks.push(chunk))
		req.on("end", () => {
			const expected = req.headers["x-expect-instance"]
			res.setHeader("X-Instance-Id", this.id)
			if (expected !== undefined && expected !== this.id) {
				res.writeHead(421).end()
				return
			}
			const body = Buffer.concat(chunks).toString()
			if (req.url === "/report") this.sendReport(res)
			else if (req.url === "/health") res.writeHead(200).end()
			else if (req.url === "/order") this.order(res, body)
			else if (this.turnsAway(req, res)) return
			else if (this.options.adapterSlots > 0) this.generate(req, res)
			else this.serveCall(req, res)
		})
	}

	/** Records the arrival of a request; returns true if it is turned away. */
	private turnsAway(req: IncomingMessage, res: ServerResponse): boolean {
		const {isLeaving, pauseMs, perSecond} = this
		const requestId = String(req.headers["x-request-id"])
		const at = performance.now()
		const isPause = pauseMs > 0 && this.options.random() < 0.5
		const pausedUntil = isPause ? at + pauseMs : 0
		const worker = `${this.id} (${this.incarnation})`
		const isDeadly = this.isDeadly(req)
		const stated = {isLeaving, pausedUntil, perSecond, isDeadly}
		const member = req.headers["x-tenant"]?.toString()
		const hasCredential = req.headers["x-credential"] !== undefined
		const identity = {member, hasCredential}
		this.arrivals.push({requestId, worker, at, ...stated, ...identity})
		if (isLeaving) res.setHeader("Server-Leaving", "1")
		if (perSecond > 0) res.setHeader("Server-Limit", String(perSecond))
		if (!isPause) return false
		res.writeHead(503, {
			"X-Request-Id": requestId,
			"X-Not-Run": "1",
			"Retry-After": String(pauseMs / 1000)
		})
		res.end()
		return true
	}

	private sendReport(res: ServerResponse): void {
		for (const run of this.activeRuns) run.isReported = true
		const models = this.hasModel
			? [{name: "base", version: 1, adapters: this.listAdapters()}]
			: []
		sendJson(res, 200, {
			born: this.bornAt,
			seq: this.sequence,
			busy: false,
			running: this.activeRuns.size,
			runs: [...this.activeRuns].map(({requestId}) => [requestId, 0, 0, 1]),
			models,
			incoming: [...this.incoming],
			kv_total: 100_000
		})
	}

	private order(res: ServerResponse, text: string): void {
		const order = JSON.parse(text) as Order
		if (order.fencing_token < this.highestFence) {
			res.writeHead(412).end()
			return
		}
		this.highestFence = order.fencing_token
		this.checkUnloadOrder(order)
		if (this.isDelayingOrders) {
			const currentIncarnation = this.incarnation
			setTimeout(() => {
				if (this.incarnation === currentIncarnation) this.applyOrder(order)
			}, 700)
			return
		}
		res.writeHead(this.applyOrder(order)).end()
	}

	/**
	 * Records a violation when an order unloads an adapter with an active run
	 * that a report has listed. Other active runs do not count: the sender could
	 * not know of them. The worker lets all of them finish.
	 */
	private checkUnloadOrder({operation, adapter, precondition}: Order): void {
		if (operation !== "unload" || precondition !== this.sequence) return
		const isKnown = [...this.activeRuns].some(
			run => run.adapter === adapter && run.isReported
		)
		if (!isKnown) return
		this.violations.push(`${this.id}: ${adapter ?? ""} evicted in use`)
	}

	private applyOrder(order: Order): number {
		if (order.precondition !== this.sequence) return 409
		this.sequence += 1
		const {adapter} = order
		if (adapter === undefined) {
			this.hasModel = true
			return 202
		}
		if (order.operation === "unload") return this.unload(adapter)
		const version = order.version ?? this.newestVersions.get(adapter) ?? 1
		this.load(adapter, version)
		return 202
	}

	/** Unloads an adapter now, or after its last run: 200 or 202. */
	private unload(adapter: string): number {
		const loaded = this.adapters.get(adapter)
		if (loaded !== undefined) loaded.isUnloadPending = true
		this.applyDeferredChanges(adapter)
		return this.adapters.has(adapter) ? 202 : 200
	}

	private load(adapter: string, version: number): void {
		const label = `base/${adapter}@${version}`
		this.incoming.add(label)
		const neededAdapters = new Set([...this.adapters.keys(), adapter])
		for (const incomingLabel of this.incoming) {
			neededAdapters.add(
				incomingLabel.slice("base/".length, incomingLabel.lastIndexOf("@"))
			)
		}
		if (neededAdapters.size > this.options.adapterSlots) {
			this.violations.push(`${this.id}: more adapters ordered than slots`)
		}
		const currentIncarnation = this.incarnation
		setTimeout(() => {
			if (this.incarnation !== currentIncarnation) return
			this.incoming.delete(label)
			const loaded = this.adapters.get(adapter)
			if (loaded === undefined) {
				const entry = {
					version,
					isUnloadPending: false,
					pendingVersion: undefined
				}
				this.adapters.set(adapter, entry)
				return
			}
			loaded.pendingVersion = version
			this.applyDeferredChanges(adapter)
		}, adapterLoadMs)
	}

	/** Applies a pending unload or version once the adapter has no runs. */
	private applyDeferredChanges(adapter: string): void {
		const loaded = this.adapters.get(adapter)
		if (loaded === undefined || this.isInUse(adapter)) return
		if (loaded.isUnloadPending) this.adapters.delete(adapter)
		loaded.version = loaded.pendingVersion ?? loaded.version
		loaded.pendingVersion = undefined
	}

	private isInUse(adapter: string): boolean {
		return [...this.activeRuns].some(run => run.adapter === adapter)
	}

	private serveCall(req: IncomingMessage, res: ServerResponse): void {
		const requestId = String(req.headers["x-request-id"])
		const isUnsafe = req.method === "POST"
		this.recordRun(requestId, "", isUnsafe)
		setTimeout(() => {
			const {random} = this.options
			if (random() < this.answerLossRatio) {
				res.destroy()
				return
			}
			const status = random() < this.errorRatio ? 500 : 200
			res.writeHead(status, this.createHead(requestId))
			res.end(`done ${requestId}`)
		}, this.options.stepMs)
	}

	private generate(req: IncomingMessage, res: ServerResponse): void {
		const requestId = String(req.headers["x-request-id"])
		const adapter = String(req.headers["x-model"]).split("/")[1] ?? ""
		const loaded = this.adapters.get(adapter)
		const expected = req.headers["x-expect-version"]
		const isExpected =
			expected === undefined || expected === String(loaded?.version)
		if (loaded === undefined || loaded.isUnloadPending || !isExpected) {
			res.writeHead(421).end()
			return
		}
		const {version} = loaded
		const {build} = this
		const isDeadly = this.isDeadly(req)
		this.recordRun(requestId, `${adapter}@${version}`, false)
		res.writeHead(200, this.createHead(requestId))
		const run: ActiveRun = {requestId, adapter, isReported: false}
		this.activeRuns.add(run)
		let next = Number(req.headers["last-event-id"] ?? 0) + 1
		const timer = setInterval(() => {
			// Every event is one write, so a reset can cut the stream after any event.
			const isCut =
				this.options.random() < this.answerLossRatio / eventsPerStream
			if (isDeadly) this.onDeadly()
			else if (isCut) res.socket?.resetAndDestroy()
			else if (next > eventsPerStream) res.end()
			else res.write(`id: ${next}\ndata: ${requestId} ${next} ${build}\n\n`)
			next += 1
		}, this.options.stepMs)
		res.on("close", () => {
			clearInterval(timer)
			this.activeRuns.delete(run)
			this.applyDeferredChanges(adapter)
		})
	}

	private isDeadly(req: IncomingMessage): boolean {
		const parts = String(req.headers["x-prompt-prefix"]).split(",")
		return parts.some(part => this.deadlyParts.has(part.split(":")[0] ?? ""))
	}

	private recordRun(
		requestId: string,
		adapter: string,
		isUnsafe: boolean
	): void {
		const startedAt = performance.now()
		this.runs.push({requestId, worker: this.id, startedAt, adapter, isUnsafe})
	}

	private createHead(requestId: string): Record<string, string> {
		return {
			"X-Request-Id": requestId,
			"X-Server-Stamp": `${stampPrefix}-${this.id}`
		}
	}

	private listAdapters(): string[] {
		return [...this.adapters].map(([name, {version}]) => `${name}@${version}`)
	}
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
	res.writeHead(status, {"Content-Type": "application/json"})
	res.end(JSON.stringify(body))
}
