/**
 * What the cases share: a store, workers and clients that speak the protocol of the
 * users' pages, and processes that are started with the commands of the deploy file.
 */
import {spawn} from "node:child_process"
import {appendFileSync, mkdtempSync, readFileSync, rmSync} from "node:fs"
import {writeFileSync} from "node:fs"
import {createServer as createHttpServer} from "node:http"
import {createServer} from "node:net"
import {tmpdir} from "node:os"
import {dirname, join, resolve} from "node:path"
import {fileURLToPath} from "node:url"

const here = dirname(fileURLToPath(import.meta.url))
export const root = resolve(here, "../..")
export const isTrouble = process.env.TROUBLE !== "0"

export const sleep = ms => new Promise(done => setTimeout(done, ms))

/** Bounds of the small sites of the pages. */
export const bounds = {
	drainMs: 2000,
	graceS: 8,
	stableWindowMs: 3000,
	configApplyMs: 2000
}

const ports = {front: 8149, ready: 8141, control: 8144, link: 7380}

/** A loopback address on which no process listens at the ports of the case. */
export async function pickIp() {
	for (;;) {
		const part = () => 2 + Math.floor(Math.random() * 250)
		const ip = `127.${part()}.${part()}.${part()}`
		const free = await Promise.all(
			[...Object.values(ports), 9464, 8000].map(port => isFree(ip, port))
		)
		if (free.every(Boolean)) return ip
	}
}

function isFree(host, port) {
	return new Promise(done => {
		const probe = createServer()
		probe.once("error", () => done(false))
		probe.listen({host, port}, () => probe.close(() => done(true)))
	})
}

/** Writes what happened to `record.txt` in the folder of the case. */
export class Record {
	constructor(caseUrl) {
		this.path = join(dirname(fileURLToPath(caseUrl)), "record.txt")
		this.startedAt = performance.now()
		writeFileSync(this.path, "")
	}

	get now() {
		return Math.round(performance.now() - this.startedAt)
	}

	add(what, fields = {}) {
		const text = Object.entries(fields)
			.map(([key, value]) => `${key}=${String(value)}`)
			.join(" ")
		const at = String(this.now).padStart(6)
		appendFileSync(this.path, `${at} ms  ${what}  ${text}\n`)
	}
}

/** The platform's metadata store, with objects by kind and name. */
export class Store {
	era = 1
	revision = 100
	kinds = new Map()
	events = []
	oldest = 0
	waiting = new Set()
	/** Every call is answered with 503 while it is away. */
	isAway = false

	static async start(ip) {
		const store = new Store()
		store.address = `${ip}:8000`
		store.server = createHttpServer((req, res) => store.handle(req, res))
		await new Promise(done => store.server.listen(8000, ip, done))
		return store
	}

	stop() {
		this.server.closeAllConnections()
		this.server.close()
	}

	items(kind) {
		if (!this.kinds.has(kind)) this.kinds.set(kind, new Map())
		return this.kinds.get(kind)
	}

	put(kind, name, spec) {
		this.revision += 1
		const known = this.items(kind).get(name)
		const created = known?.metadata.created ?? Date.now()
		const object = {
			metadata: {
				name,
				revision: this.revision,
				created,
				finalizers: [],
				deleting: false
			},
			spec,
			status: known?.status ?? null
		}
		this.items(kind).set(name, object)
		this.publish({kind, object, deleted: false})
		return object
	}

	remove(kind, name) {
		const known = this.items(kind).get(name)
		if (known === undefined) return
		this.items(kind).delete(name)
		this.revision += 1
		const metadata = {...known.metadata, revision: this.revision}
		this.publish({kind, object: {...known, metadata}, deleted: true})
	}

	publish(event) {
		this.events.push({...event, revision: this.revision})
		for (const wake of [...this.waiting]) wake()
	}

	/** A copy to which the store may return. */
	copy() {
		const kinds = [...this.kinds].map(([kind, items]) => [kind, new Map(items)])
		return {revision: this.revision, kinds: new Map(kinds)}
	}

	/** Away for a moment. */
	leave() {
		this.isAway = true
		this.server.closeAllConnections()
	}

	returnFrom(copy) {
		this.isAway = false
		if (copy === undefined) return
		this.era += 1
		this.revision = copy.revision
		this.kinds = new Map(
			[...copy.kinds].map(([kind, items]) => [kind, new Map(items)])
		)
		this.events = []
		this.oldest = copy.revision
	}

