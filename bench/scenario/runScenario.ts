/** Runs one scenario on real processes and gathers its figures. */
import {sleep} from "../../src/utils/common.js"
import {
	applyConfiguration,
	Deployment,
	type DeploymentName,
	deploymentSpecs,
	listConfigFiles,
	readModels
} from "../deployment/index.js"
import {
	type CapacityBound,
	computeBound,
	type LoadSummary,
	planCalls,
	type PlannedCall,
	runLoad,
	type SecondCounts
} from "../load/index.js"
import {runFaults} from "./faults.js"
import {
	listCallKinds,
	type Scenario,
	shareOfDrafts,
	windowsMs
} from "./scenarios.js"
import {
	EndRecord,
	readTruth,
	sum,
	type Truth,
	type Violations
} from "./truth.js"
import {type ProcessUsage, readUsage} from "./usage.js"

export interface ScenarioOptions {
	deploymentName: DeploymentName
	scenario: Scenario
	/** Set of decisions, as GOLDCRESTLOOM_POLICY names it. */
	policy: string
	seed: number
	seconds: number
	warmupSeconds: number
	onProgress?: (text: string) => void
}

export interface ProcessFigures {
	id: string
	/** Share of one core. */
	cpuShare: number
	bytesPerSecond: number
	/** Before any request was sent. */
	idleBytesPerSecond: number
	idleCpuShare: number
	rssBytes: number
}

export interface ScenarioResult {
	deployment: DeploymentName
	scenario: string
	policy: string
	seed: number
	seconds: number
	warmupSeconds: number
	/** Drafts that arrived a second, and answered whole in their window. */
	draftsPerSecond: number
	answeredDraftsPerSecond: number
	bound: CapacityBound
	summary: LoadSummary
	perSecond: SecondCounts[]
	faults: {atSecond: number; text: string}[]
	loads: number
	failedLoads: number
	loadsPerThousandDrafts: number
	batchEfficiency: number
	retriesPerRequest: number
	platformReadsPerSecond: number
	platformWritesPerSecond: number
	platformRefused: number
	processes: ProcessFigures[]
	violations: Violations
}

const membersPerDeployment = 60
const idleMs = 6000
const msPerSecond = 1000
const minTokens = 24
const maxTokens = 96

/** Counts of the processes and stand-ins at one moment. */
interface Snapshot {
	truth: Truth
	usage: ProcessUsage[]
}

export async function runScenario(
	options: ScenarioOptions
): Promise<ScenarioResult> {
	const {deploymentName, policy, onProgress} = options
	const deployment = new Deployment({
		spec: deploymentSpecs[deploymentName],
		env: {GOLDCRESTLOOM_POLICY: policy}
	})
	try {
		onProgress?.("starting")
		await startConfigured(deployment)
		return await measure(deployment, options)
	} catch (err) {
		process.stderr.write(`${deployment.describeStderr()}\n`)
		throw err
	} finally {
		await deployment.stop()
	}
}

/** Starts all processes, applies the example configuration, waits. */
export async function startConfigured(deployment: Deployment): Promise<string> {
	await deployment.startStandins()
	deployment.startPrograms()
	await deployment.waitHealthy()
	const {distDir, spec} = deployment
	const printed = await applyConfiguration(
		deployment,
		listConfigFiles(distDir, spec.name)
	)
	await deployment.waitReady()
	return printed
}

async function measure(
	deployment: Deployment,
	options: ScenarioOptions
): Promise<ScenarioResult> {
	const {seconds, warmupSeconds, scenario, onProgress} = options
	const idle = await measureIdle(deployment)
	const bound = boundOf(deployment, scenario)
	const calls = planLoad(deployment, options, bound)
	const ends = new EndRecord()
	const startAt = Date.now()
	const measureAt = startAt + warmupSeconds * msPerSecond
	const faults: ScenarioResult["faults"] = []
	const faultsDone = runFaults(
		deployment,
		scenario.faults,
		measureAt,
		seconds * msPerSecond,
		text => {
			const atSecond = (Date.now() - startAt) / msPerSecond
			faults.push({atSecond, text})
			onProgress?.(`${atSecond.toFixed(0)} s: ${text}`)
		}
	)
	const snapshot = sleep(measureAt - startAt).then(() =>
		takeSnapshot(deployment)
	)
	onProgress?.(`sending ${calls.length} calls`)
	const load = await runLoad({
		entryUrls: deployment.entryUrls,
		calls,
		warmupMs: warmupSeconds * msPerSecond,
		onEnd: (call, result) => {
			ends.add(call, result)
		}
	})
	await faultsDone
	const before = await snapshot
	const after = await takeSnapshot(deployment)
	return {
		deployment: options.deploymentName,
		scenario: scenario.name,
		policy: options.policy,
		seed: options.seed,
		seconds,
		warmupSeconds,
		...rateDrafts(load.summary, options),
		bound,
		summary: load.summary,
		perSecond: load.seconds,
		faults,
		...compareTruth(before, after, load.summary, deployment),
		processes: compareUsage(before, after, idle),
		violations: ends.check(after.truth)
	}
}

