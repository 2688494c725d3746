/** `npm run soak -- --seed N --minutes M`: faults against the real programs. */
import {mkdirSync} from "node:fs"
import {join} from "node:path"
import {cac} from "cac"
import {exitOnSignal} from "../deployment/childProcess.js"
import {FaultSet} from "./faults.js"
import {runSoak, type SoakReport} from "./soak.js"

const cli = cac("soak")
cli.option("--seed <n>", "first seed", {default: Date.now() % 1_000_000})
cli.option("--seeds <n>", "number of seeds, one after the other", {default: 1})
cli.option("--minutes <m>", "minutes of faults for each seed", {default: 0.5})
cli.option("--gateways <n>", "gateways", {default: 4})
cli.option("--engines <n>", "engines, each with its agent", {default: 3})
cli.option("--desks <n>", "workers of the plain service", {default: 3})
cli.option("--callers <n>", "callers at a time", {default: 12})
cli.option("--block <n>", "second number of the addresses", {default: 77})
cli.option("--faults <set>", Object.values(FaultSet).join(", "), {
	default: FaultSet.Prompts
})
cli.option("--logs <dir>", "folder for the logs of the processes, one a seed")
cli.option("--verbose", "print each fault as it begins")
cli.help()
const {options} = cli.parse()

const msPerMinute = 60_000

function createLogDir(seed: number): string | undefined {
	if (options.logs === undefined) return undefined
	const dir = join(String(options.logs), String(seed))
	mkdirSync(dir, {recursive: true})
	return dir
}

/** Passes a report to the process that started this one, if it listens for it. */
function sendReport(report: SoakReport): Promise<unknown> {
	return new Promise(resolve => {
		if (process.send === undefined) resolve(undefined)
		else process.send(report, resolve)
	})
}

async function main(): Promise<void> {
	let failed = 0
	for (let n = 0; n < Number(options.seeds); n++) {
		const seed = Number(options.seed) + n
		const report = await runSoak({
			seed,
			logDir: createLogDir(seed),
			durationMs: Number(options.minutes) * msPerMinute,
			sizes: {
				gateways: Number(options.gateways),
				engines: Number(options.engines),
				desks: Number(options.desks)
			},
			callers: Number(options.callers),
			faults: options.faults as FaultSet,
			block: Number(options.block),
			onProgress: text => {
				if (options.verbose === true) console.log(`  ${text}`)
			}
		})
		await sendReport(report)
		const {faults, calls, answered, recovered, breaches} = report
		console.log(
			`seed ${seed}: ${faults.length} faults, ${calls} calls, ${answered} answered, ${recovered.toFixed(2)} after recovery, ${breaches.length} breaches`
		)
		for (const breach of breaches.slice(0, 10)) console.log(`  ${breach}`)
		if (breaches.length > 0) failed += 1
	}
	process.exit(failed === 0 ? 0 : 1)
}

if (options.help !== true) {
	exitOnSignal()
	process.once("disconnect", () => process.exit(1))
	await main()
}
