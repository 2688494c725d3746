/**
 * Runs a soak in a process of its own. The callers and stand-ins of a soak take a
 * good part of a core, so several soaks on one event loop delay each other's calls.
 */
import {fork} from "node:child_process"
import {once} from "node:events"
import {FaultSet} from "./faults.js"
import type {SoakOptions, SoakReport} from "./soak.js"

const program = "dist/bench/soak/main.js"
const msPerMinute = 60_000

export type SoakProcessOptions = Pick<
	SoakOptions,
	"seed" | "durationMs" | "callers" | "faults"
> & {block: number}

export async function runSoakProcess(
	options: SoakProcessOptions
): Promise<SoakReport> {
	const {durationMs, faults = FaultSet.First, ...others} = options
	const minutes = durationMs / msPerMinute
	const args = Object.entries({...others, faults, minutes}).flatMap(
		([name, value]) => [`--${name}`, String(value)]
	)
	const soak = fork(program, args, {
		execArgv: [],
		stdio: ["ignore", "ignore", "pipe", "ipc"]
	})
	let report: SoakReport | undefined
	let stderr = ""
	soak.once("message", message => {
		report = message as SoakReport
	})
	soak.stderr?.setEncoding("utf8").on("data", (text: string) => {
		stderr += text
	})
	// The channel closes after its last message, which may be later than the exit.
	await Promise.all([once(soak, "exit"), once(soak, "disconnect")])
	if (report !== undefined) return report
	const end = soak.signalCode ?? `exit code ${soak.exitCode ?? ""}`
	throw new Error(
		`soak of seed ${options.seed} ended without a report: ${end}\n${stderr}`
	)
}