async function takeSnapshot(deployment: Deployment): Promise<Snapshot> {
	const usage = await readUsage(deployment)
	return {truth: await readTruth(deployment), usage}
}

/** Usage of the processes while no request is sent. */
async function measureIdle(deployment: Deployment): Promise<ProcessFigures[]> {
	const before = await takeSnapshot(deployment)
	await sleep(idleMs)
	const after = await takeSnapshot(deployment)
	return compareUsage(before, after, [])
}

function boundOf({spec}: Deployment, {zipfExponent}: Scenario): CapacityBound {
	const tokens = (minTokens + maxTokens) / 2
	const groupingMs = windowsMs.interactive
	return computeBound({spec, zipfExponent, tokens, groupingMs})
}

function planLoad(
	deployment: Deployment,
	{seed, seconds, warmupSeconds, scenario, deploymentName}: ScenarioOptions,
	{ungrouped}: CapacityBound
): PlannedCall[] {
	const {mix, load, zipfExponent, hotShare, loadSteps} = scenario
	const total = warmupSeconds + seconds
	const [, adapters = ""] = listConfigFiles(deployment.distDir, deploymentName)
	return planCalls({
		seed,
		seconds: total,
		ratePerSecond: (ungrouped * load) / shareOfDrafts(mix),
		kinds: listCallKinds(deploymentName, mix),
		models: readModels(adapters),
		members: membersPerDeployment,
		zipfExponent,
		hotShare,
		steps: loadSteps.map(step => ({
			...step,
			atShare: (warmupSeconds + step.atShare * seconds) / total
		})),
		minTokens,
		maxTokens
	})
}

function rateDrafts(
	summary: LoadSummary,
	{deploymentName, scenario, seconds}: ScenarioOptions
): Pick<ScenarioResult, "draftsPerSecond" | "answeredDraftsPerSecond"> {
	const kinds = listCallKinds(deploymentName, scenario.mix)
	const routes = new Set(kinds.slice(0, 2).map(kind => kind.route))
	const drafts = summary.routes.filter(one => routes.has(one.route))
	return {
		draftsPerSecond: sum(drafts.map(one => one.calls)) / seconds,
		answeredDraftsPerSecond: sum(drafts.map(one => one.ends.answered)) / seconds
	}
}

function compareTruth(
	{truth: before}: Snapshot,
	{truth: after, usage}: Snapshot,
	summary: LoadSummary,
	{spec}: Deployment
): Pick<
	ScenarioResult,
	| "loads"
	| "failedLoads"
	| "loadsPerThousandDrafts"
	| "batchEfficiency"
	| "retriesPerRequest"
	| "platformReadsPerSecond"
	| "platformWritesPerSecond"
	| "platformRefused"
> {
	const elapsed = (after.at - before.at) / msPerSecond
	const loads = after.weightStore.loads - before.weightStore.loads
	const steps = sumOf(after, "steps") - sumOf(before, "steps")
	const tokens = sumOf(after, "tokenSum") - sumOf(before, "tokenSum")
	const drafts = summary.firstTokenMs.count
	const retries = sum(usage.map(one => sumRetries(one.counters)))
	return {
		loads,
		failedLoads: after.weightStore.failed - before.weightStore.failed,
		loadsPerThousandDrafts: drafts === 0 ? 0 : (loads / drafts) * 1000,
		batchEfficiency: steps === 0 ? 0 : tokens / (steps * spec.engines.seats),
		retriesPerRequest: summary.calls === 0 ? 0 : retries / summary.calls,
		platformReadsPerSecond:
			(after.platform.reads - before.platform.reads) / elapsed,
		platformWritesPerSecond:
			(after.platform.writes - before.platform.writes) / elapsed,
		platformRefused: after.platform.refused - before.platform.refused
	}
}

function sumOf({engines}: Truth, field: "steps" | "tokenSum"): number {
	return sum(engines.map(engine => engine[field]))
}

function sumRetries(counters: Record<string, number>): number {
	const names = Object.keys(counters).filter(name => name.startsWith("retry."))
	return sum(names.map(name => counters[name] ?? 0))
}

function compareUsage(
	before: Snapshot,
	after: Snapshot,
	idle: ProcessFigures[]
): ProcessFigures[] {
	const elapsedMs = after.truth.at - before.truth.at
	return after.usage.map((usage, index) => {
		const old = before.usage[index]
		const quiet = idle[index]
		// A restarted process counts its bytes from zero.
		const bytes = Math.max(0, usage.bytes - (old?.bytes ?? 0))
		return {
			id: usage.id,
			cpuShare: (usage.cpuMs - (old?.cpuMs ?? 0)) / elapsedMs,
			bytesPerSecond: (bytes / elapsedMs) * msPerSecond,
			idleBytesPerSecond: quiet?.bytesPerSecond ?? 0,
			idleCpuShare: quiet?.cpuShare ?? 0,
			rssBytes: usage.rssBytes
		}
	})
}
