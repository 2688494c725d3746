import {expect, test} from "vitest"
import {
	configPartKind,
	parseConfiguration
} from "../../contract/config/index.js"
import {
	adaptersFile,
	settingsFile
} from "../../contract/config/__tests__/files.js"
import {applyConfiguration} from "../apply.js"
import {pruneParts} from "../prune.js"
import {readConfiguration, readRoot} from "../storedConfig.js"
import {Fault, FakePlatform} from "./fakePlatform.js"

const dayMs = 24 * 3600 * 1000

async function apply(
	platform: FakePlatform,
	adapters: number,
	now: number
): Promise<void> {
	await applyConfiguration({
		platform,
		configuration: parseConfiguration([settingsFile, adaptersFile(adapters)]),
		operator: "ana",
		applyId: `at-${now}`,
		now: () => now,
		wait: () => Promise.resolve()
	})
}

async function countAdapters(platform: FakePlatform): Promise<number> {
	const {root} = await readRoot(platform)
	if (root === undefined) throw new Error("no root")
	return (await readConfiguration(platform, root)).adapters.length
}

test("removes unused parts after a day and keeps parts in use", async () => {
	const platform = new FakePlatform()
	await apply(platform, 5, 0)
	await apply(platform, 6, 1)
	const early = await pruneParts(platform, dayMs - 1, false)
	expect(early).toEqual({parts: 2, unused: 0, removed: 0})
	const dry = await pruneParts(platform, 9 * dayMs, true)
	expect(dry).toEqual({parts: 2, unused: 1, removed: 0})
	const late = await pruneParts(platform, 9 * dayMs, false)
	expect(late).toEqual({parts: 2, unused: 1, removed: 1})
	expect(await countAdapters(platform)).toBe(6)
})

test("keeps an unused part whose `writtenAt` a later apply has renewed", async () => {
	const platform = new FakePlatform()
	await apply(platform, 5, 0)
	await apply(platform, 6, 1)
	await apply(platform, 5, 2 * dayMs)
	await apply(platform, 6, 2 * dayMs)
	const result = await pruneParts(platform, 2 * dayMs + 1, false)
	expect(result).toEqual({parts: 2, unused: 0, removed: 0})
})

test("keeps a part that an apply renews between the listing and the removal", async () => {
	const platform = new FakePlatform()
	await apply(platform, 5, 0)
	await apply(platform, 6, 1)
	let hasApplied = false
	platform.chooseFault = async (call, kind) => {
		const isRemoval = call === "write" && kind === configPartKind
		if (!isRemoval || hasApplied) return Fault.None
		hasApplied = true
		await apply(platform, 5, 2 * dayMs)
		return Fault.None
	}
	const result = await pruneParts(platform, 2 * dayMs, false)
	expect(result).toEqual({parts: 2, unused: 1, removed: 0})
	expect(await countAdapters(platform)).toBe(5)
})

test("an apply writes a part again when a prune removes it during the apply", async () => {
	const platform = new FakePlatform()
	await apply(platform, 5, 0)
	await apply(platform, 6, 1)
	let calls = 0
	platform.chooseFault = async (call, kind) => {
		const isPart = kind === configPartKind
		if (!isPart || call !== "write" || ++calls !== 2) return Fault.None
		await pruneParts(platform, 2 * dayMs, false)
		return Fault.None
	}
	await apply(platform, 5, 2 * dayMs)
	expect(await countAdapters(platform)).toBe(5)
})