	reply(res, status, body) {
		const text = JSON.stringify(body)
		res.writeHead(status, {
			"Content-Type": "application/json",
			"Content-Length": String(Buffer.byteLength(text)),
			"Store-Era": String(this.era)
		})
		res.end(text)
	}

	handle(req, res) {
		const chunks = []
		req.on("data", chunk => chunks.push(chunk))
		req.on("end", () => {
			if (this.isAway) {
				this.reply(res, 503, {})
				return
			}
			const url = new URL(req.url, "http://store")
			const [, , kind, rawName, part] = url.pathname.split("/")
			const name =
				rawName === undefined ? undefined : decodeURIComponent(rawName)
			const query = url.searchParams
			if (req.method === "GET" && query.has("watch"))
				this.watch(res, kind, Number(query.get("watch")), query)
			else if (req.method === "GET") this.read(res, kind, name, query)
			else {
				const text = Buffer.concat(chunks).toString()
				const body = text === "" ? {} : JSON.parse(text)
				this.write(req.method, res, kind, {name, part, body})
			}
		})
	}

	read(res, kind, name, query) {
		if (name !== undefined) {
			const known = this.items(kind).get(name)
			this.reply(res, known === undefined ? 404 : 200, known ?? {})
			return
		}
		const after = query.get("after") ?? ""
		const all = [...this.items(kind).values()]
			.filter(({metadata}) => metadata.name > after)
			.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1))
		this.reply(res, 200, {
			items: all.slice(0, 500),
			has_more: all.length > 500,
			as_of: this.revision
		})
	}

	watch(res, kind, from, query) {
		const {era} = this
		const tryAnswer = isLast => {
			if (from < this.oldest || from > this.revision || era !== this.era) {
				this.reply(res, 410, {})
				return true
			}
			const events = this.events
				.filter(event => event.kind === kind && event.revision > from)
				.map(({object, deleted}) => ({object, deleted}))
			if (events.length === 0 && !isLast) return false
			this.reply(res, 200, {events, as_of: this.revision})
			return true
		}
		if (tryAnswer(false)) return
		const end = () => {
			clearTimeout(timer)
			this.waiting.delete(wake)
		}
		const wake = () => {
			if (tryAnswer(false)) end()
		}
		const timer = setTimeout(
			() => {
				end()
				if (!res.destroyed) tryAnswer(true)
			},
			Number(query.get("wait_ms") ?? 0)
		)
		this.waiting.add(wake)
		res.on("close", end)
	}

	write(method, res, kind, {name: pathName, part, body}) {
		const name = pathName ?? body.metadata?.name
		const known = this.items(kind).get(name)
		const expected = body.metadata?.revision
		if (method === "POST" && known !== undefined) {
			this.reply(res, 409, known)
		} else if (method === "PUT" && known === undefined) {
			this.reply(res, 404, {})
		} else if (
			expected !== undefined &&
			known?.metadata.revision !== expected
		) {
			this.reply(res, known === undefined ? 404 : 409, known ?? {})
		} else if (method === "DELETE") {
			this.remove(kind, name)
			this.reply(res, 200, {})
		} else if (part === "status") {
			known.status = body.status
			this.reply(res, 200, known)
		} else this.reply(res, 200, this.put(kind, name, body.spec))
	}
}

/** Settings of a process on one machine, in the format of the pages. */
function writeSettings(folder, machine) {
	const {name, ip, role, seeds, storeAddress, app} = machine
	const lines = [
		`node_name = "${name}"`,
		`role = "${role}"`,
		`machine_class = "${role === "gateway" ? "front" : "side"}"`,
		`ip = "${ip}"`,
		`zone = "${machine.zone ?? "zone-a"}"`,
		`region = "region"`,
		`internal_ports = [${ports.link},${ports.link + 15}]`,
		`seeds = [${seeds.map(seed => `"${seed}"`).join(",")}]`,
		`bootstrap = ${machine.isFirst === true}`,
		`heartbeat_ms = 1200`,
		...(app === undefined ? [] : [`app = "${app}"`, `service = "models"`]),
		`[listen]`,
		...(role === "gateway"
			? [
					`front = "${ip}:${ports.front}"`,
					`ready = "${ip}:${ports.ready}"`,
					`control = "${ip}:${ports.control}"`
				]
			: []),
		`[limits]`,
		`memory_mb = ${role === "gateway" ? 350 : 282}`,
		`[bounds]`,
		`drain_ms = ${bounds.drainMs}`,
		`grace_s = ${bounds.graceS}`,
		`stable_window_ms = ${bounds.stableWindowMs}`,
		`config_apply_ms = ${bounds.configApplyMs}`,
		`retry_budget_ratio = 0.2`,
		`budget_window_s = 10`,
		`budget_extra = 54`,
		`lease_ms = 3000`,
		`version_ms = 5000`,
		`[platform]`,
		`address = "${storeAddress}"`,
		`form = "objects"`
	]
	const path = join(folder, `${name}.toml`)
	writeFileSync(path, `${lines.join("\n")}\n`)
	return path
}

