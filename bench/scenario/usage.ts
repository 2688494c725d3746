/** CPU, memory and bytes of the deployment's processes. */
import {readFileSync} from "node:fs"
import type {Deployment} from "../deployment/index.js"
import {callJson} from "../deployment/index.js"

/** Running totals of one process. */
export interface ProcessUsage {
	id: string
	cpuMs: number
	/** Bytes read and written, on sockets as on files. */
	bytes: number
	rssBytes: number
	counters: Record<string, number>
}

interface Metrics {
	counters: Record<string, number>
	rssBytes: number
}

/** Usage of entries and endpoint processes. */
export async function readUsage(
	deployment: Deployment
): Promise<ProcessUsage[]> {
	return Promise.all(
		deployment.programNames.map(id => readProcess(deployment, id))
	)
}

async function readProcess(
	deployment: Deployment,
	id: string
): Promise<ProcessUsage> {
	const child = deployment.child(id)
	const cpuMs = child.readCpuMs()
	const bytes = readIoBytes(child.pid)
	try {
		const url = deployment.metricsUrl(id)
		const {counters, rssBytes} = await callJson<Metrics>(url)
		return {id, cpuMs, bytes, rssBytes, counters}
	} catch {
		return {id, cpuMs, bytes, rssBytes: 0, counters: {}}
	}
}

function readIoBytes(pid: number): number {
	try {
		const text = readFileSync(`/proc/${pid}/io`, "utf8")
		const read = /^rchar: (\d+)$/m.exec(text)?.[1]
		const written = /^wchar: (\d+)$/m.exec(text)?.[1]
		return Number(read ?? 0) + Number(written ?? 0)
	} catch {
		return 0
	}
}
