/** The real programs as separate processes, before stand-ins, on loopback. */
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {FleetStore, FleetWorker} from "../../standins/fleet/index.js"
import {type Relay, startRelay} from "../../standins/relay.js"
import {sleep} from "../../src/utils/common.js"
import {ChildProcess} from "../deployment/childProcess.js"
import type {ConfigRecord} from "./identities.js"
import {memberBounds, type SoakMembers} from "./members.js"
import type {Disturbance} from "./statements.js"

export interface SoakSizes {
	gateways: number
	engines: number
	desks: number
}

export const routeHost = "soak.example"
export const adapterSlots = 3
const zones = ["a", "b"]
const heartbeatMs = 500
const graceMs = 4000
/** Time after which an engine that crashed for a prompt is back. */
const restartMs = 1500

/** A worker with the relays that stand for its links. */
export interface WorkerSite {
	worker: FleetWorker
	service: string
	zone: string
	state: string
	/** Between gateways and the worker. */
	link: Relay
	/** Between gateways and the agent; absent for a plain service. */
	agentLink: Relay | undefined
	agent: ChildProcess | undefined
	/** Between the agent and the store; absent without Members. */
	storeLink: Relay | undefined
}

export interface GatewaySite {
	process: ChildProcess
	callers: string
	ready: string
	storeLink: Relay
}

export class SoakDeployment {
	readonly gateways: GatewaySite[] = []
	readonly sites: WorkerSite[] = []
	/** Kills, stops, freezes and starts of gateways. */
	readonly disturbances: Disturbance[] = []
	/** Parts of prompts that crash engines. */
	readonly deadlyParts = new Set<string>()
	/** Times at which engines crashed for such a part. */
	readonly deadlyCrashes: number[] = []
	/** The Members of each configuration that was written, if there are any. */
	readonly configs: ConfigRecord[] = []
	configVersion = 0
	private readonly dir = mkdtempSync(join(tmpdir(), "goldcrestloom-soak-"))
	private readonly timers: NodeJS.Timeout[] = []
	private isStopped = false

	private constructor(
		readonly store: FleetStore,
		private readonly block: number,
		private readonly random: () => number,
		/** Undefined if the configuration has no Members. */
		readonly members: SoakMembers | undefined,
		/** Folder for the logs of the processes; they are dropped without it. */
		private readonly logDir: string | undefined
	) {}

	static async start(
		sizes: SoakSizes,
		block: number,
		random: () => number,
		members?: SoakMembers,
		logDir?: string
	): Promise<SoakDeployment> {
		const store = await FleetStore.start(`127.${block}.9.1`)
		const deployment = new SoakDeployment(store, block, random, members, logDir)
		deployment.applyConfig()
		for (let n = 1; n <= sizes.engines; n++) {
			await deployment.addSite(`engine${n}`, "writers", n)
		}
		for (let n = 1; n <= sizes.desks; n++) {
			await deployment.addSite(`desk${n}`, "desk", sizes.engines + n)
		}
		for (let n = 1; n <= sizes.gateways; n++) await deployment.addGateway(n)
		const heartbeat = setInterval(() => {
			deployment.writeEntries()
		}, heartbeatMs)
		deployment.timers.push(heartbeat)
		return deployment
	}

	/** Writes the next configuration. */
	applyConfig(): number {
		this.configVersion += 1 + Math.floor(this.random() * 3)
		const route = {host: routeHost, priority: 1, max_attempts: 2}
		this.store.put("config", "main", {
			version: this.configVersion,
			routes: [
				{
					...route,
					name: "draft",
					path_prefix: "/draft/",
					kind: "streaming",
					service: "writers",
					timeout_ms: 4000,
					target_latency_ms: 800,
					target_gap_ms: 300,
					resumable: true
				},
				{
					...route,
					name: "book",
					path_prefix: "/book/",
					kind: "unsafe",
					service: "desk",
					timeout_ms: 1500,
					target_latency_ms: 150
				},
				{
					...route,
					name: "status",
					path_prefix: "/status/",
					kind: "safe",
					service: "desk",
					timeout_ms: 1500,
					target_latency_ms: 150
				}
			],
			services: [
				{
					name: "writers",
					engine: {
						slots: 16,
						kv_capacity: 100_000,
						adapter_slots: adapterSlots,
						weights_mb: 66_000,
						models: [{name: "base", weights_mb: 65_000, adapter_mb: 12}]
					}
				},
				{name: "desk"}
			],
			limits: {idle_timeout_ms: 5000},
			...(this.members === undefined ? {} : {tenants: this.members.encode()})
		})
		if (this.members !== undefined) {
			const at = performance.now()
			this.configs.push({at, members: this.members.list()})
		}
		return this.configVersion
	}

	announce(adapter: string, version: number): void {
		for (const {worker} of this.sites)
			worker.newestVersions.set(adapter, version)
		const value = {model: "base", adapter, version}
		this.store.put("versions", `base.${adapter}`, value)
	}

	writeEntry(site: WorkerSite): void {
		const {worker, service, zone, state, link} = site
		const value = worker.createServerObject(service, zone, state) as object
		const entry = {...value, address: link.address}
		this.store.put("servers", worker.id, entry)
	}

	/** Writes again what operator and workers wrote, as after a loss of the store. */
	writeAgain(): void {
		this.applyConfig()
		this.writeEntries()
	}

	/** Records a fault of a gateway, which excuses it from what it heard before. */
	noteDisturbance(gateway: string): void {
		this.disturbances.push({gateway, at: performance.now()})
	}

