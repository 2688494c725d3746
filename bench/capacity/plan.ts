/** Prints the arithmetic of docs/CAPACITY.md. */
import {
	claimBytes,
	type Cost,
	endpointBytes,
	endpointCore,
	endpointMemory,
	entryBytes,
	entryCore,
	entryMemory,
	entryTokens,
	type Pace,
	platformReads,
	platformWrites,
	sumOf
} from "./costs.js"
import {chooseLinkIntervals} from "../../src/policy/linkIntervals.js"
import {type Cell, formatNumber, printTable} from "./print.js"
import {
	relayedEndpointBytes,
	relayedEntryBytes,
	relayedEntryCore,
	relayPlan
} from "./relay.js"
import {limits, runningPerEntry, targetSize} from "./size.js"
import {slopes} from "./slopes.js"

/** The intervals before they depended on the number of links. */
const fixedPace: Pace = {heartbeatMs: 1000, announceMs: 5000, listMs: 2000}
/** Endpoint processes announce themselves only to entries without a link. */
const todaysPace: Pace = createTodaysPace()

const kilobyte = 1000
const percent = 100
const usPerSecond = 1_000_000

/** One sum, its limit, and the factor from the amounts to the limit's unit. */
interface Sum {
	title: string
	costs: readonly Cost[]
	limit: number
	unit: string
	factor?: number
}

export function printPlan(): void {
	for (const sum of listSums("today", todaysPace)) printSum(sum)
	for (const sum of listSums("fixed intervals", fixedPace)) printTotal(sum)
	for (const sum of listRelayed()) printSum(sum)
	printClaims()
	printTokens()
}

function createTodaysPace(): Pace {
	const {entries, endpoints} = targetSize
	const hosts = entries + endpoints
	const {heartbeatMs, listIntervalMs} = chooseLinkIntervals(endpoints, hosts)
	return {heartbeatMs, announceMs: Infinity, listMs: listIntervalMs}
}

function listSums(state: string, pace: Pace): Sum[] {
	const kilobytes = {
		limit: limits.kilobytesPerSecond,
		unit: "KB/s",
		factor: 1 / kilobyte
	}
	const core = {
		limit: limits.corePercent,
		unit: "% of a core",
		factor: percent
	}
	const memory = {limit: limits.memoryMb, unit: "MB"}
	const size = targetSize
	return [
		{
			title: `entry, wire, ${state}`,
			costs: entryBytes(size, slopes, pace),
			...kilobytes
		},
		{
			title: `entry, processor, ${state}`,
			costs: entryCore(size, slopes, pace),
			...core
		},
		{
			title: `entry, memory, ${state}`,
			costs: entryMemory(size, slopes),
			...memory
		},
		{
			title: `endpoint process, wire, ${state}`,
			costs: endpointBytes(size, slopes, pace),
			...kilobytes
		},
		{
			title: `endpoint process, processor, ${state}`,
			costs: endpointCore(size, slopes, pace),
			...core
		},
		{
			title: `endpoint process, memory, ${state}`,
			costs: endpointMemory(size, slopes),
			...memory
		},
		{
			title: `platform, writes, ${state}`,
			costs: platformWrites(size, slopes),
			limit: limits.platformWritesPerSecond,
			unit: "writes/s"
		},
		{
			title: `platform, reads, ${state}`,
			costs: platformReads(size, slopes, pace),
			limit: limits.platformReadsPerSecond,
			unit: "reads/s"
		}
	]
}

function listRelayed(): Sum[] {
	const kilobytes = {
		limit: limits.kilobytesPerSecond,
		unit: "KB/s",
		factor: 1 / kilobyte
	}
	return [
		{
			title: "entry, wire, links relayed",
			costs: relayedEntryBytes(targetSize, slopes, relayPlan),
			...kilobytes
		},
		{
			title: "entry, processor, links relayed",
			costs: relayedEntryCore(targetSize, slopes, relayPlan),
			limit: limits.corePercent,
			unit: "% of a core",
			factor: percent
		},
		{
			title: "endpoint process, wire, links relayed",
			costs: relayedEndpointBytes(slopes, relayPlan),
			...kilobytes
		}
	]
}

function printSum(sum: Sum): void {
	const {title, costs, unit, factor = 1} = sum
	const rows = costs.map(({what, amount}): Cell[] => [what, factor * amount])
	printTable(title, ["what", unit], rows)
	printTotal(sum)
}

function printTotal({title, costs, limit, unit, factor = 1}: Sum): void {
	const total = factor * sumOf(costs)
	console.log(
		`${title}: ${formatNumber(total)} of ${limit} ${unit}, ` +
			describeVerdict(total, limit)
	)
}

/** `holds`, or by how much a limit is missed. */
export function describeVerdict(amount: number, limit: number): string {
	if (amount <= limit) return "holds"
	return `MISSED ${formatNumber(amount / limit)} times over`
}

function printClaims(): void {
	const kilobytes = claimBytes(targetSize, slopes) / kilobyte
	const processes = Math.ceil(kilobytes / limits.kilobytesPerSecond)
	console.log(
		`\nclaims: ${formatNumber(kilobytes)} KB/s in all, ` +
			`what ${processes} processes may spend`
	)
}

function printTokens(): void {
	const running = runningPerEntry(targetSize)
	console.log(`\nrunning requests of one entry: ${formatNumber(running)}`)
	const rows: Cell[][] = [
		["entry parts, 1 token a chunk", slopes.chunkUs],
		["entry parts, 8 tokens a chunk", slopes.groupedTokenUs],
		["entry process, all in", slopes.entryTokenUs]
	].map(([what = "", us = 0]): Cell[] => {
		return [what, us, entryTokens(targetSize, Number(us))]
	})
	const perEndpoint = targetSize.tokensPerSecond / targetSize.endpoints
	const us = slopes.endpointTokenUs
	rows.push(["endpoint process, all in", us, (perEndpoint * us) / usPerSecond])
	printTable("passing tokens on", ["what", "us a token", "cores"], rows)
}
