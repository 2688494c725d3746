/**
 * Starts the project's programs as the deploy file says, each on a loopback address
 * of its own that stands for a machine, before stand-ins of the platform and workers.
 */
import {spawn} from "node:child_process"
import {
	appendFileSync,
	mkdtempSync,
	openSync,
	readFileSync,
	rmSync,
	writeFileSync
} from "node:fs"
import {request} from "node:http"
import {createServer} from "node:net"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {Relay} from "./relay.mjs"
import {Store} from "./store.mjs"

const top = new URL("../..", import.meta.url).pathname
export const heartbeatMs = 1200
const beatCheckMs = 20
export const hasTrouble = process.env.TROUBLE !== "0"

export function sleep(ms) {
	return new Promise(resolve => setTimeout(resolve, ms))
}

/** Words of a role's `run` in the deploy file. */
function readRun(role) {
	const text = readFileSync(join(top, "deploy/system.toml"), "utf8")
	const [, section = ""] = text.split(`[roles.${role}]`)
	const [, run = ""] = /run = "([^"]*)"/.exec(section) ?? []
	return run.split(" ")
}

export class Deployment {
	constructor(recordPath, {configApplyMs = 2000} = {}) {
		this.recordPath = recordPath
		this.configApplyMs = configApplyMs
		this.startedAt = performance.now()
		this.dir = mkdtempSync(join(tmpdir(), "review-"))
		this.block = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
		this.processes = new Map()
		this.relays = []
		this.workers = new Set()
		this.store = new Store()
		writeFileSync(recordPath, "")
	}

	get now() {
		return performance.now() - this.startedAt
	}

	note = text => {
		appendFileSync(this.recordPath, `${this.now.toFixed(0)} ms ${text}\n`)
	}

	async start() {
		this.ports = []
		while (this.ports.length < 6) this.ports.push(await findPort())
		this.ports.sort((a, b) => a - b)
		await this.store.listen(`${this.block}.250`, this.ports[0])
		this.timer = setInterval(() => {
			this.beat()
		}, beatCheckMs)
	}

	/** Each worker that lives writes its entry at each of its heartbeats. */
	beat() {
		const now = performance.now()
		for (const worker of this.workers) {
			const silentMs = now - worker.heardAt
			if (worker.isUp && silentMs >= heartbeatMs) this.register(worker)
			if (worker.isUp || silentMs <= 3 * heartbeatMs) continue
			this.workers.delete(worker)
			this.note(`entry of ${worker.id} is removed after three heartbeats`)
			this.store.remove("servers", worker.id)
		}
	}

	/** Resolves right after the worker has written its entry. */
	async untilBeat(worker) {
		const {heardAt} = worker
		while (worker.heardAt === heardAt) await sleep(10)
	}

	register(worker) {
		this.workers.add(worker)
		worker.heardAt = performance.now()
		this.store.put("servers", worker.id, worker.entry())
	}

	putConfig(config) {
		this.store.put("config", "main", config)
		this.note(`operator's configuration ${config.version} is acknowledged`)
	}

	ip(machine) {
		return `${this.block}.${machine}`
	}

	/** Starts a gateway on machine number `machine`; it calls the store by a relay. */
	async startGateway(machine, seeds) {
		const [, callers, ready, control] = this.ports
		const ip = this.ip(machine)
		const relay = new Relay(this.store.address)
		await relay.listen(ip, this.ports[0])
		this.relays.push(relay)
		const lines = [
			"[listen]",
			`front = "${ip}:${callers}"`,
			`ready = "${ip}:${ready}"`,
			`control = "${ip}:${control}"`
		]
		const name = `front-${machine}`
		this.spawn(name, "gateway", {ip, store: relay.address, seeds, lines})
		return {
			name,
			callers: `${ip}:${callers}`,
			ready: `${ip}:${ready}`,
			relay
		}
	}

	control(machine) {
		return `${this.ip(machine)}:${this.ports[3]}`
	}

	startAgent(name, {ip, app, service}) {
		const head = [`app = "${app}"`, `service = "${service}"`]
		this.spawn(name, "agent", {ip, store: this.store.address, head})
	}

