/**
 * A whole deployment on the loopback interface: stand-ins, entries and
 * endpoint processes as child processes, each of which can be killed, frozen
 * or restarted by its name.
 */
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import {HostRole, HostState} from "../../src/host/host.js"
import type {HostRecord} from "../../src/link/platform.js"
import {sleep} from "../../src/utils/common.js"
import {
	chooseAddresses,
	type DeploymentAddresses,
	type EndpointAddresses,
	type EntryAddresses
} from "./addresses.js"
import {ChildProcess} from "./childProcess.js"
import {
	type Command,
	endpointCommand,
	entryCommand,
	platformCommand,
	type ProgramOptions,
	weightStoreCommand,
	workersCommand
} from "./commands.js"
import {callJson, isOk} from "./control.js"
import type {DeploymentSpec} from "./topology.js"

export interface DeploymentOptions {
	spec: DeploymentSpec
	/** Folder of the compiled programs. */
	distDir?: string
	/** Environment of entries and endpoint processes. */
	env?: Record<string, string>
	/** Finds the address that others reach an endpoint host's link at. */
	advertise?: (endpoint: EndpointAddresses) => Promise<string>
	operatorToken?: string
	logLevel?: string
	drainMs?: number
}

const pollMs = 50
const readyTimeoutMs = 30_000
const advertiseVariable = "GOLDCRESTLOOM_ADVERTISE"

/** Where `npm run build` puts the programs. */
export function defaultDistDir(): string {
	const here = fileURLToPath(import.meta.url)
	const root = here.slice(0, here.lastIndexOf("/bench/deployment/"))
	return root.endsWith("/dist") ? root : join(root, "dist")
}

export class Deployment {
	readonly spec: DeploymentSpec
	readonly distDir: string
	readonly operatorToken: string
	private readonly programs: Omit<ProgramOptions, "addresses">
	private readonly children = new Map<string, ChildProcess>()
	private readonly readyUrls = new Map<string, string>()
	private readonly hostStates = new Map<string, HostState>()
	private readonly advertise: DeploymentOptions["advertise"]
	/** Advertised link addresses by host id. */
	private readonly advertised = new Map<string, string>()
	private addresses: DeploymentAddresses = {
		platformUrl: "",
		weightStoreUrl: "",
		entries: [],
		endpoints: []
	}

	constructor({
		spec,
		distDir = defaultDistDir(),
		env = {},
		advertise,
		operatorToken = "bench-token",
		logLevel = "warn",
		drainMs = 60_000
	}: DeploymentOptions) {
		this.spec = spec
		this.distDir = distDir
		this.operatorToken = operatorToken
		this.advertise = advertise
		this.programs = {env, operatorToken, logLevel, drainMs}
	}

	/** Starts the stand-ins and registers the hosts to come. */
	async startStandins(): Promise<void> {
		this.addresses = await chooseAddresses(this.spec)
		await this.findAdvertised()
		const {addresses, spec} = this
		this.startChild(platformCommand(addresses))
		this.startChild(weightStoreCommand(addresses, spec))
		for (const endpoint of addresses.endpoints) {
			this.startChild(workersCommand(endpoint, addresses, spec))
		}
		await this.waitReady()
		await this.registerHosts()
	}

	/**
	 * Starts entries and endpoint processes. They become ready once a
	 * configuration is in force.
	 */
	startPrograms(): void {
		const options = {...this.programs, addresses: this.addresses}
		for (const entry of this.entries) {
			this.startChild(entryCommand(entry, options))
		}
		for (const endpoint of this.endpoints) {
			const env = {...options.env, ...this.advertiseEnv(endpoint.id)}
			this.startChild(endpointCommand(endpoint, {...options, env}))
		}
	}

	/** Waits until every process answers, ready or not. */
	async waitHealthy(): Promise<void> {
		const deadline = Date.now() + readyTimeoutMs
		for (const [name, url] of this.readyUrls) {
			const healthUrl = url.replace(/\/readyz$/, "/healthz")
			await this.waitForOk(name, healthUrl, deadline)
		}
	}

	/** Waits until the named processes, all by default, report ready. */
	async waitReady(
		names: Iterable<string> = this.children.keys()
	): Promise<void> {
		const deadline = Date.now() + readyTimeoutMs
		for (const name of names) {
			await this.waitForOk(name, this.readyUrls.get(name) ?? "", deadline)
		}
	}

