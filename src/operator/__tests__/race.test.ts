/** Two operators race over a platform that loses, delays and answers stale reads. */
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

/** What an operator was told; undefined when nothing was applied. */
type Told = ApplyResult | undefined

async function run(
	platform: FakePlatform,
	applyId: string,
	configuration: Configuration
): Promise<Told> {
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

/** Checks what one operator was told against the platform's history. */
function checkTold(told: Told, id: string, history: readonly string[]): void {
	const isInForce = history.includes(id)
	if (told === undefined) {
		expect(isInForce).toBe(false)
		return
	}
	if (told.outcome === ApplyOutcome.Unknown) return
	expect(isInForce).toBe(told.outcome === ApplyOutcome.Accepted)
	if (told.outcome !== ApplyOutcome.Accepted) return
	expect(history.toReversed().indexOf(id) + 1).toBe(told.generation)
}

/** The ids of all applies, newest first, and the content in force. */
async function readStory(
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

test("two operators that race get one story, and are told the truth", async () => {
	const outcomes = new Map<string, number>()
	await fc.assert(
		fc.asyncProperty(
			fc.scheduler(),
			fc.array(faultArbitrary, {minLength: 10, maxLength: 24}),
			async (scheduler, faults) => {
				const platform = new FakePlatform()
				const [first, second, third] = configurations
				if (!first || !second || !third) throw new Error("no configuration")
				await run(platform, "first", first)
				let hasWritten = false
				platform.chooseFault = async (call, kind) => {
					const isRoot = kind === configRootKind
					const fault = isRoot ? (faults.shift() ?? Fault.None) : Fault.None
					await scheduler.schedule(Promise.resolve(), `${call} ${kind}`)
					if (isRoot) platform.applyLate()
					if (isRoot && call === "write") hasWritten = true
					// Faults before the first write of a root end in no apply at all.
					const isEarly = !hasWritten && fault !== Fault.Stale
					return isEarly ? Fault.None : fault
				}
				const [a, b] = await scheduler.waitFor(
					Promise.all([
						run(platform, "second", second),
						run(platform, "third", third)
					])
				)
				platform.chooseFault = () => Fault.None
				platform.applyLate()
				const {history, content} = await readStory(platform)
				checkTold(a, "second", history)
				checkTold(b, "third", history)
				const applied = {first, second, third} as Record<string, Configuration>
				const winner = applied[history[0] ?? ""]
				expect(diffConfiguration(winner, content)).toEqual([])
				for (const told of [a, b]) {
					const outcome = told?.outcome ?? "notApplied"
					outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
				}
			}
		),
		{seed, numRuns: 400}
	)
	const reached = [...outcomes.keys()].sort()
	expect(reached).toEqual(["accepted", "conflict", "notApplied", "unknown"])
})

test("applying again after an unknown outcome gives one story", async () => {
	await fc.assert(
		fc.asyncProperty(
			fc.array(faultArbitrary, {minLength: 4, maxLength: 16}),
			async faults => {
				const platform = new FakePlatform()
				const [first, second] = configurations
				if (!first || !second) throw new Error("no configuration")
				await run(platform, "first", first)
				platform.chooseFault = () => faults.shift() ?? Fault.None
				await run(platform, "second", second)
				platform.chooseFault = () => Fault.None
				const again = await run(platform, "again", second)
				platform.applyLate()
				const {history, content} = await readStory(platform)
				expect(history).toHaveLength(2)
				expect(again?.outcome).not.toBe(ApplyOutcome.Unknown)
				expect(diffConfiguration(second, content)).toEqual([])
			}
		),
		{seed, numRuns: 300}
	)
})
