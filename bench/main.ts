/**
 * The bench: runs one scenario on real processes and prints its figures.
 *
 *   npm run bench -- society lunch-crowd --seconds 60 --seed 1 --policy adapter
 */
import {mkdirSync, writeFileSync} from "node:fs"
import {dirname} from "node:path"
import {cac} from "cac"
import {z} from "zod"
import {PolicyName} from "../src/policy/policyName.js"
import {ExitCode, exitOnFault} from "../src/program/index.js"
import {messageOf} from "../src/utils/common.js"
import {DeploymentName, exitOnSignal} from "./deployment/index.js"
import {
	countViolations,
	plotResult,
	renderResult,
	runScenario,
	ScenarioName,
	scenarios
} from "./scenario/index.js"

const maxSeconds = 600

const optionsSchema = z.object({
	deploymentName: z.enum(DeploymentName),
	scenario: z.enum(ScenarioName),
	seconds: z.coerce.number().int().min(1).max(maxSeconds).default(60),
	warmup: z.coerce.number().int().min(0).max(maxSeconds).default(25),
	seed: z.coerce.number().int().min(0).default(1),
	policy: z.enum(PolicyName).default(PolicyName.Adapter),
	json: z.boolean().default(false),
	svg: z.string().optional()
})

type BenchOptions = z.infer<typeof optionsSchema>

const program = "bench"

async function main(): Promise<void> {
	const options = readCommandLine()
	if (options === undefined) return
	const {deploymentName, scenario, policy, seed, seconds, warmup} = options
	const result = await runScenario({
		deploymentName,
		scenario: scenarios[scenario],
		policy,
		seed,
		seconds,
		warmupSeconds: warmup,
		onProgress: text => process.stderr.write(`${text}\n`)
	})
	const text = options.json
		? JSON.stringify(result, null, "\t")
		: renderResult(result)
	console.log(text)
	const svg =
		options.svg ?? `.bench/${deploymentName}-${scenario}-${policy}.svg`
	mkdirSync(dirname(svg), {recursive: true})
	writeFileSync(svg, plotResult(result))
	if (countViolations(result.violations) > 0) process.exitCode = ExitCode.Failed
}

function readCommandLine(): BenchOptions | undefined {
	const cli = cac(program)
	cli
		.command("<deployment> <scenario>", describeScenarios())
		.option("--seconds <n>", "Measured time (default 60)")
		.option("--warmup <n>", "Seconds of load before it (default 25)")
		.option("--seed <n>", "Seed of the load (default 1)")
		.option("--policy <name>", Object.values(PolicyName).join(", "))
		.option("--json", "Print JSON")
		.option("--svg <file>", "Plot (default below .bench/)")
	cli.help()
	const {args, options} = cli.parse(process.argv, {run: false})
	if (options.help === true) return undefined
	const [deploymentName, scenario] = args
	const parsed = optionsSchema.safeParse({deploymentName, scenario, ...options})
	if (parsed.success) return parsed.data
	exitOnFault(program, new Error(z.prettifyError(parsed.error)))
	return undefined
}

function describeScenarios(): string {
	const lines = Object.values(scenarios).map(
		({name, description}) => `  ${name}: ${description}`
	)
	return `Runs a scenario\n${lines.join("\n")}`
}

exitOnSignal()
try {
	await main()
} catch (err) {
	process.stderr.write(`${program}: ${messageOf(err)}\n`)
	process.exitCode = ExitCode.Failed
}
