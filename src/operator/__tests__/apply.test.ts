import {expect, test} from "vitest"
import {
	type Configuration,
	configPartKind,
	configRootKind,
	parseConfiguration
} from "../../contract/config/index.js"
import {
	adaptersFile,
	settingsFile
} from "../../contract/config/__tests__/files.js"
import {
	applyConfiguration,
	type ApplyOptions,
	ApplyOutcome,
	type ApplyResult,
	ImmutableVersionError,
	NotAppliedError
} from "../apply.js"
import {readConfiguration, readRoot} from "../storedConfig.js"
import {Fault, FakePlatform} from "./fakePlatform.js"

function createConfiguration(adapters: number): Configuration {
	return parseConfiguration([settingsFile, adaptersFile(adapters)])
}

function apply(
	platform: FakePlatform,
	configuration: Configuration,
	options: Partial<ApplyOptions> = {}
): Promise<ApplyResult> {
	return applyConfiguration({
		platform,
		configuration,
		operator: "ana",
		applyId: "apply-1",
		now: () => 0,
		wait: () => Promise.resolve(),
		...options
	})
}

/** Injects one fault into each of the next writes of the root, in order. */
function failRootWrites(platform: FakePlatform, ...faults: Fault[]): void {
	platform.chooseFault = (call, kind) => {
		if (call !== "write" || kind !== configRootKind) return Fault.None
		return faults.shift() ?? Fault.None
	}
}

test("accepts the first apply as generation 1 and stores all of its content", async () => {
	const platform = new FakePlatform()
	const configuration = createConfiguration(200)
	const result = await apply(platform, configuration)
	expect(result).toMatchObject({
		outcome: ApplyOutcome.Accepted,
		generation: 1
	})
	const {root} = await readRoot(platform)
	if (root === undefined) throw new Error("no root")
	const stored = await readConfiguration(platform, root)
	expect(stored.settings).toEqual(configuration.settings)
	expect(stored.adapters).toHaveLength(200)
	expect(root.applies).toMatchObject([{id: "apply-1", operator: "ana"}])
})

test("a second apply writes only the changed part and the root", async () => {
	const platform = new FakePlatform()
	await apply(platform, createConfiguration(200))
	platform.writes = 0
	platform.reads = 0
	const result = await apply(platform, createConfiguration(201), {
		applyId: "apply-2"
	})
	expect(result).toMatchObject({
		outcome: ApplyOutcome.Accepted,
		generation: 2,
		changes: [{kind: "added", name: "loom-7b:m-200@v1"}]
	})
	expect(platform.writes).toBe(2)
	expect(platform.reads).toBeLessThanOrEqual(2)
})

test("an apply without changes writes nothing", async () => {
	const platform = new FakePlatform()
	await apply(platform, createConfiguration(5))
	platform.writes = 0
	const result = await apply(platform, createConfiguration(5))
	expect(result).toMatchObject({
		outcome: ApplyOutcome.NoChange,
		generation: 1
	})
	expect(platform.writes).toBe(0)
})

test.each([
	["takes effect without an answer", [Fault.LoseAfter]],
	["has neither effect nor answer", [Fault.LoseBefore]],
	[
		"has neither effect nor answer, twice",
		[Fault.LoseBefore, Fault.LoseBefore]
	],
	["is refused", [Fault.Refuse]]
])("accepts an apply once when the root's write %s", async (_, faults) => {
	const platform = new FakePlatform()
	failRootWrites(platform, ...faults)
	const result = await apply(platform, createConfiguration(5))
	expect(result).toMatchObject({
		outcome: ApplyOutcome.Accepted,
		generation: 1
	})
	const {root} = await readRoot(platform)
	expect(root?.applies).toHaveLength(1)
})

test("accepts an apply once when its delayed write takes effect before the retry", async () => {
	const platform = new FakePlatform()
	failRootWrites(platform, Fault.Delay)
	const result = await apply(platform, createConfiguration(5), {
		wait: () => {
			platform.applyDelayedWrites()
			return Promise.resolve()
		}
	})
	expect(result).toMatchObject({
		outcome: ApplyOutcome.Accepted,
		generation: 1
	})
})