	spawn(name, role, {ip, store, seeds = [], head = [], lines = []}) {
		const path = join(this.dir, `${name}.toml`)
		const first = this.ports[4]
		const list = seeds.map(seed => `"${seed}"`).join(",")
		writeFileSync(
			path,
			[
				`node_name = "${name}"`,
				`role = "${role}"`,
				`machine_class = "${role === "gateway" ? "front" : "side"}"`,
				`ip = "${ip}"`,
				'zone = "zone-a"',
				'region = "region"',
				`internal_ports = [${first},${first + 15}]`,
				`seeds = [${list}]`,
				"bootstrap = true",
				`heartbeat_ms = ${heartbeatMs}`,
				...head,
				"[zones]",
				'zone-a = "region"',
				...lines,
				"[limits]",
				"memory_mb = 350",
				"max_fds = 4100",
				"[bounds]",
				"seed_lag_s = 3",
				"reuse_after_s = 2",
				"stable_window_ms = 3000",
				"drain_ms = 2000",
				"grace_s = 8",
				`config_apply_ms = ${this.configApplyMs}`,
				"retry_budget_ratio = 0.2",
				"budget_window_s = 10",
				"budget_extra = 54",
				"fencing_required = true",
				"lease_ms = 3000",
				"version_ms = 5000",
				"[platform]",
				`address = "${store}"`,
				'form = "objects"',
				"writes_per_s = 400",
				"reads_per_s = 2000",
				"history_s = 20",
				"value_bytes = 1048576",
				""
			].join("\n")
		)
		const [program, ...args] = readRun(role)
		const log = openSync(join(this.dir, `${name}.log`), "a")
		const child = spawn(program, args, {
			cwd: top,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				GOLDCRESTLOOM_CONFIG: path
			},
			stdio: ["ignore", log, log]
		})
		child.ended = new Promise(resolve => {
			child.on("exit", resolve)
		})
		this.processes.set(name, child)
		this.note(`${role} ${name} starts as process ${child.pid}`)
	}

	readLog(name) {
		return readFileSync(join(this.dir, `${name}.log`), "utf8")
	}

	async kill(name) {
		const child = this.processes.get(name)
		this.processes.delete(name)
		child.kill("SIGKILL")
		await child.ended
		this.note(`process of ${name} is killed`)
	}

	async stop() {
		clearInterval(this.timer)
		const names = [...this.processes.keys()]
		for (const name of names) {
			const child = this.processes.get(name)
			child.kill("SIGCONT")
			child.kill("SIGKILL")
			await child.ended
		}
		for (const worker of this.workers) await worker.crash()
		for (const relay of this.relays) relay.close()
		this.store.close()
		if (process.env.KEEP !== "1")
			rmSync(this.dir, {recursive: true, force: true})
	}

	/** Sends one request on a new connection, as a client does. */
	send(address, {id, method = "POST", path, host, headers = {}, body, ms}) {
		const [ip, port] = address.split(":")
		const sentAt = this.now
		return new Promise(resolve => {
			const done = answer => {
				clearTimeout(timer)
				resolve({id, sentAt, endedAt: this.now, ...answer})
			}
			const req = request({
				host: ip,
				port: Number(port),
				method,
				path,
				agent: false,
				headers: {
					Host: host,
					"X-Request-Id": id,
					"X-Deadline-Ms": String(ms),
					...headers,
					...(body === undefined
						? {}
						: {"Content-Length": Buffer.byteLength(body)})
				}
			})
			const timer = setTimeout(() => {
				req.destroy()
				done({status: 0, text: "no answer until the deadline"})
			}, ms + 500)
			req.on("error", err => {
				done({status: 0, text: err.message})
			})
			req.on("response", res => {
				const chunks = []
				res.on("data", chunk => chunks.push(chunk))
				res.on("error", () => undefined)
				res.on("close", () => {
					done({
						status: res.complete ? res.statusCode : 0,
						stamp: res.headers["x-server-stamp"],
						headers: res.headers,
						text: Buffer.concat(chunks).toString()
					})
				})
			})
			req.end(body)
		})
	}

	/** Waits until the readiness probe of each gateway answers 200. */
	async waitReady(gateways, limitMs = 15_000) {
		const until = performance.now() + limitMs
		for (const {ready} of gateways) {
			while (!(await isReady(ready))) {
				if (performance.now() > until) throw new Error("not ready in time")
				await sleep(100)
			}
		}
	}
}

function isReady(address) {
	const [host, port] = address.split(":")
	return new Promise(resolve => {
		const req = request({host, port: Number(port), path: "/ready"}, res => {
			res.resume()
			resolve(res.statusCode === 200)
		})
		req.on("error", () => {
			resolve(false)
		})
		req.end()
	})
}

/** A port below the range from which connections get theirs. */
async function findPort() {
	for (;;) {
		const port = 12_000 + Math.floor(Math.random() * 18_000)
		const server = createServer()
		const isFree = await new Promise(resolve => {
			server.once("error", () => {
				resolve(false)
			})
			server.listen(port, "127.0.0.1", () => {
				resolve(true)
			})
		})
		if (isFree) await new Promise(resolve => server.close(resolve))
		if (isFree) return port
	}
}

/**
 * Runs a case and exits: 1 if it returns a broken rule, 0 if it returns none, 2 if it
 * can't run.
 */
export async function runCase(recordPath, options, play) {
	const deployment = new Deployment(recordPath, options)
	let code = 2
	try {
		await deployment.start()
		const broken = await play(deployment)
		for (const line of broken) deployment.note(`BROKEN: ${line}`)
		deployment.note(
			broken.length === 0 ? "the rule held" : "the rule is broken"
		)
		process.stdout.write(`${broken.length} breaks\n`)
		code = broken.length === 0 ? 0 : 1
	} catch (err) {
		deployment.note(`can't run: ${err.stack}`)
		process.stdout.write(`can't run: ${err.message}\n`)
	}
	await deployment.stop()
	process.exit(code)
}
