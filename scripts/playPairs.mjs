/**
 * Plays the same days and seeds on two checkouts and prints what changed:
 * `node scripts/playPairs.mjs --bench PATH --site FILE --why TEXT
 *   --before DIR --after DIR --days trouble-1,trouble-2 --seeds 1,2 [--no-cpu] [--jobs 2]`.
 * Both plays of a pair run at the same time, so that they meet the same load.
 */
import {execFile} from "node:child_process"
import {mkdtempSync, readFileSync, rmSync} from "node:fs"
import {tmpdir} from "node:os"
import {join, resolve} from "node:path"
import {promisify} from "node:util"
import {cac} from "cac"

const cli = cac("playPairs")
cli.option("--bench <path>", "the users' bench")
cli.option("--site <file>", "site file")
cli.option("--before <dir>", "checkout of the code before the change")
cli.option("--after <dir>", "checkout of the code after it")
cli.option("--days <list>", "names of days, separated by commas")
cli.option("--seeds <list>", "seeds, separated by commas", {default: "1"})
cli.option("--why <text>", "reason, for the journal")
cli.option("--jobs <n>", "pairs at a time", {default: 1})
cli.option("--no-cpu", "charge no processor time")
cli.help()
const {options} = cli.parse()
const run = promisify(execFile)
const maxOutputBytes = 64 * 1024 * 1024

async function play(dir, day, seed) {
	const folder = mkdtempSync(join(tmpdir(), "pair-"))
	const report = join(folder, "report.json")
	const args = ["run", resolve(options.site), day, "--seed", seed]
	args.push("--report", report, "--why", options.why)
	// cac turns `--no-cpu` into `cpu: false`.
	if (options.cpu === false) args.push("--no-cpu")
	try {
		await run(resolve(options.bench), args, {
			cwd: resolve(dir),
			maxBuffer: maxOutputBytes
		})
		const {
			G: worth,
			served,
			breaks,
			parts
		} = JSON.parse(readFileSync(report, "utf8"))
		const worstWindows = parts.find(([name]) => name === "worst windows")?.[2]
		return {worth, served, worstWindows, broken: Object.keys(breaks)}
	} finally {
		rmSync(folder, {recursive: true})
	}
}

function format(value) {
	return value.toFixed(3).padStart(7)
}

function summarize(differences) {
	const mean = differences.reduce((sum, d) => sum + d, 0) / differences.length
	const squares = differences.reduce((sum, d) => sum + (d - mean) ** 2, 0)
	const spread = Math.sqrt(squares / Math.max(1, differences.length - 1))
	return `${format(mean)} ± ${format(spread).trim()}`
}

async function main() {
	const pairs = String(options.seeds)
		.split(",")
		.flatMap(seed => options.days.split(",").map(day => ({day, seed})))
	const results = []
	const work = async () => {
		for (let pair = pairs.shift(); pair !== undefined; pair = pairs.shift()) {
			const {day, seed} = pair
			const [before, after] = await Promise.all(
				[options.before, options.after].map(dir => play(dir, day, seed))
			)
			results.push({before, after})
			const columns = ["worth", "served", "worstWindows"].map(
				name => `${name}${format(before[name])}${format(after[name])}`
			)
			const broken = [...before.broken, "|", ...after.broken].join(" ")
			console.log(`${day} ${seed}: ${columns.join("  ")}  broken: ${broken}`)
		}
	}
	await Promise.all(Array.from({length: Number(options.jobs)}, work))
	for (const name of ["worth", "served", "worstWindows"]) {
		const differences = results.map(
			({before, after}) => after[name] - before[name]
		)
		console.log(`${name}, after less before: ${summarize(differences)}`)
	}
}

if (options.help !== true) await main()
