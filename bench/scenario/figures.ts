/** Figures of a run, worked out from snapshots and call counts. */
import type {LoadSummary} from "../load/index.js"
import {sum, type Truth} from "./truth.js"
import type {ProcessUsage} from "./usage.js"

/** Counts of the processes and stand-ins at one moment. */
export interface Snapshot {
	truth: Truth
	usage: ProcessUsage[]
}

export interface Snapshots {
	/** At the end of the warm-up. */
	before: Snapshot
	/** When the last call had arrived; rates are taken up to here. */
	arrivalsEnd: Snapshot
	/** When all calls had ended. */
	after: Snapshot
}

export interface ProcessFigures {
	id: string
	/** Share of one core. */
	cpuShare: number
	/** Undefined for a process that was restarted in between. */
	bytesPerSecond: number | undefined
	/** Before any request was sent. */
	idleBytesPerSecond: number
	idleCpuShare: number
	rssBytes: number
}

export interface DraftRates {
	draftsPerSecond: number
	answeredDraftsPerSecond: number
}

export interface StandinFigures {
	loads: number
	failedLoads: number
	loadsPerThousandDrafts: number
	batchEfficiency: number
	retriesPerRequest: number
	platformReadsPerSecond: number
	platformWritesPerSecond: number
	platformRefused: number
}

const msPerSecond = 1000

/** Drafts that arrived a second, and answered whole in their window. */
export function rateDrafts(
	summary: LoadSummary,
	routes: ReadonlySet<string>,
	seconds: number
): DraftRates {
	const drafts = summary.routes.filter(one => routes.has(one.route))
	return {
		draftsPerSecond: sum(drafts.map(one => one.calls)) / seconds,
		answeredDraftsPerSecond: sum(drafts.map(one => one.ends.answered)) / seconds
	}
}

/** What the stand-ins counted between the snapshots. */
export function compareTruth(
	{before: first, arrivalsEnd, after: last}: Snapshots,
	summary: LoadSummary,
	seats: number
): StandinFigures {
	const before = first.truth
	const middle = arrivalsEnd.truth
	const after = last.truth
	const elapsed = (middle.at - before.at) / msPerSecond
	const loads = after.weightStore.loads - before.weightStore.loads
	const steps = sumOf(after, "steps") - sumOf(before, "steps")
	const tokens = sumOf(after, "tokenSum") - sumOf(before, "tokenSum")
	const drafts = sum(summary.routes.map(one => one.firstTokenMs.count))
	const retries = sumRetries(first.usage, last.usage)
	return {
		loads,
		failedLoads: after.weightStore.failed - before.weightStore.failed,
		loadsPerThousandDrafts: drafts === 0 ? 0 : (loads / drafts) * 1000,
		batchEfficiency: steps === 0 ? 0 : tokens / (steps * seats),
		retriesPerRequest: summary.calls === 0 ? 0 : retries / summary.calls,
		platformReadsPerSecond:
			(middle.platform.reads - before.platform.reads) / elapsed,
		platformWritesPerSecond:
			(middle.platform.writes - before.platform.writes) / elapsed,
		platformRefused: after.platform.refused - before.platform.refused
	}
}

function sumOf({engines}: Truth, field: "steps" | "tokenSum"): number {
	return sum(engines.map(engine => engine[field]))
}

/** Retries since the first snapshot; a restarted process counts from zero. */
function sumRetries(first: ProcessUsage[], last: ProcessUsage[]): number {
	const counts = last.map(({counters}, index) => {
		const old = countRetries(first[index]?.counters ?? {})
		const now = countRetries(counters)
		return now < old ? now : now - old
	})
	return sum(counts)
}

function countRetries(counters: Record<string, number>): number {
	const names = Object.keys(counters).filter(name => name.startsWith("retry."))
	return sum(names.map(name => counters[name] ?? 0))
}

/** What each process used between two snapshots. */
export function compareUsage(
	before: Snapshot,
	after: Snapshot,
	idle: ProcessFigures[]
): ProcessFigures[] {
	const elapsedMs = after.truth.at - before.truth.at
	return after.usage.map((usage, index) => {
		const old = before.usage[index]
		const quiet = idle[index]
		const bytes = usage.bytes - (old?.bytes ?? 0)
		const bytesPerSecond = (bytes / elapsedMs) * msPerSecond
		return {
			id: usage.id,
			cpuShare: (usage.cpuMs - (old?.cpuMs ?? 0)) / elapsedMs,
			bytesPerSecond: bytes < 0 ? undefined : bytesPerSecond,
			idleBytesPerSecond: quiet?.bytesPerSecond ?? 0,
			idleCpuShare: quiet?.cpuShare ?? 0,
			rssBytes: usage.rssBytes
		}
	})
}
