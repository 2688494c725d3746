import {expect, test} from "vitest"
import {fileURLToPath} from "node:url"
import {
	configRootKind,
	listPartHashes,
	parseConfiguration,
	splitIntoParts
} from "../../contract/config/index.js"
import {HostRole, HostState} from "../../host/host.js"
import {ExitCode} from "../../program/exitCode.js"
import {parseCommandLine} from "../commandLine.js"
import type {Context} from "../context.js"
import {readConfigFiles} from "../files.js"
import {reportFault, runCommand, runOperator} from "../program.js"
import {readRoot} from "../storedConfig.js"
import {FakeEntry, MemoryOutput} from "./fakeEntry.js"
import {Fault, FakePlatform} from "./fakePlatform.js"

const example = fileURLToPath(
	new URL("../../../examples/society", import.meta.url)
)

interface TestSetup {
	context: Context
	platform: FakePlatform
	entries: FakeEntry[]
	output: MemoryOutput
	run: (line: string) => Promise<ExitCode>
}

function createTestSetup(): TestSetup {
	const platform = new FakePlatform()
	const output = new MemoryOutput()
	const entries = [1, 2].map(
		i => new FakeEntry(`127.0.0.1:${i}`, {hostId: `e${i}`, role: "entry"})
	)
	let applies = 0
	const context: Context = {
		output,
		platform,
		links: entries,
		openLink(address) {
			const entry = new FakeEntry(address)
			entries.push(entry)
			return entry
		},
		operator: "ana",
		token: "secret",
		createApplyId: () => `apply-${++applies}`,
		wait: () => Promise.resolve(),
		close: () => Promise.resolve()
	}
	const run = async (line: string): Promise<ExitCode> => {
		const invocation = parseCommandLine(line.split(" "))
		if (invocation === undefined) throw new Error("no command")
		try {
			return await runCommand(invocation, context)
		} catch (err) {
			return reportFault(err, output)
		}
	}
	return {context, platform, entries, output, run}
}

test("an accepted apply is offered to the entries and listed in the history", async () => {
	const {entries, output, run} = createTestSetup()
	expect(await run(`apply -f ${example}`)).toBe(ExitCode.Ok)
	expect(output.printed.at(-2)).toMatch(
		/^accepted as generation 1: \d+ added \(apply apply-1\)$/
	)
	expect(output.printed.at(-1)).toBe(
		"2 of 2 entries acknowledged the configuration"
	)
	expect(output.printed.length).toBeLessThan(50)
	for (const {offers} of entries) {
		expect(offers).toMatchObject([{generation: 1, token: "secret"}])
		expect(offers[0]?.parts).toHaveLength(64)
	}
	expect(await run("history")).toBe(ExitCode.Ok)
	expect(output.printed.at(-1)).toMatch(/^1 +1970|^1 +20\d\d.* ana +apply-1/)
})

test("an apply without changes prints that the generation has the content", async () => {
	const {output, run} = createTestSetup()
	await run(`apply -f ${example}`)
	expect(await run(`apply ${example}`)).toBe(ExitCode.Ok)
	expect(output.printed).toContain(
		"no change: generation 1 already has this content"
	)
})

test("a dry run and a diff write nothing", async () => {
	const {platform, output, run} = createTestSetup()
	expect(await run(`apply -f ${example} --dry-run`)).toBe(ExitCode.Ok)
	expect(await run(`diff -f ${example} --json`)).toBe(ExitCode.Ok)
	expect(platform.writes).toBe(0)
	const diff = JSON.parse(output.printed.at(-1) ?? "") as {changes: unknown[]}
	expect(diff.changes.length).toBeGreaterThan(3000)
})

test("an unknown outcome, an outage and a conflict exit with their own codes", async () => {
	const {platform, output, run} = createTestSetup()
	await run(`apply -f ${example}`)
	platform.chooseFault = call =>
		call === "write" ? Fault.LoseBefore : Fault.None
	const settings = `${example}/settings.yaml`
	expect(await run(`apply -f ${settings}`)).toBe(ExitCode.Unknown)
	expect(output.errors[0]).toContain("apply apply-2 took effect")
	platform.isUnavailable = true
	expect(await run(`apply -f ${settings}`)).toBe(ExitCode.Failed)
	expect(output.errors.at(-1)).toBe("nothing was applied")
	platform.isUnavailable = false
	let hasRivalStarted = false
	platform.chooseFault = async (call, kind) => {
		const isRoot = call === "write" && kind === configRootKind
		if (!isRoot || hasRivalStarted) return Fault.None
		hasRivalStarted = true
		await run(`apply -f ${settings}`)
		return Fault.None
	}
	output.errors.length = 0
	expect(await run(`apply -f ${settings}`)).toBe(ExitCode.Conflict)
	expect(output.errors[1]).toMatch(/^generation 2 by ana at .*: 3300 removed$/)
})

test("an apply is accepted although an entry does not answer, and names that entry", async () => {
	const {entries, output, run} = createTestSetup()
	const [first] = entries
	if (first !== undefined) first.isDown = true
	expect(await run(`apply -f ${example}`)).toBe(ExitCode.Ok)
	expect(output.errors).toEqual([
		"entry 127.0.0.1:1 did not acknowledge the configuration: connection refused"
	])
	expect(output.printed.at(-1)).toBe(
		"1 of 2 entries acknowledged the configuration"
	)
})

