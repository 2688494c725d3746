/** Runs faults of one seed against a deployment and judges its promises. */
import {faultEvent} from "../../src/program/faultRate.js"
import {sleep} from "../../src/utils/common.js"
import {Random} from "../load/random.js"
import {CallEnd, Callers, type CallRecord} from "./callers.js"
import {SoakDeployment, type SoakSizes} from "./deployment.js"
import {
	createLogDir,
	LoopSampler,
	removeLogDir,
	writeEvidence
} from "./evidence.js"
import {type Fault, FaultSet, pickFault} from "./faults.js"
import {judgeIdentities} from "./identities.js"
import {memberBounds, SoakMembers} from "./members.js"
import {StandInProbe} from "./standInProbe.js"
import {judgeStatements} from "./statements.js"

export interface SoakOptions {
	seed: number
	durationMs: number
	sizes?: SoakSizes
	callers?: number
	/** `First` by default. */
	faults?: FaultSet
	/** Second number of the loopback addresses, one for each soak at a time. */
	block?: number
	/**
	 * Folder for the logs of the processes and what else explains a breach. Without
	 * it they are kept in the temporary directory after a breach only.
	 */
	logDir?: string | undefined
	onProgress?: (text: string) => void
}

export interface SoakReport {
	seed: number
	faults: string[]
	calls: number
	answered: number
	/** Share answered once all faults had ended and time to recover passed. */
	recovered: number
	breaches: string[]
}

const defaultSizes: SoakSizes = {gateways: 4, engines: 3, desks: 3}
const defaultBlock = 77
const startupMs = 4000
/** Time that the platform gives a system to recover. */
const recoveryMs = 12_000
const judgedMs = 4000
/** Longest time after the last fault in which late stand-ins count as another one. */
const maxLateMs = 40_000
const judgePollMs = 100
const minRecovered = 0.9
const maxFaultMs = 5000
/** Part of the line that a gateway or agent logs once it has started. */
const startedLine = '"message":"started"'
const maxPauseMs = 1500

export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {seed, durationMs, sizes = defaultSizes} = options
	// Of their own, so that what workers draw doesn't change the series of faults.
	const [random, workers, draws] = [seed, seed + 1, seed + 2].map(each => {
		const generator = new Random(each)
		return () => generator.uniform()
	}) as [() => number, () => number, () => number]
	const block = options.block ?? defaultBlock
	const members =
		options.faults === FaultSet.Members ? new SoakMembers() : undefined
	const logDir = options.logDir ?? createLogDir(seed)
	const deployment = await SoakDeployment.start(
		sizes,
		block,
		workers,
		members,
		logDir
	)
	const callers = new Callers(deployment, draws)
	const loop = new LoopSampler()
	const probe = await StandInProbe.start(`127.${block}.8.1`)
	try {
		await sleep(startupMs)
		callers.start(options.callers ?? 12)
		const faults = await runFaults(deployment, random, options, durationMs)
		const healedAt = performance.now()
		probe.resetLongest()
		const judgedAt = await waitUntilJudged(probe, healedAt)
		await callers.stop()
		const {records} = callers
		const recovered = getShareAnswered(
			records.filter(
				({sentAt, isRefusable}) => sentAt >= judgedAt && isRefusable !== true
			)
		)
		const breaches = [
			...callers.breaches,
			...deployment.sites.flatMap(({worker}) => worker.violations),
			...judgeProcesses(deployment),
			...judgeRuns(deployment, records),
			...(members === undefined ? [] : judgeMembers(deployment, records)),
			...judgeStatements({
				records,
				arrivals: deployment.sites.flatMap(({worker}) => worker.arrivals),
				disturbances: deployment.disturbances,
				deadlyCrashes: deployment.deadlyCrashes
			})
		]
		if (recovered < minRecovered) {
			const late = `stand-ins answered within ${Math.ceil(probe.longestMs)} ms`
			const share = `only ${recovered.toFixed(2)} answered after recovery`
			breaches.push(`${share}; ${late}`)
		}
		const {samples} = loop
		if (breaches.length > 0 || options.logDir !== undefined) {
			const seen = {deployment, records, samples, faults, breaches, healedAt}
			await writeEvidence(logDir, seen)
			breaches.push(...(breaches.length > 0 ? [`logs are in ${logDir}`] : []))
		} else removeLogDir(logDir)
		const answered = records.filter(r => r.end === CallEnd.Answered).length
		const calls = records.length
		return {seed, faults, calls, answered, recovered, breaches}
	} finally {
		loop.stop()
		await probe.stop()
		await callers.stop()
		await deployment.stop()
	}
}

