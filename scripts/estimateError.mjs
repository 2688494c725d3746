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

errors.sort((a, b) => a - b)
const shown = percentiles.map(share => {
	const value = errors[Math.floor(share * (errors.length - 1))]
	return `p${share * 100} ${value ?? "none"} ms`
})
const absolute = errors.map(Math.abs).sort((a, b) => a - b)
const middle = absolute[Math.floor(0.5 * (absolute.length - 1))]
const high = absolute[Math.floor(0.95 * (absolute.length - 1))]
console.log(
	`${errors.length} first events; later than expected by ${shown.join(", ")}`
)
console.log(`off by p50 ${middle ?? "none"} ms, p95 ${high ?? "none"} ms`)