	/** The process of that name: an entry, an endpoint or a stand-in. */
	child(name: string): ChildProcess {
		const child = this.children.get(name)
		if (child !== undefined) return child
		const known = [...this.children.keys()].join(", ")
		throw new Error(`process ${name} does not exist (there are: ${known})`)
	}

	get platformUrl(): string {
		return this.addresses.platformUrl
	}

	get weightStoreUrl(): string {
		return this.addresses.weightStoreUrl
	}

	get entries(): readonly EntryAddresses[] {
		return this.addresses.entries
	}

	get endpoints(): readonly EndpointAddresses[] {
		return this.addresses.endpoints
	}

	/** Base URLs for callers. */
	get entryUrls(): string[] {
		return this.entries.map(entry => `http://${entry.listen}`)
	}

	/** Link addresses of all entries, as the programs take them. */
	get entryLinks(): string {
		return this.entries.map(entry => entry.link).join(",")
	}

	get engineUrls(): string[] {
		return this.workerUrlsOf(this.spec.engines.name)
	}

	get serviceUrls(): string[] {
		return this.workerUrlsOf(this.spec.service.name)
	}

	/** Entries and endpoint processes, not the stand-ins. */
	get programNames(): string[] {
		return [...this.entries, ...this.endpoints].map(host => host.id)
	}

	/** URL of the counters of an entry or endpoint process. */
	metricsUrl(id: string): string {
		const entry = this.entries.find(one => one.id === id)
		const endpoint = this.endpoints.find(one => one.id === id)
		return `http://${entry?.listen ?? endpoint?.health ?? ""}/metrics.json`
	}

	/** Changes a host's state in the platform's list. */
	async setHostState(id: string, state: HostState): Promise<void> {
		this.hostStates.set(id, state)
		await this.registerHosts()
	}

	/** Stderr of every process that wrote any, for a failed run. */
	describeStderr(): string {
		const parts: string[] = []
		for (const child of this.children.values()) {
			if (child.stderr !== "") parts.push(`--- ${child.name}\n${child.stderr}`)
		}
		return parts.join("\n")
	}

	/** Ends every process that this deployment started. */
	async stop(): Promise<void> {
		const children = [...this.children.values()]
		await Promise.all(children.map(child => child.kill()))
	}

	private startChild(command: Command): void {
		const program = join(this.distDir, command.program)
		const child = new ChildProcess({...command, program})
		this.children.set(child.name, child)
		this.readyUrls.set(child.name, command.readyUrl)
		child.start()
	}

	private async findAdvertised(): Promise<void> {
		if (this.advertise === undefined) return
		for (const endpoint of this.endpoints) {
			this.advertised.set(endpoint.id, await this.advertise(endpoint))
		}
	}

	private advertiseEnv(id: string): Record<string, string> {
		const address = this.advertised.get(id)
		return address === undefined ? {} : {[advertiseVariable]: address}
	}

	private workerUrlsOf(pool: string): string[] {
		const endpoints = this.endpoints.filter(one => one.pool === pool)
		return endpoints.flatMap(one => one.workerUrls)
	}

	private async registerHosts(): Promise<void> {
		const entries = this.entries.map(entry =>
			this.toRecord(HostRole.Entry, {...entry, pool: ""})
		)
		const endpoints = this.endpoints.map(endpoint =>
			this.toRecord(HostRole.Endpoint, endpoint)
		)
		const body = {hosts: [...entries, ...endpoints]}
		const url = `${this.platformUrl}/control/hosts`
		await callJson(url, {method: "PUT", body})
	}

	private toRecord(
		role: HostRole,
		host: Pick<EndpointAddresses, "id" | "link" | "failureDomain" | "pool">
	): HostRecord {
		const {id, link, failureDomain, pool} = host
		const address = this.advertised.get(id) ?? link
		const state = this.hostStates.get(id) ?? HostState.Live
		return {id, role, address, failureDomain, pool, state}
	}

	private async waitForOk(
		name: string,
		url: string,
		deadline: number
	): Promise<void> {
		while (!(await isOk(url))) {
			const child = this.child(name)
			if (!child.isRunning) {
				throw new Error(`${name} ended before it was ready:\n${child.stderr}`)
			}
			if (Date.now() > deadline) {
				throw new Error(`${name} does not answer ${url}:\n${child.stderr}`)
			}
			await sleep(pollMs)
		}
	}
}
