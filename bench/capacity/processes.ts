/**
 * Measures real entry and endpoint processes that run against the stand-ins:
 * processor time and memory when idle and busy, and their platform calls.
 */
import {readFileSync} from "node:fs"
import {request} from "undici"
import {sleep} from "../../src/utils/common.js"
import {callJson} from "../deployment/control.js"
import {
	applyConfiguration,
	Deployment,
	DeploymentName,
	type DeploymentSpec,
	deploymentSpecs,
	listConfigFiles
} from "../deployment/index.js"
import {startConfigured} from "../scenario/index.js"
import {type Cell, printTable} from "./print.js"

interface ProcessCounts {
	entries: number
	endpointsPerPool: number
}

interface PlatformCallCounts {
	reads: number
	writes: number
	readsByKind: Record<string, number>
}

const idleProcessCounts: ProcessCounts[] = [
	{entries: 2, endpointsPerPool: 2},
	{entries: 4, endpointsPerPool: 4},
	{entries: 8, endpointsPerPool: 8}
]
const warmUpMs = 3000
const idleMeasureMs = 8000
const platformProcessCounts: ProcessCounts = {entries: 8, endpointsPerPool: 4}
/** Two watches of SpreadTaskOptions.watchMs, 20 s. */
const platformMeasureMs = 40_000
const msPerSecond = 1000
const draftCount = 60
const tokensPerDraft = 200
const requestTimeoutMs = 30_000
const model = "loom-7b:m-0001@v1"

/** Measures idle processes at several sizes, busy ones at the smallest. */
export async function measureProcesses(): Promise<void> {
	const rows: Cell[][] = []
	for (const size of idleProcessCounts) {
		const deployment = new Deployment({spec: createSpec(size)})
		try {
			await startConfigured(deployment)
			await sleep(warmUpMs)
			rows.push(await measureIdle(deployment, size))
			if (size === idleProcessCounts[0]) await measureBusy(deployment)
		} finally {
			await deployment.stop()
		}
	}
	printTable(
		"idle processes with 3,000 adapters",
		[
			"entries",
			"endpoint processes",
			"entry % of a core",
			"endpoint % of a core",
			"entry MB resident",
			"endpoint MB resident"
		],
		rows
	)
}

/**
 * Measures the platform calls of idle processes over two watches, and those of
 * one apply.
 */
export async function measurePlatform(): Promise<void> {
	const {entries, endpointsPerPool} = platformProcessCounts
	const deployment = new Deployment({spec: createSpec(platformProcessCounts)})
	try {
		await startConfigured(deployment)
		await sleep(warmUpMs)
		const before = await readPlatformCallCounts(deployment)
		await sleep(platformMeasureMs)
		const after = await readPlatformCallCounts(deployment)
		printCalls("idle processes, per second", before, after, platformMeasureMs)
		await printHostListSize(deployment)
		const files = listConfigFiles(deployment.distDir, deployment.spec.name)
		await applyConfiguration(deployment, files)
		const applied = await readPlatformCallCounts(deployment)
		printCalls("one apply of 3,000 adapters", after, applied, msPerSecond)
	} finally {
		await deployment.stop()
	}
	console.log(
		`${entries} entries in ${endpointsPerPool} failure domains, ` +
			`${2 * endpointsPerPool} endpoint processes`
	)
}

function printCalls(
	title: string,
	before: PlatformCallCounts,
	after: PlatformCallCounts,
	elapsedMs: number
): void {
	const seconds = elapsedMs / msPerSecond
	const rows = Object.entries(after.readsByKind).map(
		([kind, reads]): Cell[] => [
			`reads and watches of ${kind}`,
			(reads - (before.readsByKind[kind] ?? 0)) / seconds
		]
	)
	rows.push(["writes of all kinds", (after.writes - before.writes) / seconds])
	printTable(`platform calls: ${title}`, ["call", "number"], rows)
}

async function printHostListSize(deployment: Deployment): Promise<void> {
	const url = `${deployment.platformUrl}/v1/hosts`
	const list = await callJson<{hosts: unknown[]}>(url)
	const bytes = JSON.stringify(list).length / list.hosts.length
	console.log(`\nlist of hosts: ${bytes.toFixed(0)} bytes per host`)
}