test("retries writes of parts that are refused or not answered", async () => {
	const platform = new FakePlatform()
	const faults = [Fault.LoseAfter, Fault.Refuse, Fault.LoseBefore]
	platform.chooseFault = (call, kind) =>
		call === "write" && kind === configPartKind
			? (faults.shift() ?? Fault.None)
			: Fault.None
	const result = await apply(platform, createConfiguration(5))
	expect(result.outcome).toBe(ApplyOutcome.Accepted)
})

test("a conflict reports the other apply and its changes, and writes no root", async () => {
	const platform = new FakePlatform()
	await apply(platform, createConfiguration(5))
	let rival: Promise<ApplyResult> | undefined
	platform.chooseFault = async (call, kind) => {
		if (call === "read" || kind !== configRootKind) return Fault.None
		if (rival !== undefined) return Fault.None
		rival = apply(platform, createConfiguration(7), {
			operator: "bo",
			applyId: "rival"
		})
		await rival
		return Fault.None
	}
	const result = await apply(platform, createConfiguration(6), {
		applyId: "mine"
	})
	expect(result).toMatchObject({
		outcome: ApplyOutcome.Conflict,
		generation: 2,
		others: [{id: "rival", operator: "bo", generation: 2}],
		otherChanges: [{name: "loom-7b:m-5@v1"}, {name: "loom-7b:m-6@v1"}]
	})
	const {root} = await readRoot(platform)
	expect(root?.applies.map(({id}) => id)).toEqual(["rival", "apply-1"])
})

test("reports an accepted apply as accepted when reading back returns stale roots", async () => {
	const platform = new FakePlatform()
	await apply(platform, createConfiguration(5))
	const faults = [Fault.None, Fault.Stale, Fault.Stale]
	let isFirst = true
	platform.chooseFault = (call, kind) => {
		if (kind !== configRootKind) return Fault.None
		if (call === "read") return faults.shift() ?? Fault.None
		const fault = isFirst ? Fault.LoseAfter : Fault.None
		isFirst = false
		return fault
	}
	const result = await apply(platform, createConfiguration(6), {
		applyId: "mine"
	})
	expect(result).toMatchObject({
		outcome: ApplyOutcome.Accepted,
		generation: 2
	})
})

test("an apply throws if all writes of the root are refused, and is unknown if none is answered", async () => {
	const platform = new FakePlatform()
	platform.chooseFault = (call, kind) => {
		if (call !== "write" || kind !== configRootKind) return Fault.None
		platform.isUnavailable = true
		return Fault.None
	}
	const refused = apply(platform, createConfiguration(5))
	await expect(refused).rejects.toBeInstanceOf(NotAppliedError)
	platform.isUnavailable = false
	failRootWrites(platform, ...Array.from({length: 9}, () => Fault.LoseBefore))
	const result = await apply(platform, createConfiguration(5))
	expect(result.outcome).toBe(ApplyOutcome.Unknown)
})

test("an apply that fails before the root is written leaves the configuration unchanged", async () => {
	const platform = new FakePlatform()
	await apply(platform, createConfiguration(5))
	platform.chooseFault = (call, kind) =>
		call === "write" && kind === configPartKind ? Fault.Refuse : Fault.None
	const failed = apply(platform, createConfiguration(6))
	await expect(failed).rejects.toBeInstanceOf(NotAppliedError)
	platform.isUnavailable = true
	const again = apply(platform, createConfiguration(6))
	await expect(again).rejects.toBeInstanceOf(NotAppliedError)
	platform.isUnavailable = false
	expect((await readRoot(platform)).root?.generation).toBe(1)
})

test("rejects another source for an existing adapter version", async () => {
	const platform = new FakePlatform()
	await apply(platform, createConfiguration(5))
	const file = adaptersFile(5)
	const text = file.text.replace("weights/m-3/v1", "weights/m-3/other")
	const changed = parseConfiguration([settingsFile, {...file, text}])
	const refused = apply(platform, changed)
	await expect(refused).rejects.toBeInstanceOf(ImmutableVersionError)
	await expect(refused).rejects.toThrow("loom-7b:m-3@v1")
	expect((await readRoot(platform)).root?.generation).toBe(1)
})
