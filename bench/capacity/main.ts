/**
 * Measures the unit costs used in docs/CAPACITY.md and prints the estimates
 * computed from them. Without an argument, runs all sections.
 *
 *   node dist/bench/capacity/main.js [section]
 */
import {exitOnSignal} from "../deployment/index.js"
import {messageOf} from "../../src/utils/common.js"
import {measureConfiguration} from "./configuration.js"
import {measureDecisions} from "./decisions.js"
import {measureLinks} from "./links.js"
import {measureOperator} from "./operator.js"
import {printPlan} from "./plan.js"
import {measurePlatform, measureProcesses} from "./processes.js"
import {measureBurn, measureClaims} from "./records.js"
import {measureStreams} from "./streams.js"
import {measureWire} from "./wire.js"

const sections: Record<string, () => void | Promise<void>> = {
	configuration: measureConfiguration,
	decisions: measureDecisions,
	wire: measureWire,
	links: measureLinks,
	streams: measureStreams,
	claims: measureClaims,
	burn: measureBurn,
	processes: measureProcesses,
	platform: measurePlatform,
	operator: measureOperator,
	plan: printPlan
}

async function main(): Promise<void> {
	const [, , requestedSection] = process.argv
	const names =
		requestedSection === undefined ? Object.keys(sections) : [requestedSection]
	for (const name of names) {
		const measure = sections[name]
		if (measure === undefined) {
			const known = Object.keys(sections).join(", ")
			throw new Error(`unknown section ${name}; known sections: ${known}`)
		}
		console.log(`\n== ${name}`)
		await measure()
	}
}

exitOnSignal()
try {
	await main()
	process.exit(0)
} catch (err) {
	process.stderr.write(`capacity: ${messageOf(err)}\n`)
	process.exitCode = 1
}