/** The words after `run` of a role in the deploy file. */
function readCommand(role) {
	const text = readFileSync(join(root, "deploy/system.toml"), "utf8")
	const section = text.slice(text.indexOf(`[roles.${role}]`))
	return /run = "([^"]+)"/.exec(section)[1].split(" ")
}

/** Processes, servers and folders of one run of a case. */
export class Scene {
	folder = mkdtempSync(join(tmpdir(), "review-"))
	children = []
	stops = []

	constructor(record) {
		this.record = record
	}

	/** Starts the program of a role on a machine; `machine.restart` does so again. */
	start(machine) {
		const path = writeSettings(this.folder, machine)
		const [program, ...args] = readCommand(machine.role)
		const child = spawn(program, args, {
			cwd: root,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				GOLDCRESTLOOM_CONFIG: path
			},
			stdio: ["ignore", "pipe", "pipe"]
		})
		const log = join(this.folder, `${machine.name}.log`)
		child.stdout.on("data", text => appendFileSync(log, text))
		child.stderr.on("data", text => appendFileSync(log, text))
		child.on("exit", (code, signal) => {
			this.record.add("process ended", {name: machine.name, code, signal})
		})
		this.children.push(child)
		this.record.add("process started", {name: machine.name, pid: child.pid})
		return child
	}

	/** A gateway on a machine of its own. */
	async addGateway(name, options) {
		const ip = options.ip ?? (await pickIp())
		const machine = {name, ip, role: "gateway", seeds: [], ...options}
		machine.child = this.start(machine)
		machine.front = {host: ip, port: ports.front}
		machine.ready = {host: ip, port: ports.ready}
		return machine
	}

	readLog(name) {
		return readFileSync(join(this.folder, `${name}.log`), "utf8")
	}

	async end() {
		for (const child of this.children) {
			if (child.exitCode !== null || child.signalCode !== null) continue
			const ended = new Promise(done => child.once("exit", done))
			child.kill("SIGCONT")
			child.kill("SIGKILL")
			await ended
		}
		for (const stop of this.stops.reverse()) await stop()
		if (process.env.KEEP_LOGS === undefined)
			rmSync(this.folder, {recursive: true, force: true})
		else process.stdout.write(`logs: ${this.folder}\n`)
	}
}

export const controlAddress = ip => `${ip}:${ports.control}`

/** Waits until a gateway's readiness probe answers 200. */
export async function awaitReady(machine, timeoutMs = 20_000) {
	const {host, port} = machine.ready
	const until = performance.now() + timeoutMs
	for (;;) {
		try {
			const res = await fetch(`http://${host}:${port}/ready`)
			await res.arrayBuffer()
			if (res.status === 200) return
		} catch {
			// Not listening yet.
		}
		if (performance.now() > until)
			throw new Error(`${machine.name} isn't ready`)
		await sleep(50)
	}
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 on a fault. */
export async function runCase(caseUrl, play) {
	const record = new Record(caseUrl)
	record.add("begin", {trouble: isTrouble})
	const scene = new Scene(record)
	let code = 2
	const limit = setTimeout(() => {
		record.add("timeout")
		void scene.end().finally(() => process.exit(2))
	}, 115_000)
	try {
		const broken = await play(scene, record)
		record.add(broken === undefined ? "the rule held" : "the rule was broken", {
			how: broken ?? ""
		})
		process.stdout.write(`${broken ?? "the rule held"}\n`)
		code = broken === undefined ? 0 : 1
	} catch (err) {
		record.add("the case couldn't run", {error: err.stack})
		process.stdout.write(`the case couldn't run: ${err.stack}\n`)
	}
	clearTimeout(limit)
	await scene.end()
	process.exit(code)
}
