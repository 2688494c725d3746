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
	CallType,
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
	compareTruth,
	compareUsage,
	type DraftRates,
	type ProcessFigures,
	rateDrafts,
	type Snapshot,
	type Snapshots,
	type StandinFigures
} from "./figures.js"
import {
	listCallKinds,
	type Scenario,
	shareOfDrafts,
	windowsMs
} from "./scenarios.js"
import {EndRecord, readTruth, type Violations} from "./truth.js"
import {readUsage} from "./usage.js"

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

export interface ScenarioResult extends DraftRates, StandinFigures {
	deployment: DeploymentName
	scenario: string
	policy: string
	seed: number
	seconds: number
	warmupSeconds: number
	bound: CapacityBound
	summary: LoadSummary
	perSecond: SecondCounts[]
	faults: {atSecond: number; text: string}[]
	processes: ProcessFigures[]
	violations: Violations
}

const membersPerDeployment = 60
const idleMs = 6000
const msPerSecond = 1000
const minTokens = 24
const maxTokens = 96

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
	const before = takeSnapshotAt(deployment, measureAt)
	const arrivalsEnd = takeSnapshotAt(
		deployment,
		measureAt + seconds * msPerSecond
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
	const snapshots: Snapshots = {
		before: await before,
		arrivalsEnd: await arrivalsEnd,
		after: await takeSnapshot(deployment)
	}
	return {
		deployment: options.deploymentName,
		scenario: scenario.name,
		policy: options.policy,
		seed: options.seed,
		seconds,
		warmupSeconds,
		...rateDrafts(load.summary, listDraftRoutes(options), seconds),
		bound,
		summary: load.summary,
		perSecond: load.seconds,
		faults,
		...compareTruth(snapshots, load.summary, deployment.spec.engines.seats),
		processes: compareUsage(snapshots.before, snapshots.arrivalsEnd, idle),
		violations: ends.check(snapshots.after.truth)
	}
}

async function takeSnapshot(deployment: Deployment): Promise<Snapshot> {
	const usage = await readUsage(deployment)
	return {truth: await readTruth(deployment), usage}
}

async function takeSnapshotAt(
	deployment: Deployment,
	at: number
): Promise<Snapshot> {
	await sleep(at - Date.now())
	return takeSnapshot(deployment)
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

function listDraftRoutes({
	deploymentName,
	scenario
}: ScenarioOptions): Set<string> {
	const kinds = listCallKinds(deploymentName, scenario.mix)
	const drafts = kinds.filter(kind => kind.type === CallType.Draft)
	return new Set(drafts.map(kind => kind.route))
}
