/**
 * What tells a system that doesn't recover from a soak whose own process, which
 * holds the callers and all stand-ins, gets too little processor time.
 */
import {mkdtempSync, rmSync, writeFileSync} from "node:fs"
import {get} from "node:http"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {monitorEventLoopDelay, performance} from "node:perf_hooks"
import {messageOf} from "../../src/utils/common.js"
import type {CallRecord} from "./callers.js"
import type {SoakDeployment} from "./deployment.js"

const msPerSecond = 1000
const nsPerMs = 1e6
const cpuUsPerMs = 1000
const probeTimeoutMs = 1000
const stderrChars = 500
const evidenceFile = "evidence.txt"

/** One second of the soak's own process. */
interface LoopSample {
	at: number
	/** Longest delay of a timer. */
	maxDelayMs: number
	/** Share of the time in which the event loop did not wait for events. */
	busy: number
	/** Processor time that it got, as a share of one core. */
	cpu: number
}

/** Samples the event loop of this process each second. */
export class LoopSampler {
	readonly samples: LoopSample[] = []
	private readonly delays = monitorEventLoopDelay()
	private readonly timer: NodeJS.Timeout
	private use = performance.eventLoopUtilization()
	private cpu = process.cpuUsage()
	private sampledAt = performance.now()

	constructor() {
		this.delays.enable()
		this.timer = setInterval(() => {
			this.sample()
		}, msPerSecond)
	}

	stop(): void {
		clearInterval(this.timer)
		this.delays.disable()
	}

	private sample(): void {
		const at = performance.now()
		const {user, system} = process.cpuUsage(this.cpu)
		this.samples.push({
			at,
			maxDelayMs: this.delays.max / nsPerMs,
			busy: performance.eventLoopUtilization(this.use).utilization,
			cpu: (user + system) / cpuUsPerMs / (at - this.sampledAt)
		})
		this.delays.reset()
		this.use = performance.eventLoopUtilization()
		this.cpu = process.cpuUsage()
		this.sampledAt = at
	}
}

/** A folder for logs under the temporary directory. */
export function createLogDir(seed: number): string {
	return mkdtempSync(join(tmpdir(), `goldcrestloom-soak-logs-${seed}-`))
}

export function removeLogDir(dir: string): void {
	rmSync(dir, {recursive: true})
}

export interface Evidence {
	deployment: SoakDeployment
	records: readonly CallRecord[]
	samples: readonly LoopSample[]
	faults: readonly string[]
	breaches: readonly string[]
	/** When the last fault had ended. */
	healedAt: number
}

/** Writes the evidence into the folder of the logs. */
export async function writeEvidence(
	dir: string,
	evidence: Evidence
): Promise<void> {
	const {deployment, records, samples, faults, breaches, healedAt} = evidence
	const lines = [
		"# Breaches",
		...breaches,
		"# Faults",
		...faults,
		"# Processes",
		...(await describeProcesses(deployment)),
		"# Answers of each second since the last fault ended",
		...describeAnswers(records, healedAt),
		"# Event loop of the soak, by seconds since the last fault ended",
		...samples.map(sample => describeSample(sample, healedAt))
	]
	writeFileSync(join(dir, evidenceFile), `${lines.join("\n")}\n`)
}

function describeSample(
	{at, maxDelayMs, busy, cpu}: LoopSample,
	healedAt: number
): string {
	const second = Math.floor((at - healedAt) / msPerSecond)
	return `${second}: longest delay ${Math.round(maxDelayMs)} ms, busy ${busy.toFixed(2)}, processor ${cpu.toFixed(2)}`
}

/** One line for each second in which calls were sent: how they ended, and where not with 200. */
export function describeAnswers(
	records: readonly CallRecord[],
	since: number
): string[] {
	const seconds = new Map<number, CallRecord[]>()
	for (const record of records) {
		const second = Math.floor((record.sentAt - since) / msPerSecond)
		if (second < 0) continue
		const known = seconds.get(second)
		if (known === undefined) seconds.set(second, [record])
		else known.push(record)
	}
	return [...seconds]
		.sort(([a], [b]) => a - b)
		.map(([second, sent]) => {
			const failed = sent.filter(({status}) => status !== 200)
			const ends = countTexts(
				sent.map(({status, reason = ""}) => `${status} ${reason}`.trim())
			)
			if (failed.length === 0) return `${second}: ${ends}`
			const where = countTexts(
				failed.map(({kind, gateway}) => `${kind} at ${gateway}`)
			)
			return `${second}: ${ends}; not 200: ${where}`
		})
}

function countTexts(texts: readonly string[]): string {
	const counts = new Map<string, number>()
	for (const text of texts) counts.set(text, (counts.get(text) ?? 0) + 1)
	return [...counts]
		.sort(([, a], [, b]) => b - a)
		.map(([text, count]) => `${count} x ${text}`)
		.join(", ")
}

async function describeProcesses({
	gateways,
	sites
}: SoakDeployment): Promise<string[]> {
	const ofGateways = gateways.map(async ({process, ready}) => {
		const probe = await probeReady(ready)
		return `${describeProcess(process)}, readiness ${probe}`
	})
	const ofAgents = sites.flatMap(({agent}) =>
		agent === undefined ? [] : describeProcess(agent)
	)
	const ofWorkers = sites.map(
		({worker, state}) =>
			`${worker.name}: ${worker.isUp ? "up" : "down"}, ${state}, ${worker.runs.length} runs`
	)
	return [...(await Promise.all(ofGateways)), ...ofAgents, ...ofWorkers]
}

function describeProcess({
	name,
	pid,
	isRunning,
	stderr
}: SoakDeployment["gateways"][number]["process"]): string {
	const state = isRunning ? `running as ${pid}` : "ended"
	const text = stderr.slice(-stderrChars)
	return `${name}: ${state}${text === "" ? "" : `, standard error ${JSON.stringify(text)}`}`
}

/** The status of the readiness probe, or why there is none. */
function probeReady(address: string): Promise<string> {
	return new Promise(resolve => {
		const options = {timeout: probeTimeoutMs, agent: false}
		const req = get(`http://${address}/ready`, options, res => {
			res.resume()
			resolve(String(res.statusCode))
		})
		req.on("timeout", () => req.destroy(new Error("timed out")))
		req.on("error", err => {
			resolve(messageOf(err))
		})
	})
}
