import {expect, test} from "vitest"
import {
	diffConfiguration,
	findChangedVersions,
	formatChange,
	summarizeChanges
} from "../diff.js"
import {parseConfiguration} from "../parse.js"
import {
	assembleConfiguration,
	chooseBucketCount,
	ConfigSizeError,
	encodeCanonical,
	findAdapter,
	findAdapterVersion,
	hashPart,
	maxStoredBytes,
	MissingPartError,
	splitIntoParts
} from "../parts.js"
import type {Configuration} from "../types.js"
import {adaptersFile, settingsFile, settingsText} from "./files.js"

const configuration = parseConfiguration([settingsFile, adaptersFile(200)])

function changeSource({settings, adapters}: Configuration): Configuration {
	const changed = adapters.map(adapter => {
		if (adapter.name !== "m-7") return adapter
		return {...adapter, versions: [{version: "v1", source: "weights/other"}]}
	})
	return {settings, adapters: changed}
}

test("splitting and assembling a configuration gives the same configuration", () => {
	const {root, parts} = splitIntoParts(configuration)
	const assembled = assembleConfiguration(root, parts)
	expect(diffConfiguration(configuration, assembled)).toEqual([])
	expect(assembled.adapters).toHaveLength(200)
	for (const [hash, part] of parts) expect(hashPart(part)).toBe(hash)
})

test("changing one adapter creates one new part", () => {
	const before = splitIntoParts(configuration, {buckets: 1024})
	const after = splitIntoParts(changeSource(configuration), {buckets: 1024})
	const added = [...after.parts.keys()].filter(hash => !before.parts.has(hash))
	expect(added).toHaveLength(1)
})

test("the order of adapters and fields does not change the root", () => {
	const reversed = {
		settings: configuration.settings,
		adapters: configuration.adapters
			.toReversed()
			.map(({base, name, versions}) => ({versions, name, base}))
	}
	const {root} = splitIntoParts(configuration)
	expect(splitIntoParts(reversed).root).toEqual(root)
	expect(encodeCanonical({b: 1, a: [{d: 1, c: 2}]})).toBe(
		'{"a":[{"c":2,"d":1}],"b":1}'
	)
})

test("the bucket count grows with the adapters but keeps a previous count close to it", () => {
	expect(chooseBucketCount(3)).toBe(1)
	expect(chooseBucketCount(3000)).toBe(64)
	expect(chooseBucketCount(190_000)).toBe(1024)
	expect(chooseBucketCount(4500, 64)).toBe(64)
	expect(chooseBucketCount(30_000, 64)).toBe(512)
})

test("finds an adapter version by base:name@version only", () => {
	const {root, parts} = splitIntoParts(configuration)
	expect(findAdapterVersion(root, parts, "loom-7b:m-7@v1")).toEqual({
		base: "loom-7b",
		name: "m-7",
		version: "v1",
		source: "weights/m-7/v1"
	})
	expect(findAdapter(root, parts, "loom-7b:m-7")?.versions).toHaveLength(1)
	for (const id of ["loom-7b:m-7@v2", "loom-7b:x@v1", "m-7", "loom-7b:m-7"]) {
		expect(findAdapterVersion(root, parts, id)).toBeUndefined()
	}
})

test("looking up an adapter whose part is missing throws instead of finding nothing", () => {
	const {root} = splitIntoParts(configuration)
	expect(() => findAdapter(root, new Map(), "loom-7b:m-7")).toThrow(
		MissingPartError
	)
})

test("a part above the size limit is rejected", () => {
	const source = "x".repeat(maxStoredBytes)
	const adapter = {base: "b", name: "n", versions: [{version: "v", source}]}
	const large = {settings: configuration.settings, adapters: [adapter]}
	expect(() => splitIntoParts(large)).toThrow(ConfigSizeError)
})

test("changes are formatted as one line each", () => {
	const text = settingsText
		.replace("seats: 8", "")
		.replace("name: desk,", "name: desk, seats: 3,")
		.replace("loadMs: 250", "loadMs: 300")
		.replace(/.*name: status.*\n/, "")
	const after = parseConfiguration([{path: "f", text}, adaptersFile(201)])
	const changes = diffConfiguration(configuration, after)
	expect(changes.map(formatChange)).toEqual([
		"~ pool desk: seats 8 → 3",
		"- route status",
		'~ weightStore: weightStore {"inFlight":8,"loadMs":250,"loadsPerSecond":5} → {"inFlight":8,"loadMs":300,"loadsPerSecond":5}',
		"+ adapter version loom-7b:m-200@v1"
	])
	expect(summarizeChanges(changes)).toBe("1 added, 1 removed, 2 changed")
	expect(summarizeChanges([])).toBe("no change")
})

test("finds existing versions whose source changed", () => {
	const changes = diffConfiguration(configuration, changeSource(configuration))
	expect(findChangedVersions(changes).map(({name}) => name)).toEqual([
		"loom-7b:m-7@v1"
	])
	const first = diffConfiguration(undefined, configuration)
	expect(findChangedVersions(first)).toEqual([])
})
