/**
 * Random interleavings of two applies on a platform that refuses, loses and delays
 * writes and serves stale reads. Each reported outcome must match the history.
 */
import fc from "fast-check"
import {expect, test} from "vitest"
import {
	type Configuration,
	configRootKind,
	diffConfiguration,
	parseConfiguration
} from "../../contract/config/index.js"
import {
	adaptersFile,
	settingsFile
} from "../../contract/config/__tests__/files.js"
import {
	applyConfiguration,
	ApplyOutcome,
	type ApplyResult,
	NotAppliedError
} from "../apply.js"
import {readConfiguration, readRoot} from "../storedConfig.js"
import {Fault, FakePlatform} from "./fakePlatform.js"

const seed = 20_261_203

const configurations: Configuration[] = [3, 4, 5].map(count =>
	parseConfiguration([settingsFile, adaptersFile(count)])
)

/** The result of an apply; undefined when it threw NotAppliedError. */
type OperatorResult = ApplyResult | undefined

async function runApply(
	platform: FakePlatform,
	applyId: string,
	configuration: Configuration
): Promise<OperatorResult> {
	try {
		return await applyConfiguration({
			platform,
			configuration,
			operator: applyId,
			applyId,
			now: () => 0,
			wait: () => Promise.resolve(),
			maxAttempts: 2
		})
	} catch (err) {
		if (err instanceof NotAppliedError) return undefined
		throw err
	}
}

/** Checks the outcome reported to one operator against the platform's history. */
function checkResult(
	result: OperatorResult,
	id: string,
	history: readonly string[]
): void {
	const isInHistory = history.includes(id)
	if (result === undefined) {
		expect(isInHistory).toBe(false)
		return
	}
	if (result.outcome === ApplyOutcome.Unknown) return
	expect(isInHistory).toBe(result.outcome === ApplyOutcome.Accepted)
	if (result.outcome !== ApplyOutcome.Accepted) return
	expect(history.toReversed().indexOf(id) + 1).toBe(result.generation)
}

/** Reads the ids of all applies, newest first, and the accepted content. */
async function readHistory(
	platform: FakePlatform
): Promise<{history: string[]; content: Configuration}> {
	const {root} = await readRoot(platform)
	if (root === undefined) throw new Error("no root")
	const generations = root.applies.map(({generation}) => generation)
	expect(generations).toEqual(
		generations.map((_, index) => root.generation - index)
	)
	const content = await readConfiguration(platform, root)
	return {history: root.applies.map(({id}) => id), content}
}

const faultArbitrary = fc.oneof(
	{weight: 5, arbitrary: fc.constant(Fault.None)},
	{
		weight: 5,
		arbitrary: fc.constantFrom(
			Fault.Refuse,
			Fault.LoseBefore,
			Fault.LoseAfter,
			Fault.Delay,
			Fault.Stale
		)
	}
)

test("two concurrent applies leave one history, and each outcome matches it", async () => {
	const outcomes = new Map<string, number>()
	await fc.assert(
		fc.asyncProperty(
			fc.scheduler(),
			fc.array(faultArbitrary, {minLength: 10, maxLength: 24}),
			async (scheduler, faults) => {
				const platform = new FakePlatform()
				const [first, second, third] = configurations
				if (!first || !second || !third) throw new Error("no configuration")
				await runApply(platform, "first", first)
				let hasWritten = false
				platform.chooseFault = async (call, kind) => {
					const isRoot = kind === configRootKind
					const fault = isRoot ? (faults.shift() ?? Fault.None) : Fault.None
					await scheduler.schedule(Promise.resolve(), `${call} ${kind}`)
					if (isRoot) platform.applyDelayedWrites()
					if (isRoot && call === "write") hasWritten = true
					// Faults other than stale reads are injected only from the first write
					// of the root on; earlier ones would fail both applies.
					const isEarly = !hasWritten && fault !== Fault.Stale
					return isEarly ? Fault.None : fault
				}
				const [a, b] = await scheduler.waitFor(
					Promise.all([
						runApply(platform, "second", second),
						runApply(platform, "third", third)
					])
				)
				platform.chooseFault = () => Fault.None
				platform.applyDelayedWrites()
				const {history, content} = await readHistory(platform)
				checkResult(a, "second", history)
				checkResult(b, "third", history)
				const applied = {first, second, third} as Record<string, Configuration>
				const winner = applied[history[0] ?? ""]
				expect(diffConfiguration(winner, content)).toEqual([])
				for (const result of [a, b]) {
					const outcome = result?.outcome ?? "notApplied"
					outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
				}
			}
		),
		{seed, numRuns: 400}
	)
	const reached = [...outcomes.keys()].sort()
	expect(reached).toEqual(["accepted", "conflict", "notApplied", "unknown"])
})

test("applying the same content again, whatever the first outcome, adds no second record", async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(faultArbitrary, {minLength: 4, maxLength: 16}),
			async faults => {
				const platform = new FakePlatform()
				const [first, second] = configurations
				if (!first || !second) throw new Error("no configuration")
				await runApply(platform, "first", first)
				platform.chooseFault = () => faults.shift() ?? Fault.None
				await runApply(platform, "second", second)
				platform.chooseFault = () => Fault.None
				const again = await runApply(platform, "again", second)
				platform.applyDelayedWrites()
				const {history, content} = await readHistory(platform)
				expect(history).toHaveLength(2)
				expect(again?.outcome).not.toBe(ApplyOutcome.Unknown)
				expect(diffConfiguration(second, content)).toEqual([])
			}
		),
		{seed, numRuns: 300}
	)
})