function createSpec({
	entries,
	endpointsPerPool
}: ProcessCounts): DeploymentSpec {
	const spec = deploymentSpecs[DeploymentName.Society]
	const failureDomains = Array.from(
		{length: endpointsPerPool},
		(_, index) => spec.failureDomains[index] ?? `bc-coast-${index + 1}`
	)
	const workers = endpointsPerPool
	return {
		...spec,
		entries,
		failureDomains,
		engines: {...spec.engines, workers},
		service: {...spec.service, workers}
	}
}

async function measureIdle(
	deployment: Deployment,
	size: ProcessCounts
): Promise<Cell[]> {
	const entries = deployment.entries.map(({id}) => id)
	const endpoints = deployment.endpoints.map(({id}) => id)
	const entryCpu = sumCpuMs(deployment, entries)
	const endpointCpu = sumCpuMs(deployment, endpoints)
	const startedAt = Date.now()
	await sleep(idleMeasureMs)
	const elapsedMs = Date.now() - startedAt
	const shareOf = (ids: string[], cpuMs: number): number =>
		(100 * (sumCpuMs(deployment, ids) - cpuMs)) / ids.length / elapsedMs
	const counts = [String(size.entries), String(endpoints.length)]
	return [
		...counts,
		shareOf(entries, entryCpu),
		shareOf(endpoints, endpointCpu),
		meanRssMb(deployment, entries),
		meanRssMb(deployment, endpoints)
	]
}

/** Streams drafts through one entry and prints the processor time per token. */
async function measureBusy(deployment: Deployment): Promise<void> {
	const entries = deployment.entries.map(({id}) => id)
	const engines = deployment.endpoints
		.filter(({pool}) => pool === deployment.spec.engines.name)
		.map(({id}) => id)
	const [url = ""] = deployment.entryUrls
	await sendDrafts(url, draftCount / 2)
	const entryCpu = sumCpuMs(deployment, entries)
	const endpointCpu = sumCpuMs(deployment, engines)
	const answered = await sendDrafts(url, draftCount)
	const tokens = answered * tokensPerDraft
	const usPerToken = (ids: string[], cpuMs: number): string =>
		((msPerSecond * (sumCpuMs(deployment, ids) - cpuMs)) / tokens).toFixed(1)
	console.log(
		`\n${answered} of ${draftCount} drafts of ${tokensPerDraft} tokens: ` +
			`entry processes ${usPerToken(entries, entryCpu)} us, ` +
			`endpoint processes ${usPerToken(engines, endpointCpu)} us of processor time per token`
	)
}

async function sendDrafts(url: string, count: number): Promise<number> {
	const sent = Array.from({length: count}, () => sendDraft(url))
	const results = await Promise.all(sent)
	return results.filter(isComplete => isComplete).length
}

async function sendDraft(url: string): Promise<boolean> {
	const res = await request(`${url}/v1/completions`, {
		method: "POST",
		headers: {
			"content-type": "application/json",
			"x-member": "member",
			"x-deadline": String(Date.now() + requestTimeoutMs)
		},
		body: JSON.stringify({
			model,
			prompt: "Coating summary.",
			max_tokens: tokensPerDraft,
			stream: true
		})
	})
	const text = await res.body.text()
	return text.endsWith("data: [DONE]\n\n")
}

function readPlatformCallCounts({
	platformUrl
}: Deployment): Promise<PlatformCallCounts> {
	return callJson<PlatformCallCounts>(`${platformUrl}/control/truth`)
}

function sumCpuMs(deployment: Deployment, ids: readonly string[]): number {
	const times = ids.map(id => deployment.child(id).readCpuMs())
	return times.reduce((sum, ms) => sum + ms, 0)
}

function meanRssMb(deployment: Deployment, ids: readonly string[]): number {
	const sizes = ids.map(id => readRssMb(deployment.child(id).pid))
	return sizes.reduce((sum, mb) => sum + mb, 0) / ids.length
}

function readRssMb(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, "utf8")
	const match = /^VmRSS:\s+(\d+) kB$/m.exec(status)
	return Number(match?.[1] ?? 0) / 1024
}
