/** Prints the estimates of docs/CAPACITY.md beside their limits. */
import {
	computeClaimTraffic,
	type CostItem,
	computeEndpointTraffic,
	computeEndpointCpu,
	computeEndpointMemory,
	computeEntryTraffic,
	computeEntryCpu,
	computeEntryMemory,
	computeTokenForwardingCpu,
	type MessageIntervals,
	computePlatformReads,
	computePlatformWrites,
	sumAmounts
} from "./costs.js"
import {chooseLinkIntervals} from "../../src/policy/linkIntervals.js"
import {type Cell, formatNumber, printTable} from "./print.js"
import {
	computeRelayedEndpointTraffic,
	computeRelayedEntryTraffic,
	computeRelayedEntryCpu,
	relayParameters
} from "./relay.js"
import {controlLimits, getRunningRequestsPerEntry, targetSize} from "./size.js"
import {unitCosts} from "./slopes.js"

/** Intervals used before they depended on the number of links, as a baseline. */
const fixedIntervals: MessageIntervals = {
	heartbeatMs: 1000,
	announceIntervalMs: 5000,
	hostListIntervalMs: 2000
}
/**
 * Intervals that an entry chooses at the target size. Endpoint processes
 * announce themselves only to entries without a link, hence never here.
 */
const currentIntervals: MessageIntervals = createCurrentIntervals()

const bytesPerKilobyte = 1000
const percentPerCore = 100
const usPerSecond = 1_000_000

interface ResourceEstimate {
	title: string
	costs: readonly CostItem[]
	limit: number
	unit: string
	unitsPerAmount?: number
}

export function printPlan(): void {
	for (const estimate of listEstimates("current intervals", currentIntervals))
		printEstimate(estimate)
	for (const estimate of listEstimates("fixed intervals", fixedIntervals))
		printTotal(estimate)
	for (const estimate of listRelayedEstimates()) printEstimate(estimate)
	printClaimTraffic()
	printTokenForwarding()
}

function createCurrentIntervals(): MessageIntervals {
	const {entries, endpoints} = targetSize
	const hosts = entries + endpoints
	const {heartbeatMs, listIntervalMs} = chooseLinkIntervals(endpoints, hosts)
	return {
		heartbeatMs,
		announceIntervalMs: Infinity,
		hostListIntervalMs: listIntervalMs
	}
}

function listEstimates(
	state: string,
	intervals: MessageIntervals
): ResourceEstimate[] {
	const kilobytes = {
		limit: controlLimits.kilobytesPerSecond,
		unit: "KB/s",
		unitsPerAmount: 1 / bytesPerKilobyte
	}
	const core = {
		limit: controlLimits.corePercent,
		unit: "% of a core",
		unitsPerAmount: percentPerCore
	}
	const memory = {limit: controlLimits.memoryMb, unit: "MB"}
	const size = targetSize
	return [
		{
			title: `entry, wire, ${state}`,
			costs: computeEntryTraffic(size, unitCosts, intervals),
			...kilobytes
		},
		{
			title: `entry, processor, ${state}`,
			costs: computeEntryCpu(size, unitCosts, intervals),
			...core
		},
		{
			title: `entry, memory, ${state}`,
			costs: computeEntryMemory(size, unitCosts),
			...memory
		},
		{
			title: `endpoint process, wire, ${state}`,
			costs: computeEndpointTraffic(size, unitCosts, intervals),
			...kilobytes
		},
		{
			title: `endpoint process, processor, ${state}`,
			costs: computeEndpointCpu(size, unitCosts, intervals),
			...core
		},
		{
			title: `endpoint process, memory, ${state}`,
			costs: computeEndpointMemory(size, unitCosts),
			...memory
		},
		{
			title: `platform, writes, ${state}`,
			costs: computePlatformWrites(size, unitCosts),
			limit: controlLimits.platformWritesPerSecond,
			unit: "writes/s"
		},
		{
			title: `platform, reads, ${state}`,
			costs: computePlatformReads(size, unitCosts, intervals),
			limit: controlLimits.platformReadsPerSecond,
			unit: "reads/s"
		}
	]
}

function listRelayedEstimates(): ResourceEstimate[] {
	const kilobytes = {
		limit: controlLimits.kilobytesPerSecond,
		unit: "KB/s",
		unitsPerAmount: 1 / bytesPerKilobyte
	}
	return [
		{
			title: "entry, wire, links relayed",
			costs: computeRelayedEntryTraffic(targetSize, unitCosts, relayParameters),
			...kilobytes
		},
		{
			title: "entry, processor, links relayed",
			costs: computeRelayedEntryCpu(targetSize, unitCosts, relayParameters),
			limit: controlLimits.corePercent,
			unit: "% of a core",
			unitsPerAmount: percentPerCore
		},
		{
			title: "endpoint process, wire, links relayed",
			costs: computeRelayedEndpointTraffic(unitCosts, relayParameters),
			...kilobytes
		}
	]
}

function printEstimate(estimate: ResourceEstimate): void {
	const {title, costs, unit, unitsPerAmount = 1} = estimate
	const rows = costs.map(({label, amount}): Cell[] => [
		label,
		unitsPerAmount * amount
	])
	printTable(title, ["component", unit], rows)
	printTotal(estimate)
}

function printTotal({
	title,
	costs,
	limit,
	unit,
	unitsPerAmount = 1
}: ResourceEstimate): void {
	const total = unitsPerAmount * sumAmounts(costs)
	console.log(
		`${title}: ${formatNumber(total)} of ${limit} ${unit}, ` +
			compareWithLimit(total, limit)
	)
}

/** Returns `holds` when the limit holds, else the ratio of amount and limit. */
export function compareWithLimit(amount: number, limit: number): string {
	if (amount <= limit) return "holds"
	return `EXCEEDED, ${formatNumber(amount / limit)} times the limit`
}

function printClaimTraffic(): void {
	const kilobytes =
		computeClaimTraffic(targetSize, unitCosts) / bytesPerKilobyte
	const processes = Math.ceil(kilobytes / controlLimits.kilobytesPerSecond)
	console.log(
		`\nclaim writes: ${formatNumber(kilobytes)} KB/s in total, ` +
			`as much as the traffic limits of ${processes} processes`
	)
}

function printTokenForwarding(): void {
	const running = getRunningRequestsPerEntry(targetSize)
	console.log(`\nrunning requests of one entry: ${formatNumber(running)}`)
	const rows: Cell[][] = [
		[
			"routing, call and stream writer of an entry, 1 token per chunk",
			unitCosts.chunkUs
		],
		[
			"routing, call and stream writer of an entry, 8 tokens per chunk",
			unitCosts.tokenUsAtEightPerChunk
		],
		["whole entry process", unitCosts.entryTokenUs]
	].map(([label = "", us = 0]): Cell[] => {
		return [label, us, computeTokenForwardingCpu(targetSize, Number(us))]
	})
	const perEndpoint = targetSize.tokensPerSecond / targetSize.endpoints
	const us = unitCosts.endpointTokenUs
	rows.push(["whole endpoint process", us, (perEndpoint * us) / usPerSecond])
	printTable("token forwarding", ["component", "us per token", "cores"], rows)
}
