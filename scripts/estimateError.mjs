#!/usr/bin/env node
/**
 * Prints how far gateways' estimates of the time to the first event were off:
 * reads log lines from standard input and takes those of answered generations.
 */
import {createInterface} from "node:readline"

const percentiles = [0.05, 0.5, 0.95]
const errors = []

for await (const line of createInterface({input: process.stdin})) {
	const start = line.indexOf("{")
	if (start < 0) continue
	let entry
	try {
		entry = JSON.parse(line.slice(start))
	} catch {
		// Not a log line: a bench prints its report to the same stream.
		continue
	}
	const {message, ratedMs, startedMs} = entry
	if (message !== "request.ended") continue
	if (ratedMs === undefined || startedMs === undefined) continue
	errors.push(startedMs - ratedMs)
}

const byError = errors.toSorted((a, b) => a - b)
const bySize = errors.map(Math.abs).sort((a, b) => a - b)
const [low, middle, high] = percentiles.map(share => pick(byError, share))
console.log(
	`${errors.length} first events; later than expected by p5 ${low}, p50 ${middle}, p95 ${high} ms`
)
console.log(`off by p50 ${pick(bySize, 0.5)} ms, p95 ${pick(bySize, 0.95)} ms`)

/** Value below which a share of the sorted values lies. */
function pick(sorted, share) {
	return sorted[Math.floor(share * (sorted.length - 1))] ?? "none"
}
