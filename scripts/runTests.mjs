/**
 * Runs vitest and prints the closing line that CI counts. A failing test that
 * KNOWN-RED.txt names is printed and passed over; any other failure fails.
 */
import {spawnSync} from "node:child_process"
import {existsSync, mkdtempSync, readFileSync, rmSync} from "node:fs"
import {tmpdir} from "node:os"
import {join, relative} from "node:path"

const redFile = "KNOWN-RED.txt"

/** Reads the `test:` lines of KNOWN-RED.txt: "file > full test name". */
function readKnownRed() {
	if (!existsSync(redFile)) return new Set()
	const lines = readFileSync(redFile, "utf8").split("\n")
	const tests = lines.filter(line => line.startsWith("test: "))
	return new Set(tests.map(line => line.slice("test: ".length).trim()))
}

function runVitest(outputFile) {
	const args = ["vitest", "run", "--reporter=default", "--reporter=json"]
	args.push(`--outputFile.json=${outputFile}`, ...process.argv.slice(2))
	return spawnSync("npx", args, {stdio: "inherit"}).status ?? 1
}

const dir = mkdtempSync(join(tmpdir(), "goldcrestloom-tests-"))
const outputFile = join(dir, "results.json")
const status = runVitest(outputFile)
if (!existsSync(outputFile)) {
	console.log("vitest wrote no results")
	process.exit(1)
}
const results = JSON.parse(readFileSync(outputFile, "utf8"))
rmSync(dir, {recursive: true})

const red = readKnownRed()
let passed = 0
let failed = 0
let knownRed = 0
let brokenFiles = 0
for (const file of results.testResults) {
	const path = relative(process.cwd(), file.name)
	if (file.status === "failed" && file.assertionResults.length === 0) {
		brokenFiles += 1
		console.log(`file failed to load: ${path}\n${file.message ?? ""}`)
	}
	for (const test of file.assertionResults) {
		const name = `${path} > ${test.fullName}`
		if (test.status === "passed") passed += 1
		if (test.status !== "failed") continue
		if (red.has(name)) {
			knownRed += 1
			console.log(`known red: ${name}`)
			continue
		}
		failed += 1
		console.log(`failed: ${name}`)
	}
}
failed += brokenFiles
const unexplained = status !== 0 && failed === 0 && knownRed === 0
if (unexplained) {
	failed += 1
	console.log("vitest exited with an error outside any test")
}
if (knownRed > 0) console.log(`${knownRed} known red, see ${redFile}`)
console.log(`${passed} passed, ${failed} failed`)
process.exit(failed === 0 && passed > 0 ? 0 : 1)