/** Returns the start of the span whose calls are judged, at the end of that span. */
async function waitUntilJudged(
	probe: StandInProbe,
	healedAt: number
): Promise<number> {
	for (;;) {
		const judgedAt = getJudgedAt(healedAt, probe.lastLateAt)
		if (performance.now() >= judgedAt + judgedMs) return judgedAt
		await sleep(judgePollMs)
	}
}

/**
 * Stand-ins that answer later than the platform does are a fault as well, so the
 * time to recover begins after it, but not without end.
 */
export function getJudgedAt(healedAt: number, lastLateAt: number): number {
	const endedAt = Math.min(Math.max(healedAt, lastLateAt), healedAt + maxLateMs)
	return endedAt + recoveryMs
}

async function runFaults(
	deployment: SoakDeployment,
	random: () => number,
	options: SoakOptions,
	durationMs: number
): Promise<string[]> {
	const {faults: set = FaultSet.First} = options
	const until = performance.now() + durationMs
	const names: string[] = []
	const running: Promise<void>[] = []
	while (performance.now() < until) {
		const fault = pickFault(deployment, random, set)
		names.push(fault.name)
		options.onProgress?.(fault.name)
		const leftMs = Math.max(500, until - performance.now())
		running.push(runFault(fault, Math.min(leftMs, random() * maxFaultMs)))
		await sleep(random() * maxPauseMs)
	}
	await Promise.all(running)
	deployment.deadlyParts.clear()
	for (const {process} of deployment.gateways) {
		if (!process.isRunning) process.start()
	}
	for (const {agent} of deployment.sites) {
		if (agent?.isRunning === false) agent.start()
	}
	return names
}

async function runFault(fault: Fault, forMs: number): Promise<void> {
	await fault.start()
	await sleep(forMs)
	await fault.end()
}

function judgeMembers(
	{sites, configs}: SoakDeployment,
	records: readonly CallRecord[]
): string[] {
	return judgeIdentities({
		records,
		arrivals: sites.flatMap(({worker}) => worker.arrivals),
		runs: sites.flatMap(({worker}) => worker.runs),
		configs,
		bounds: memberBounds
	})
}

/**
 * A process that ended by itself is a fault of its own, and others may have its
 * addresses, which would then answer in its place.
 */
export function judgeProcesses({
	gateways,
	sites
}: Pick<SoakDeployment, "gateways" | "sites">): string[] {
	const children = [
		...gateways.map(({process}) => process),
		...sites.flatMap(({agent}) => agent ?? [])
	]
	const faults = children
		.filter(({stderr}) => stderr.includes(faultEvent))
		.map(({name, stderr}) => `${name} had a fault: ${findFault(stderr)}`)
	const ends = children.flatMap(({name, unaskedEnds, stderr}) =>
		unaskedEnds.flatMap(({code, signal, output}) => {
			// Sent by a fault before the process had a handler for it.
			if (signal === "SIGHUP" && !output.includes(startedLine)) return []
			const how = signal ?? `exit code ${code ?? ""}`
			const lastLine = stderr.trim().split("\n").at(-1) ?? ""
			return `${name} ended by itself: ${how} ${lastLine}`.trim()
		})
	)
	return [...ends, ...faults]
}

/** The line about the first fault. */
function findFault(stderr: string): string {
	return stderr.split("\n").find(line => line.includes(faultEvent)) ?? ""
}

/** What workers saw, against what callers were told. */
function judgeRuns(
	deployment: SoakDeployment,
	records: readonly CallRecord[]
): string[] {
	const runs = new Map<string, number>()
	const breaches: string[] = []
	for (const {worker} of deployment.sites) {
		for (const {requestId, isUnsafe} of worker.runs) {
			const count = (runs.get(requestId) ?? 0) + 1
			runs.set(requestId, count)
			if (isUnsafe && count > 1) breaches.push(`${requestId}: booked twice`)
		}
	}
	for (const {id, end, kind} of records) {
		const hasRun = runs.has(id)
		if (end === CallEnd.Refused && hasRun) {
			breaches.push(`${id}: ${kind} refused as not run, but it ran`)
		}
		if (end === CallEnd.Answered && !hasRun) {
			breaches.push(`${id}: ${kind} answered without a run`)
		}
	}
	return breaches
}

function getShareAnswered(records: readonly CallRecord[]): number {
	const answered = records.filter(({end}) => end === CallEnd.Answered)
	return answered.length / Math.max(1, records.length)
}
