/**
 * Measures the propagation time of configuration changes: from the end of an
 * apply until the last process was seen with the generation in force. Runs a
 * local deployment: `node dist/bench/spread/main.js [CHANGES]`.
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
const pollIntervalMs = 5
const delayBeforeChangeMs = 1000
const inForceTimeoutMs = 30_000

const changeCount = Number(process.argv[2] ?? defaultChanges)
const spec = deploymentSpecs[DeploymentName.Society]
const deployment = new Deployment({spec})
try {
	await deployment.startStandins()
	const platform = new HttpPlatform({url: deployment.platformUrl})
	const configuration = readConfiguration()
	await applyAndGetGeneration(platform, configuration)
	deployment.startPrograms()
	await deployment.waitReady()
	const durationsMs: number[] = []
	for (let change = 1; change <= changeCount; change += 1) {
		await sleep(delayBeforeChangeMs)
		addAdapter(configuration, change)
		const generation = await applyAndGetGeneration(platform, configuration)
		durationsMs.push(await waitUntilInForce(generation))
	}
	await platform.close()
	printTimes(durationsMs)
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

async function applyAndGetGeneration(
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

/**
 * Polls the metrics of one process after the other until all have the
 * generation, or a later one, in force. Returns the time from the call, too long
 * by up to one round of polls and the interval between rounds.
 */
async function waitUntilInForce(generation: number): Promise<number> {
	const appliedAt = Date.now()
	const waiting = new Set(deployment.programNames)
	while (waiting.size > 0) {
		if (Date.now() > appliedAt + inForceTimeoutMs) {
			throw new Error(
				`generation not in force within the timeout at ${[...waiting].join(", ")}`
			)
		}
		for (const name of waiting) {
			const url = deployment.metricsUrl(name)
			const {counters} = await callJson<Metrics>(url)
			const inForceGeneration = counters["config.generation"] ?? 0
			if (inForceGeneration >= generation) waiting.delete(name)
		}
		await sleep(pollIntervalMs)
	}
	return Date.now() - appliedAt
}

function printTimes(durationsMs: readonly number[]): void {
	const sorted = [...durationsMs].sort((a, b) => a - b)
	const median = sorted[Math.floor(sorted.length / 2)] ?? 0
	const processes = deployment.programNames.length
	console.log(
		`${durationsMs.length} changes, ${processes} processes, 3,000 adapters: ` +
			`in force at the last process after ${median} ms (median), ${sorted.at(-1) ?? 0} ms (longest)`
	)
}
