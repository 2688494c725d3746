/**
 * Writes docs/FAULTS.md from the fault matrix and the results of a test run:
 * `npx vitest run __tests__/faults --reporter=json --outputFile=FILE`, then
 * `node scripts/writeFaults.mjs FILE`.
 */
import {readFileSync, writeFileSync} from "node:fs"
import {createServer} from "vite"

const invariants = [
	"",
	"the answer comes from the adapter and version named",
	"an adapter in use is never evicted",
	"each caller gets the whole answer to its own request, or a clear end",
	"a call refused as not run did not run",
	"a non-idempotent call runs at most once",
	"a leaving endpoint gets no new work",
	"a planned stop cuts nothing",
	"an accepted configuration is in force everywhere and never reverts"
]

async function loadCells() {
	const server = await createServer({
		server: {middlewareMode: true},
		appType: "custom",
		logLevel: "error"
	})
	const module = await server.ssrLoadModule("/__tests__/faults/cells.ts")
	await server.close()
	return module.cells
}

function readStates(file) {
	const states = new Map()
	for (const {assertionResults} of JSON.parse(readFileSync(file, "utf8"))
		.testResults) {
		for (const {title, status} of assertionResults) states.set(title, status)
	}
	return states
}

function describe(status) {
	if (status === "passed") return "proved"
	return status === "failed" ? "red" : "not run"
}

const file = process.argv[2]
if (file === undefined) {
	console.error("usage: node scripts/writeFaults.mjs RESULTS.json")
	process.exit(2)
}
const cells = await loadCells()
const states = readStates(file)
const rows = Object.entries(cells).map(([name, cell]) => {
	const holds = cell.holds.join(", ")
	const state = describe(states.get(name))
	return `| ${name} | ${cell.step} | ${cell.fault} | ${cell.gets} | ${holds} | ${state} |`
})
const counts = {proved: 0, red: 0, "not run": 0}
for (const name of Object.keys(cells)) counts[describe(states.get(name))] += 1
const steps = [...new Set(Object.values(cells).map(({step}) => step))]
const faults = [...new Set(Object.values(cells).map(({fault}) => fault))]

const text = `# Fault matrix

Written by \`node scripts/writeFaults.mjs\` from a run of \`__tests__/faults\`; do
not edit by hand. Each row is one test with separate processes, checked against
what the stand-ins counted. ${counts.proved} proved, ${counts.red} red, ${counts["not run"]} not run.

The numbers in "holds" are the points that must always hold:

${invariants
	.slice(1)
	.map((line, index) => `${index + 1}. ${line}`)
	.join("\n")}

| test | step | fault | what the caller or operator gets | holds | state |
| --- | --- | --- | --- | --- | --- |
${rows.join("\n")}

Steps with a row: ${steps.join(", ")}. Faults with a row: ${faults.join("; ")}.
Every other pair of a step and a fault is not run with processes. The decision
modules cover more pairs under generated schedules: \`src/policy/__tests__\`,
\`src/endpoint/claims/__tests__\` and \`src/operator/__tests__\`.

The programs on the users' platform meet their faults in the [fault soak](SOAK.md), among
them a store that returns from a copy and endpoints that leave or want a pause.
`
writeFileSync("docs/FAULTS.md", text)
console.log(`docs/FAULTS.md: ${JSON.stringify(counts)}`)
