/**
 * Time from the acceptance of a configuration until the last process has it in
 * force: `node dist/bench/spread/main.js [CHANGES]`.
 */
import {readFileSync} from "node:fs"
import {
	parseConfiguration,
	type Configuration
} from "../../src/contract/config/index.js"
import {HttpPlatform} from "../../src/link/index.js"
import {applyConfiguration} from "../../src/operator/apply.js"
import {sleep} from "../../src/utils/common.js"
import {
	callJson,
	Deployment,
	DeploymentName,
	deploymentSpecs,
	listConfigFiles
} from "../deployment/index.js"

interface Metrics {
	counters: Record<string, number>
}

const defaultChanges = 10
const pollMs = 5
const settleMs = 1000
const giveUpMs = 30_000

const changes = Number(process.argv[2] ?? defaultChanges)
const spec = deploymentSpecs[DeploymentName.Society]
const deployment = new Deployment({spec})
try {
	await deployment.startStandins()
	const platform = new HttpPlatform({url: deployment.platformUrl})
	const configuration = readConfiguration()
	await apply(platform, configuration)
	deployment.startPrograms()
	await deployment.waitReady()
	const times: number[] = []
	for (let change = 1; change <= changes; change += 1) {
		await sleep(settleMs)
		addAdapter(configuration, change)
		const generation = await apply(platform, configuration)
		times.push(await waitInForce(generation))
	}
	await platform.close()
	printTimes(times)
} finally {
	await deployment.stop()
}

function readConfiguration(): Configuration {
	const paths = listConfigFiles(deployment.distDir, spec.name)
	return parseConfiguration(
		paths.map(path => ({path, text: readFileSync(path, "utf8")}))
	)
}

function addAdapter(configuration: Configuration, change: number): void {
	const name = `added-${change}`
	const source = `weights/${name}/v1`
	const base = configuration.settings.baseModels[0]?.name ?? ""
	const versions = [{version: "v1", source}]
	configuration.adapters.push({base, name, versions})
}

async function apply(
	platform: HttpPlatform,
	configuration: Configuration
): Promise<number> {
	const {generation} = await applyConfiguration({
		platform,
		configuration,
		operator: "bench",
		applyId: `change-${Date.now()}`
	})
	return generation
}

/** Waits until every process reports the generation; returns the time taken. */
async function waitInForce(generation: number): Promise<number> {
	const acceptedAt = Date.now()
	const waiting = new Set(deployment.programNames)
	while (waiting.size > 0) {
		if (Date.now() > acceptedAt + giveUpMs) {
			throw new Error(`not in force at ${[...waiting].join(", ")}`)
		}
		for (const name of waiting) {
			const url = deployment.metricsUrl(name)
			const {counters} = await callJson<Metrics>(url)
			const seen = counters["config.generation"] ?? 0
			if (seen >= generation) waiting.delete(name)
		}
		await sleep(pollMs)
	}
	return Date.now() - acceptedAt
}

function printTimes(times: readonly number[]): void {
	const sorted = [...times].sort((a, b) => a - b)
	const median = sorted[Math.floor(sorted.length / 2)] ?? 0
	const processes = deployment.programNames.length
	console.log(
		`${times.length} changes, ${processes} processes, 3,000 adapters: ` +
			`last process after ${median} ms (median), ${sorted.at(-1) ?? 0} ms (longest)`
	)
}