	async stop(): Promise<void> {
		this.isStopped = true
		for (const timer of this.timers) clearInterval(timer)
		const children = [
			...this.gateways.map(({process}) => process),
			...this.sites.flatMap(({agent}) => agent ?? [])
		]
		for (const child of children) child.thaw()
		await Promise.all(children.map(child => child.kill()))
		for (const {worker, link, agentLink, storeLink} of this.sites) {
			await storeLink?.close()
			await worker.crash(true)
			await link.close()
			await agentLink?.close()
		}
		for (const {storeLink} of this.gateways) await storeLink.close()
		this.store.stop()
		rmSync(this.dir, {recursive: true})
	}

	private writeEntries(): void {
		if (this.store.failureStatus > 0) return
		for (const site of this.sites) {
			if (site.worker.isUp && site.state !== "gone") this.writeEntry(site)
		}
	}

	private async addSite(
		name: string,
		service: string,
		index: number
	): Promise<void> {
		const {block} = this
		const isEngine = service === "writers"
		const worker = new FleetWorker(name, {
			ip: `127.${block}.1.${index}`,
			port: 9001,
			adapterSlots: isEngine ? adapterSlots : 0,
			stepMs: 30,
			random: this.random,
			builds: index % 2 === 0 ? ["v1", "v2"] : ["v2", "v1"]
		})
		await worker.start()
		const ip = `127.${block}.2.${index}`
		const link = await startRelay({target: worker.address, ip, port: 9000})
		const zone = zones[index % zones.length] ?? "a"
		const site: WorkerSite = {
			worker,
			service,
			zone,
			state: "ready",
			link,
			agentLink: undefined,
			agent: undefined,
			storeLink: undefined
		}
		this.sites.push(site)
		worker.deadlyParts = this.deadlyParts
		worker.onDeadly = () => void this.crashForPrompt(site)
		if (isEngine) {
			const agentIp = `127.${block}.3.${index}`
			const target = `${agentIp}:9100`
			site.agentLink = await startRelay({target, ip, port: 9100})
			if (this.members !== undefined) {
				site.storeLink = await startRelay({
					target: this.store.address,
					ip: `127.${block}.6.${index}`
				})
			}
			const lines = [`app = "${worker.address}"`, `service = "${service}"`]
			site.agent = this.createProcess(`agent-${name}`, "agent", {
				ip: agentIp,
				zone,
				storeAddress: site.storeLink?.address ?? this.store.address,
				lines
			})
			site.agent.start()
		}
		this.writeEntry(site)
	}

	private isUp(worker: FleetWorker): boolean {
		return worker.isUp
	}

	private async crashForPrompt(site: WorkerSite): Promise<void> {
		const {worker} = site
		if (!worker.isUp) return
		const oldId = worker.id
		this.deadlyCrashes.push(performance.now())
		await worker.crash(false)
		this.store.remove("servers", oldId)
		await sleep(restartMs)
		if (this.isStopped) return
		// Another fault may have started it meanwhile.
		if (!this.isUp(worker)) await worker.start()
		this.writeEntry(site)
	}

	private async addGateway(index: number): Promise<void> {
		const ip = `127.${this.block}.4.${index}`
		const storeLink = await startRelay({
			target: this.store.address,
			ip: `127.${this.block}.5.${index}`
		})
		const seeds = [1, 2, 3].map(n => `"127.${this.block}.4.${n}:9202"`)
		const process = this.createProcess(`gateway-${index}`, "gateway", {
			ip,
			zone: zones[index % zones.length] ?? "a",
			storeAddress: storeLink.address,
			lines: [
				`seeds = [${seeds.join(", ")}]`,
				"[listen]",
				`front = "${ip}:9200"`,
				`ready = "${ip}:9201"`,
				`control = "${ip}:9202"`
			]
		})
		process.start()
		const [callers, ready] = [`${ip}:9200`, `${ip}:9201`]
		this.gateways.push({process, callers, ready, storeLink})
	}

	private createProcess(
		name: string,
		program: string,
		settings: {ip: string; zone: string; storeAddress: string; lines: string[]}
	): ChildProcess {
		const path = join(this.dir, `${name}.toml`)
		const text = [
			`node_name = "${name}"`,
			`ip = "${settings.ip}"`,
			`zone = "${settings.zone}"`,
			"internal_ports = [9100, 9110]",
			...settings.lines,
			"[bounds]",
			`grace_s = ${graceMs / 1000}`,
			"budget_extra = 200",
			...(this.members === undefined ? [] : formatMemberBounds()),
			"[platform]",
			`address = "${settings.storeAddress}"`
		]
		writeFileSync(path, text.join("\n"))
		return new ChildProcess({
			name,
			program: `dist/platform/bin/${program}.js`,
			env: {GOLDCRESTLOOM_CONFIG: path},
			logPath:
				this.logDir === undefined ? undefined : join(this.logDir, `${name}.log`)
		})
	}
}

/** Lines of the settings' `bounds`. */
function formatMemberBounds(): string[] {
	const {revokeMs, quotaWindowMs, quotaOverage, quotaSlack} = memberBounds
	return [
		"strict_revoke = true",
		`revoke_ms = ${revokeMs}`,
		`quota_window_s = ${quotaWindowMs / 1000}`,
		`quota_overage = ${quotaOverage}`,
		`quota_slack = ${quotaSlack}`
	]
}