test("status counts the hosts at which the accepted generation is in force", async () => {
	const {platform, entries, output, run} = createTestSetup()
	await run(`apply -f ${example}`)
	platform.hostRecords = ["p1", "p2"].map(id => ({
		id,
		role: HostRole.Endpoint,
		address: `127.0.0.1:10${id.slice(1)}`,
		failureDomain: "bc-coast-a",
		pool: "loom-writers",
		state: HostState.Live
	}))
	const [first, second] = entries
	if (first === undefined || second === undefined) throw new Error("no entry")
	first.hostStatuses = [
		{hostId: "p1", role: "endpoint", generation: 1},
		{hostId: "e2", role: "entry", generation: 0}
	]
	first.self.generation = 1
	second.self.generation = 1
	expect(await run("status")).toBe(ExitCode.Ok)
	expect(output.printed.at(-1)).toBe("generation 1 in force at 3 of 4 hosts")
	expect(output.printed.some(row => /^p2 .* live +\? /.test(row))).toBe(true)
	platform.isUnavailable = true
	second.isDown = true
	await run("status --json")
	expect(JSON.parse(output.printed.at(-1) ?? "")).toMatchObject({
		generation: 1,
		isFromPlatform: false,
		faults: [
			"platform: no answer",
			"list of hosts: no answer",
			"entry 127.0.0.1:2: connection refused"
		]
	})
})

test("drain is sent to the host's own address with the operator token", async () => {
	const {entries, run, output} = createTestSetup()
	const [first] = entries
	if (first !== undefined) {
		first.hostStatuses = [{hostId: "p1", address: "127.0.0.1:99"}]
	}
	expect(await run("drain p1")).toBe(ExitCode.Ok)
	const host = entries.at(-1)
	expect(host?.address).toBe("127.0.0.1:99")
	expect(host?.drained).toEqual([{hostId: "p1", token: "secret"}])
	expect(await run("drain p9")).toBe(ExitCode.Failed)
	expect(output.errors.at(-1)).toContain("no address is known for host p9")
})

test("get and history read from an entry while the platform is unavailable", async () => {
	const {platform, entries, output, run} = createTestSetup()
	await run(`apply -f ${example}`)
	const {root} = await readRoot(platform)
	const [, second] = entries
	if (root === undefined || second === undefined) throw new Error("no root")
	expect(await run("get adapter loom-7b:m-0010@v2")).toBe(ExitCode.Ok)
	expect(output.printed.at(-1)).toBe("v2       weights/m-0010/v2")
	second.root = root
	second.parts = splitIntoParts(
		parseConfiguration(readConfigFiles([example]))
	).parts
	expect([...second.parts.keys()].sort()).toEqual(listPartHashes(root).sort())
	platform.isUnavailable = true
	for (const entry of entries) if (entry !== second) entry.isDown = true
	expect(await run("get adapter loom-7b:m-0010 --json")).toBe(ExitCode.Ok)
	expect(output.errors.at(-1)).toContain("configuration of entry 127.0.0.1:2")
	expect(await run("history")).toBe(ExitCode.Ok)
	expect(await run("get adapter loom-7b:nobody")).toBe(ExitCode.Failed)
	second.isDown = true
	expect(await run("history")).toBe(ExitCode.Failed)
})

test.each([
	["nope", "unknown command nope"],
	["drain", "missing required args for command `drain <host>`"],
	["history --bogus 1", "Unknown option `--bogus`"],
	["apply", "no file is given: use -f FILE, which may be repeated"],
	["apply -f /nowhere.yaml", "ENOENT"],
	["get route x", "unknown kind route; get supports only adapter"],
	["get adapter x", "x: expected BASE:NAME or BASE:NAME@VERSION"]
])("an invalid command line exits with code 2: %s", async (line, fault) => {
	const output = new MemoryOutput()
	const env = {GOLDCRESTLOOM_PLATFORM: "http://127.0.0.1:1"}
	const code = await runOperator(line.split(" "), env, output)
	expect(code).toBe(ExitCode.Usage)
	expect(output.errors.join("\n")).toContain(fault)
})

test("prints all invalid settings together, without the operator token", async () => {
	const output = new MemoryOutput()
	const env = {
		GOLDCRESTLOOM_ENTRIES: "localhost:1",
		GOLDCRESTLOOM_OPERATOR_TOKEN: "hush",
		GOLDCRESTLOOM_PLATFORM: "x y"
	}
	const line = ["status", "--timeout-ms", "0"]
	expect(await runOperator(line, env, output)).toBe(ExitCode.Usage)
	expect(output.errors).toHaveLength(3)
	expect(output.errors.join("\n")).not.toContain("hush")
	const plain = {GOLDCRESTLOOM_ENTRIES: "10.0.0.1:1"}
	expect(await runOperator(["drain", "p1"], plain, output)).toBe(ExitCode.Usage)
	expect(output.errors.slice(3).join("\n")).toMatch(
		/operator-token.*\n10\.0\.0\.1:1 is not a loopback address/
	)
})

test("validate prints all faults of the files and exits with code 2", async () => {
	const output = new MemoryOutput()
	const file = `${example}/adapters.yaml`
	const code = await runOperator(["validate", "-f", file], {}, output)
	expect(code).toBe(ExitCode.Usage)
	expect(output.errors[0]).toContain(
		"adapters.yaml:2: deployment: section is missing"
	)
	expect(output.errors.at(-1)).toBe("3004 faults found")
})
