/**
 * Test bed of the fault tests: a small deployment of separate processes with
 * two entries, endpoint processes in four failure domains, and the stand-ins.
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
import {createLinkOpener} from "../../src/operator/processLink.js"
import {offerConfiguration} from "../../src/operator/offerConfiguration.js"
import {sleep} from "../../src/utils/common.js"

const failureDomains = ["north", "south", "east", "west"]
const adapterCount = 24
const pollMs = 25
const linkTimeoutMs = 3000
const waitLimitMs = 20_000

export const enginePoolName = "writers"
export const servicePoolName = "desk"

export const testBedSpec: DeploymentSpec = {
	name: DeploymentName.Society,
	failureDomains,
	entries: 2,
	engines: {
		name: enginePoolName,
		workers: 4,
		slots: 3,
		seats: 4,
		msPerToken: 10,
		checksOrders: true
	},
	service: {name: servicePoolName, workers: 3, callMs: 20},
	weightStore: {loadsPerSecond: 20, inFlight: 8, loadMs: 100},
	adapters: adapterCount
}

/** Creates the configuration files of the test bed. */
export function createTestBedFiles(
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
  - {name: ${enginePoolName}, type: engines, baseModel: loom, slots: 3, seats: 4, msPerToken: 10, checksOrders: true}
  - {name: ${servicePoolName}, type: service, seats: 8, callMs: 20}
routes:
  - {name: drafts, pool: ${enginePoolName}, class: interactive, maxAttempts: 4, maxDeadlineMs: 120000}
  - {name: bookings, pool: ${servicePoolName}, method: POST, path: /bookings, class: booking, idempotent: false, key: required, maxDeadlineMs: 60000}
  - {name: order-status, pool: ${servicePoolName}, method: GET, path: "/orders/:id", class: status, idempotent: true, maxAttempts: 3, coalesce: true, maxDeadlineMs: 60000}
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

export class TestBed {
	readonly deployment: Deployment
	readonly platform: HttpPlatform

	private lastApply: ApplyResult | undefined

	private constructor(deployment: Deployment) {
		this.deployment = deployment
		this.platform = new HttpPlatform({url: deployment.platformUrl})
	}

	/** Starts all processes; waits until every entry admits all endpoint hosts. */
	static async start(env: Record<string, string> = {}): Promise<TestBed> {
		const deployment = new Deployment({
			spec: testBedSpec,
			env,
			logLevel: "info"
		})
		try {
			return await TestBed.startDeployment(deployment)
		} catch (err) {
			await deployment.stop()
			throw err
		}
	}

	private static async startDeployment(
		deployment: Deployment
	): Promise<TestBed> {
		await deployment.startStandins()
		const bed = new TestBed(deployment)
		await bed.apply(createTestBedFiles())
		deployment.startPrograms()
		await bed.waitUntilHostsAdmitted()
		return bed
	}

	/** Restarts stopped processes, resumes frozen ones, waits for readiness. */
	async restoreProcesses(): Promise<void> {
		for (const name of this.deployment.programNames) {
			const child = this.deployment.child(name)
			child.thaw()
			if (!child.isRunning) child.start()
		}
		await this.waitUntilHostsAdmitted()
	}

	/** Waits until every entry admits (may send requests to) all endpoint hosts. */
	private async waitUntilHostsAdmitted(): Promise<void> {
		await this.deployment.waitReady()
		const {entries, endpoints} = this.deployment
		await this.waitUntil("all entries admit all hosts", async () => {
			const counts = await Promise.all(
				entries.map(({id}) => this.readCounter(id, "hosts.admitting"))
			)
			return counts.every(count => count === endpoints.length)
		})
	}

	/** Stops every process. */
	async stop(): Promise<void> {
		await this.platform.close()
		await this.deployment.stop()
	}

	/** Applies configuration files and returns the accepted generation. */
	async apply(files: {path: string; text: string}[]): Promise<number> {
		const report = await applyConfiguration({
			platform: this.platform,
			configuration: parseConfiguration(files),
			operator: "tests",
			applyId: `apply-${Date.now()}-${Math.random()}`,
			now: () => Date.now()
		})
		this.lastApply = report
		return report.generation
	}

	/** Sends the last applied configuration to the entries over their links. */
	async offerConfiguration(): Promise<void> {
		const {root, newParts} = this.lastApply ?? {}
		if (root === undefined || newParts === undefined) return
		const {entries, operatorToken} = this.deployment
		const open = createLinkOpener(undefined, linkTimeoutMs)
		const links = entries.map(({link}) => open(link))
		await offerConfiguration(links, root, newParts, operatorToken)
		for (const link of links) link.close()
	}

	async setFaults(url: string, faults: object): Promise<void> {
		await callJson(`${url}/control/faults`, {method: "POST", body: faults})
	}

	setPlatformFaults(faults: object): Promise<void> {
		return this.setFaults(this.deployment.platformUrl, faults)
	}

	async setServiceFaults(faults: object): Promise<void> {
		const urls = this.deployment.serviceUrls
		await Promise.all(urls.map(url => this.setFaults(url, faults)))
	}

	async setEngineFaults(faults: object): Promise<void> {
		const urls = this.deployment.engineUrls
		await Promise.all(urls.map(url => this.setFaults(url, faults)))
	}

	/** Returns how often an order was booked, summed over all services. */
	async countBookings(order: string): Promise<number> {
		const truths = await this.readServiceTruths()
		return sum(truths.map(truth => truth.runsByBody[order] ?? 0))
	}

	async readServiceTruths(): Promise<ServiceTruth[]> {
		const urls = this.deployment.serviceUrls
		return Promise.all(
			urls.map(url => callJson<ServiceTruth>(`${url}/control/truth`))
		)
	}

	async readEngineTruths(): Promise<EngineTruth[]> {
		const urls = this.deployment.engineUrls
		return Promise.all(
			urls.map(url => callJson<EngineTruth>(`${url}/control/truth`))
		)
	}

	/** Returns the evictions of adapters in use on all engines; must be 0. */
	async countEvictedInUse(): Promise<number> {
		const truths = await this.readEngineTruths()
		return sum(truths.map(truth => truth.evictedInUse))
	}

	/** Returns the id of the endpoint host whose service or engine this is. */
	findHostIdOfWorker(url: string): string {
		const host = this.deployment.endpoints.find(endpoint =>
			endpoint.workerUrls.includes(url)
		)
		if (host === undefined) throw new Error(`no host has worker ${url}`)
		return host.id
	}

	/** Waits for a service to execute a call, and returns its host's id. */
	async waitForBusyServiceHost(): Promise<string> {
		const urls = this.deployment.serviceUrls
		let busy = ""
		await this.waitUntil("a service executes a call", async () => {
			const truths = await this.readServiceTruths()
			const index = truths.findIndex(truth => truth.running > 0)
			busy = urls[index] ?? ""
			return index >= 0
		})
		return this.findHostIdOfWorker(busy)
	}

	/** Returns the configuration generation that a program reports. */
	readGeneration(name: string): Promise<number> {
		return this.readCounter(name, "config.generation")
	}

	/** Returns a counter of a program, or 0 when it does not report it. */
	async readCounter(name: string, counter: string): Promise<number> {
		const url = this.deployment.metricsUrl(name)
		const {counters} = await callJson<Metrics>(url)
		return counters[counter] ?? 0
	}

	/** Polls a condition. The time limit only ends a test that hangs. */
	async waitUntil(
		condition: string,
		isMet: () => Promise<boolean> | boolean
	): Promise<void> {
		const limit = Date.now() + waitLimitMs
		while (!(await isMet())) {
			if (Date.now() > limit)
				throw new Error(`timed out waiting until ${condition}`)
			await sleep(pollMs)
		}
	}
}

/** Body of a program's `/metrics.json`. */
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
