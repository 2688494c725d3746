/** Prints the result of a scenario as a table. */
import type {DelaySummary} from "../load/index.js"
import type {ProcessFigures} from "./figures.js"
import type {ScenarioResult} from "./runScenario.js"
import {countViolations, sum} from "./truth.js"

const maxReasons = 8
const maxMembers = 4
const bytesPerMegabyte = 1024 * 1024

export function renderResult(result: ScenarioResult): string {
	const {deployment, scenario, policy, seed, seconds, warmupSeconds} = result
	return [
		`${deployment} ${scenario}, policy ${policy}, seed ${seed}, ${seconds} s after ${warmupSeconds} s of warm-up`,
		...renderBound(result),
		...renderRoutes(result),
		...renderReasons(result),
		renderMembers(result),
		...renderDelays(result),
		...renderCosts(result),
		...renderProcesses(result.processes),
		...renderViolations(result)
	].join("\n")
}

function renderBound({
	draftsPerSecond,
	answeredDraftsPerSecond,
	bound
}: ScenarioResult): string[] {
	return [
		`drafts a second: ${draftsPerSecond.toFixed(1)} arrived, ${answeredDraftsPerSecond.toFixed(1)} answered`,
		`bound on drafts a second: ${bound.ungrouped.toFixed(1)} a load for each miss, ${bound.grouped.toFixed(1)} misses grouped, ${bound.seats.toFixed(0)} seats`
	]
}

function renderRoutes({summary}: ScenarioResult): string[] {
	const header =
		"route                calls answered   late notRun unknown  cut wrong rejected   p50 ms   p95 ms"
	const rows = summary.routes.map(({route, calls, ends, elapsedMs}) =>
		[
			route.padEnd(18),
			pad(calls, 7),
			pad(ends.answered, 8),
			pad(ends.late, 6),
			pad(ends.notRun, 6),
			pad(ends.unknown, 7),
			pad(ends.cut, 4),
			pad(ends.wrong, 5),
			pad(ends.rejected, 8),
			pad(Math.round(elapsedMs.p50), 8),
			pad(Math.round(elapsedMs.p95), 8)
		].join(" ")
	)
	return [header, ...rows]
}

function renderReasons({summary}: ScenarioResult): string[] {
	const shown = summary.reasons.slice(0, maxReasons)
	return shown.map(({reason, count}) => `  ${count} x ${reason}`)
}

function renderMembers({summary}: ScenarioResult): string {
	const shown = summary.members.slice(0, maxMembers)
	const parts = shown.map(
		({member, calls, answered}) => `${member} ${answered}/${calls}`
	)
	return `lowest Members: ${parts.join(", ")}`
}

function renderDelays({summary}: ScenarioResult): string[] {
	const drafts = summary.routes.filter(one => one.firstTokenMs.count > 0)
	const lines = drafts.flatMap(({route, loadStallMs, firstTokenMs}) => [
		renderDelay(`${route}: load stall`, loadStallMs),
		renderDelay(`${route}: first token`, firstTokenMs)
	])
	return [...lines, renderDelay("between tokens", summary.betweenTokensMs)]
}

function renderDelay(name: string, delay: DelaySummary): string {
	const {mean, p50, p95, p99, max} = delay
	const values = [mean, p50, p95, p99, max].map(ms => ms.toFixed(1))
	return `${name} ms: mean ${values[0] ?? ""}, p50 ${values[1] ?? ""}, p95 ${values[2] ?? ""}, p99 ${values[3] ?? ""}, max ${values[4] ?? ""}`
}

function renderCosts(result: ScenarioResult): string[] {
	const {loads, failedLoads, loadsPerThousandDrafts} = result
	const {platformReadsPerSecond, platformWritesPerSecond} = result
	return [
		`loads ${loads} (${failedLoads} failed), ${loadsPerThousandDrafts.toFixed(0)} per 1,000 answered drafts; batch efficiency ${result.batchEfficiency.toFixed(3)}`,
		`retries per request ${result.retriesPerRequest.toFixed(4)}; callers repeated ${result.summary.repeats}`,
		`platform: ${platformReadsPerSecond.toFixed(1)} reads/s, ${platformWritesPerSecond.toFixed(1)} writes/s, ${result.platformRefused} refused`
	]
}

function renderProcesses(processes: ProcessFigures[]): string[] {
	const header =
		"process              CPU %  idle CPU %     KB/s  idle KB/s   MB resident"
	const rows = processes.map(one =>
		[
			one.id.padEnd(18),
			pad((one.cpuShare * 100).toFixed(1), 7),
			pad((one.idleCpuShare * 100).toFixed(1), 11),
			pad(renderKilobytes(one.bytesPerSecond), 8),
			pad((one.idleBytesPerSecond / 1024).toFixed(1), 10),
			pad(Math.round(one.rssBytes / bytesPerMegabyte), 13)
		].join(" ")
	)
	return [header, ...rows]
}

function renderKilobytes(bytes: number | undefined): string {
	return bytes === undefined ? "restarted" : (bytes / 1024).toFixed(1)
}

function renderViolations({violations}: ScenarioResult): string[] {
	const count = countViolations(violations)
	const parts = Object.entries(violations) as [string, number][]
	const text = parts.map(([name, value]) => `${name} ${value}`).join(", ")
	return [`${count === 0 ? "no violations" : "VIOLATIONS"}: ${text}`]
}

function pad(value: number | string, width: number): string {
	return String(value).padStart(width)
}

/** Share of all counted calls that were answered whole in their window. */
export function shareAnswered({summary}: ScenarioResult): number {
	const {ends} = summary
	return ends.answered / Math.max(1, sum(Object.values(ends)))
}
