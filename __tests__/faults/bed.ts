/**
 * A small deployment of separate processes that the fault tests act on: two
 * entries, endpoint processes in four failure domains, and the stand-ins.
 */
import {
	callJson,
	Deployment,
	DeploymentName,
	type DeploymentSpec
} from "../../bench/deployment/index.js"
import {parseConfiguration} from "../../src/contract/config/index.js"
import {HttpPlatform} from "../../src/link/index.js"
import {applyConfiguration, type ApplyResult} from "../../src/operator/apply.js"
import {createLinkOpener} from "../../src/operator/entryLink.js"
import {handOver} from "../../src/operator/handOver.js"
import {sleep} from "../../src/utils/common.js"

const failureDomains = ["north", "south", "east", "west"]
const adapterCount = 24
const pollMs = 25
const linkTimeoutMs = 3000
const waitLimitMs = 20_000

export const enginePool = "writers"
export const servicePool = "desk"

/** Sizes of the test deployment. */
export const bedSpec: DeploymentSpec = {
	name: DeploymentName.Society,
	failureDomains,
	entries: 2,
	engines: {
		name: enginePool,
		workers: 4,
		slots: 3,
		seats: 4,
		msPerToken: 10,
		checksOrders: true
	},
	service: {name: servicePool, workers: 3, callMs: 20},
	weightStore: {loadsPerSecond: 20, inFlight: 8, loadMs: 100},
	adapters: adapterCount
}

/** The configuration files of the test deployment. */
export function bedConfiguration(
	extraAdapters: readonly string[] = [],
	version = "v1"
): {path: string; text: string}[] {
	const names = Array.from({length: adapterCount}, (_, i) => `a-${i}`)
	const adapters = [...names, ...extraAdapters].map(
		name =>
			`  - {base: loom, name: ${name}, versions: [{version: ${version}, source: weights/${name}/${version}}]}`
	)
	const text = `
deployment: bed
failureDomains: [${failureDomains.map(name => `{name: ${name}, region: r1}`).join(", ")}]
baseModels: [loom]
pools:
  - {name: ${enginePool}, type: engines, baseModel: loom, slots: 3, seats: 4, msPerToken: 10, checksOrders: true}
  - {name: ${servicePool}, type: service, seats: 8, callMs: 20}
routes:
  - {name: drafts, pool: ${enginePool}, class: interactive, maxAttempts: 4, maxDeadlineMs: 120000}
  - {name: bookings, pool: ${servicePool}, method: POST, path: /bookings, class: booking, idempotent: false, key: required, maxDeadlineMs: 60000}
  - {name: order-status, pool: ${servicePool}, method: GET, path: "/orders/:id", class: status, idempotent: true, maxAttempts: 3, coalesce: true, maxDeadlineMs: 60000}
serviceLevels:
  - {name: drafts-in-window, routes: [drafts], target: 0.99, windowMs: 30000}
weightStore: {loadsPerSecond: 20, inFlight: 8, loadMs: 100}
objective: {loadStalls: 0.8, batchEfficiency: 0.2}
retryBudget: {ratio: 0.2, minPerSecond: 5}
adapters:
${adapters.join("\n")}
`
	return [{path: "bed.yaml", text}]
}

export class Bed {
	readonly deployment: Deployment
	readonly platform: HttpPlatform

	private accepted: ApplyResult | undefined

	private constructor(deployment: Deployment) {
		this.deployment = deployment
		this.platform = new HttpPlatform({url: deployment.platformUrl})
	}

	/** Starts everything with the configuration in force. */
	static async start(env: Record<string, string> = {}): Promise<Bed> {
		const deployment = new Deployment({spec: bedSpec, env, logLevel: "info"})
		try {
			return await Bed.open(deployment)
		} catch (err) {
			await deployment.stop()
			throw err
		}
	}

	private static async open(deployment: Deployment): Promise<Bed> {
		await deployment.startStandins()
		const bed = new Bed(deployment)
		await bed.apply(bedConfiguration())
		deployment.startPrograms()
		await bed.waitAdmitted()
		return bed
	}

	/** Starts what a test ended, and waits until all are ready. */
	async restore(): Promise<void> {
		for (const name of this.deployment.programNames) {
			const child = this.deployment.child(name)
			child.thaw()
			if (!child.isRunning) child.start()
		}
		await this.waitAdmitted()
	}

	/** Waits until every entry gives work to every endpoint host. */
	private async waitAdmitted(): Promise<void> {
		await this.deployment.waitReady()
		const {entries, endpoints} = this.deployment
		await this.until("all hosts get work from all entries", async () => {
			const counts = await Promise.all(
				entries.map(({id}) => this.counterOf(id, "hosts.admitting"))
			)
			return counts.every(count => count === endpoints.length)
		})
	}

