/**
 * Writes examples/<name>/adapters.yaml. The output is the same on every run.
 *
 *   node examples/generateAdapters.mjs
 *
 * Each deployment has 3,000 adapters of one base model, one per client, numbered
 * from 0001. Every tenth adapter has a second version, as after retraining.
 */
import {writeFileSync} from "node:fs"

const adapterCount = 3000
/** Every n-th adapter has a second version. */
const retrainingInterval = 10
const base = "loom-7b"
const deployments = [
	{name: "society", prefix: "m"},
	{name: "serindit", prefix: "c"}
]

for (const deployment of deployments) {
	const url = new URL(`./${deployment.name}/adapters.yaml`, import.meta.url)
	writeFileSync(url, formatAdapters(deployment))
}

function formatAdapters({name, prefix}) {
	const lines = [
		`# Adapters of ${name}, written by examples/generateAdapters.mjs.`,
		"adapters:"
	]
	for (let number = 1; number <= adapterCount; number++) {
		const adapter = `${prefix}-${String(number).padStart(4, "0")}`
		lines.push(formatAdapter(adapter, number % retrainingInterval === 0))
	}
	return `${lines.join("\n")}\n`
}

function formatAdapter(name, isRetrained) {
	const versions = isRetrained ? ["v1", "v2"] : ["v1"]
	const entries = versions.map(
		version => `{version: ${version}, source: weights/${name}/${version}}`
	)
	return `  - {base: ${base}, name: ${name}, versions: [${entries.join(", ")}]}`
}
