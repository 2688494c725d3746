/** Runs the operator command against the platform stand-in over HTTP. */
import {fileURLToPath} from "node:url"
import {afterEach, beforeEach, expect, test} from "vitest"
import {type PlatformStandin, startPlatform} from "../../../standins/index.js"
import {configPartKind, configRootKind} from "../../contract/config/index.js"
import {ExitCode} from "../../program/exitCode.js"
import {runOperator} from "../program.js"
import {MemoryOutput} from "./fakeEntry.js"

const example = fileURLToPath(
	new URL("../../../examples/serindit", import.meta.url)
)

let standin: PlatformStandin

beforeEach(async () => {
	standin = await startPlatform()
})

afterEach(async () => {
	await standin.close()
})

async function run(line: string): Promise<[ExitCode, MemoryOutput]> {
	const output = new MemoryOutput()
	const env = {
		GOLDCRESTLOOM_PLATFORM: standin.url,
		GOLDCRESTLOOM_OPERATOR: "ana",
		GOLDCRESTLOOM_TIMEOUT_MS: "1000"
	}
	return [await runOperator(line.split(" "), env, output), output]
}

test("an apply is accepted although answers to writes of parts and the root are lost", async () => {
	standin.setFaults({loseAnswers: 3, loseAnswersKind: configPartKind})
	const [code, output] = await run(`apply -f ${example} --json`)
	expect(output.errors).toEqual([])
	expect(code).toBe(ExitCode.Ok)
	standin.setFaults({loseAnswers: 1, loseAnswersKind: configRootKind})
	const [again] = await run(`apply -f ${example}/settings.yaml`)
	expect(again).toBe(ExitCode.Ok)
	const [, history] = await run("history --json")
	const applies = JSON.parse(history.printed.join("")) as object[]
	expect(applies).toMatchObject([
		{generation: 2, operator: "ana", summary: "3300 removed"},
		{generation: 1, operator: "ana"}
	])
	expect(standin.truth().lost).toBe(4)
})

test("an apply without changes reads at most twice and writes nothing", async () => {
	await run(`apply -f ${example}`)
	const before = standin.truth()
	const [code] = await run(`apply -f ${example}`)
	const after = standin.truth()
	expect(code).toBe(ExitCode.Ok)
	expect(after.writes - before.writes).toBe(0)
	expect(after.reads - before.reads).toBeLessThanOrEqual(2)
})

test("an apply during an outage fails and leaves the configuration unchanged", async () => {
	await run(`apply -f ${example}`)
	standin.setFaults({outage: true})
	const [code, output] = await run(`apply -f ${example}/settings.yaml`)
	expect(code).toBe(ExitCode.Failed)
	expect(output.errors.at(-1)).toBe("nothing was applied")
	standin.setFaults({outage: false})
	const [, found] = await run("get adapter loom-7b:c-0010@v2")
	expect(found.printed.at(-1)).toBe("v2       weights/c-0010/v2")
})