	/** Ends every process. */
	async stop(): Promise<void> {
		await this.platform.close()
		await this.deployment.stop()
	}

	/** Applies configuration files; returns the generation accepted. */
	async apply(files: {path: string; text: string}[]): Promise<number> {
		const report = await applyConfiguration({
			platform: this.platform,
			configuration: parseConfiguration(files),
			operator: "tests",
			applyId: `apply-${Date.now()}-${Math.random()}`,
			now: () => Date.now()
		})
		this.accepted = report
		return report.generation
	}

	/** Hands the last apply to the entries, as the operator command does. */
	async handOver(): Promise<void> {
		const {root, newParts} = this.accepted ?? {}
		if (root === undefined || newParts === undefined) return
		const {entries, operatorToken} = this.deployment
		const open = createLinkOpener(undefined, linkTimeoutMs)
		const links = entries.map(({link}) => open(link))
		await handOver(links, root, newParts, operatorToken)
		for (const link of links) link.close()
	}

	async fault(url: string, faults: object): Promise<void> {
		await callJson(`${url}/control/faults`, {method: "POST", body: faults})
	}

	platformFault(faults: object): Promise<void> {
		return this.fault(this.deployment.platformUrl, faults)
	}

	async serviceFaults(faults: object): Promise<void> {
		const urls = this.deployment.serviceUrls
		await Promise.all(urls.map(url => this.fault(url, faults)))
	}

	async engineFaults(faults: object): Promise<void> {
		const urls = this.deployment.engineUrls
		await Promise.all(urls.map(url => this.fault(url, faults)))
	}

	/** How often an order was booked, over all services. */
	async countBookings(order: string): Promise<number> {
		const truths = await this.serviceTruths()
		return sum(truths.map(truth => truth.runsByBody[order] ?? 0))
	}

	async serviceTruths(): Promise<ServiceTruth[]> {
		const urls = this.deployment.serviceUrls
		return Promise.all(
			urls.map(url => callJson<ServiceTruth>(`${url}/control/truth`))
		)
	}

	async engineTruths(): Promise<EngineTruth[]> {
		const urls = this.deployment.engineUrls
		return Promise.all(
			urls.map(url => callJson<EngineTruth>(`${url}/control/truth`))
		)
	}

	/** Evictions of adapters in use, over all engines; always 0. */
	async countEvictedInUse(): Promise<number> {
		const truths = await this.engineTruths()
		return sum(truths.map(truth => truth.evictedInUse))
	}

	/** Id of the endpoint host whose service or engine has this URL. */
	hostOfWorker(url: string): string {
		const host = this.deployment.endpoints.find(endpoint =>
			endpoint.workerUrls.includes(url)
		)
		if (host === undefined) throw new Error(`no host has worker ${url}`)
		return host.id
	}

	/** The service host that is running a call, once one is. */
	async findBusyService(): Promise<string> {
		const urls = this.deployment.serviceUrls
		let busy = ""
		await this.until("a service runs a call", async () => {
			const truths = await this.serviceTruths()
			const index = truths.findIndex(truth => truth.running > 0)
			busy = urls[index] ?? ""
			return index >= 0
		})
		return this.hostOfWorker(busy)
	}

	/** Generation in force at a program, as its counters tell. */
	generationOf(name: string): Promise<number> {
		return this.counterOf(name, "config.generation")
	}

	/** One counter of a program, 0 when it has none of that name. */
	async counterOf(name: string, counter: string): Promise<number> {
		const url = this.deployment.metricsUrl(name)
		const {counters} = await callJson<Metrics>(url)
		return counters[counter] ?? 0
	}

	/** Waits until a condition holds; the limit is for a hung test only. */
	async until(
		what: string,
		isTrue: () => Promise<boolean> | boolean
	): Promise<void> {
		const limit = Date.now() + waitLimitMs
		while (!(await isTrue())) {
			if (Date.now() > limit) throw new Error(`waited in vain until ${what}`)
			await sleep(pollMs)
		}
	}
}

/** Counters of a program, by name. */
export interface Metrics {
	counters: Record<string, number>
}

export interface ServiceTruth {
	runs: number
	running: number
	runsByKey: Record<string, number>
	runsByBody: Record<string, number>
}

export interface EngineTruth {
	answers: {requestId: string; model: string; tokens: number}[]
	runsById: Record<string, number>
	evictedInUse: number
	coldRestarts: number
	staleOrdersAccepted: number
	staleOrdersRefused: number
	loads: number
}

function sum(numbers: readonly number[]): number {
	return numbers.reduce((total, number) => total + number, 0)
}
