/**
 * Measures how long the operator command takes to parse a deployment's files
 * and to split the configuration into the parts that it stores.
 */
import {
	type ConfigFile,
	parseConfiguration,
	splitIntoParts
} from "../../src/contract/config/index.js"
import {createConfiguration} from "./configuration.js"
import {type Cell, printTable} from "./print.js"
import {readCpuUs} from "./probe.js"

enum Format {
	Yaml = "YAML",
	Json = "JSON"
}

interface FileVariant {
	format: Format
	adapters: number
}

const fileVariants: FileVariant[] = [
	{format: Format.Json, adapters: 10_000},
	{format: Format.Json, adapters: 190_000},
	{format: Format.Yaml, adapters: 10_000},
	{format: Format.Yaml, adapters: 190_000}
]
const baseModelCount = 5
const usPerSecond = 1_000_000

const settingsText = `deployment: capacity
failureDomains: [{name: a, region: north}]
baseModels: [loom-1, loom-2, loom-3, loom-4, loom-5]
pools:
  - {name: writers, type: engines, baseModel: loom-1}
routes:
  - {name: drafts, pool: writers}
serviceLevels:
  - {name: drafts, routes: [drafts], target: 0.99, windowMs: 1000}
weightStore: {loadsPerSecond: 5, inFlight: 8, loadMs: 250}
`

export function measureOperator(): void {
	const rows = fileVariants.map((size): Cell[] => {
		const file = createFile(size)
		const before = readCpuUs()
		const settings = {path: "settings.yaml", text: settingsText}
		const configuration = parseConfiguration([settings, file])
		const parsedUs = readCpuUs() - before
		splitIntoParts(configuration)
		const splitUs = readCpuUs() - before - parsedUs
		return [
			size.format,
			String(size.adapters),
			file.text.length / 1e6,
			parsedUs / usPerSecond,
			splitUs / usPerSecond,
			process.memoryUsage().rss / 1e6
		]
	})
	printTable(
		`files of ${baseModelCount} base models, processor time`,
		[
			"format",
			"adapters",
			"MB of text",
			"s to parse",
			"s to split",
			"MB resident"
		],
		rows
	)
}

function createFile({format, adapters}: FileVariant): ConfigFile {
	const configuration = createConfiguration(adapters)
	if (format === Format.Json) {
		const text = JSON.stringify({adapters: configuration.adapters})
		return {path: "adapters.json", text}
	}
	const lines = configuration.adapters.map(({base, name, versions}) => {
		const items = versions.map(
			({version, source}) => `{version: ${version}, source: ${source}}`
		)
		return `  - {base: ${base}, name: ${name}, versions: [${items.join(", ")}]}`
	})
	return {path: "adapters.yaml", text: `adapters:\n${lines.join("\n")}\n`}
}
