import {expect, test} from "vitest"
import {RequestClass} from "../../../policy/types.js"
import {ConfigError} from "../faults.js"
import {parseConfiguration} from "../parse.js"
import type {ConfigFile} from "../source.js"
import {adaptersFile, settingsFile, settingsText} from "./files.js"

/** Texts of all faults, such as `f.yaml:3: pools[0].name: reason`. */
function faultsOf(...files: ConfigFile[]): string[] {
	try {
		parseConfiguration(files)
	} catch (err) {
		if (err instanceof ConfigError) return err.message.split("\n")
		throw err
	}
	return []
}

function faultsIn(from: string, to: string): string[] {
	expect(settingsText).toContain(from)
	return faultsOf({path: "f.yaml", text: settingsText.replace(from, to)})
}

test("several files form one configuration, with defaults", () => {
	const {settings, adapters} = parseConfiguration([
		settingsFile,
		adaptersFile(2)
	])
	expect(adapters.map(({name}) => name)).toEqual(["m-0", "m-1"])
	expect(settings.pools[0]).toMatchObject({
		slots: 8,
		seats: 8,
		failureDomains: ["a", "b"]
	})
	expect(settings.pools[1]).toMatchObject({slots: 0, baseModel: ""})
	expect(settings.routes).toMatchObject([
		{class: RequestClass.Interactive, idempotent: true, key: "none"},
		{
			class: RequestClass.Booking,
			idempotent: false,
			key: "required",
			maxAttempts: 1
		},
		{class: RequestClass.Status, idempotent: true, coalesce: true}
	])
})

test("a sound configuration has no fault", () => {
	expect(faultsOf(settingsFile)).toEqual([])
})

test.each([
	[
		"loom-7b}",
		"loom-8}",
		"5: pools[0].baseModel: base model loom-8 is not declared"
	],
	["pool: writers", "pool: x", "8: routes[0].pool: pool x is not declared"],
	[
		"[a]}",
		"[z]}",
		"6: pools[1].failureDomains[0]: failure domain z is not declared"
	],
	[
		"[drafts,",
		"[x,",
		"12: serviceLevels[0].routes[0]: route x is not declared"
	],
	[
		"service,",
		"service, slots: 2,",
		"6: pools[1].slots: a service pool takes no slots"
	],
	[
		", baseModel: loom-7b",
		"",
		"5: pools[0].baseModel: an engine pool needs a baseModel"
	],
	[
		"0.99",
		"1.5",
		"12: serviceLevels[0].target: expected a share above 0 and below 1, such as 0.999"
	],
	[
		"0.99",
		"0",
		"12: serviceLevels[0].target: expected a share above 0 and below 1, such as 0.999"
	],
	[
		"/bookings",
		"/bookings, maxAttempts: 2",
		"9: routes[1].maxAttempts: a route that is not idempotent takes one attempt"
	],
	[
		"/bookings",
		"/bookings, key: none",
		"9: routes[1].key: a route that is not idempotent needs key optional or required"
	],
	[
		"/bookings",
		"/bookings, coalesce: true",
		"9: routes[1].coalesce: a route that is not idempotent is never coalesced"
	],
	[
		"name: desk",
		"name: writers",
		"6: pools[1].name: writers is already declared at f.yaml:5"
	],
	[
		"name: bookings",
		"name: drafts",
		"9: routes[1].name: drafts is already declared at f.yaml:8"
	],
	[
		"name: b,",
		"name: a,",
		"2: failureDomains[1].name: a is already declared at f.yaml:2"
	],
	[
		"POST, path: /bookings",
		'GET, path: "/orders/:x"',
		"10: routes[2].path: matches the same calls as route bookings"
	],
	[
		"inFlight: 8",
		"inFlight: many",
		"13: weightStore.inFlight: Invalid input: expected number, received string"
	],
	[
		"type: engines",
		"type: gpu",
		"5: pools[0].type: expected one of engines, service"
	],
	[
		"inFlight: 8,",
		"inFlight: 8, burst: 3,",
		"13: weightStore.burst: unknown field"
	],
	["weightStore", "weightStores", "13: weightStores: unknown section"],
	[
		"deployment: test",
		"deployment: 7",
		"1: deployment: expected a name as text (quote numbers)"
	],
	[
		"pool: writers",
		"pool: writers, idempotent: false",
		"8: routes[0].idempotent: a route to an engine pool is idempotent"
	],
	[
		"drafts, pool",
		"drafts, path: /x, pool",
		"8: routes[0].path: a route to an engine pool takes no path"
	],
	[
		", method: POST",
		"",
		"9: routes[1].method: a route to a service pool needs a method"
	]
])("replacing %j by %j is a fault", (from, to, fault) => {
	const faults = faultsIn(from, to)
	expect(faults.some(text => text.startsWith(`f.yaml:${fault}`))).toBe(true)
})

test("broken YAML is reported with its line", () => {
	const faults = faultsOf(settingsFile, {
		path: "broken.yaml",
		text: "adapters:\n  - {base: loom-7b\n  - x\n"
	})
	expect(faults.length).toBeGreaterThan(0)
	for (const fault of faults) expect(fault).toMatch(/^broken\.yaml:[23]: /)
})

test("a repeated YAML key is a fault", () => {
	expect(
		faultsIn("deployment: test", "deployment: test\ndeployment: x")
	).toEqual(["f.yaml:2: Map keys must be unique"])
})

test("faults of all files are listed at once, in order", () => {
	const adapters = adaptersFile(3).text.replace("m-2,", "m-1,")
	const faults = faultsOf(
		{path: "a.yaml", text: settingsText.replace("0.99", "2")},
		{path: "b.yaml", text: adapters.replace("loom-7b", "loom-9")},
		{path: "c.yaml", text: "deployment: other\npools: {}\n"}
	)
	expect(faults.map(fault => fault.split(": ", 2).join(": "))).toEqual([
		"a.yaml:12: serviceLevels[0].target",
		"b.yaml:2: adapters[0].base",
		"b.yaml:4: adapters[2].name",
		"c.yaml:1: deployment",
		"c.yaml:2: pools"
	])
})

test("a version that stands twice, or an adapter without any, is a fault", () => {
	const text = `adapters:
  - base: loom-7b
    name: x
    versions:
      - {version: v1, source: weights/1}
      - {version: v1, source: weights/2}
  - {base: loom-7b, name: y, versions: []}
`
	expect(faultsOf(settingsFile, {path: "x.yaml", text})).toEqual([
		"x.yaml:6: adapters[0].versions[1].version: version v1 stands twice",
		"x.yaml:7: adapters[1].versions: expected at least one version"
	])
})

test("what is missing in all files is a fault", () => {
	expect(faultsOf({path: "f.yaml", text: ""})).toEqual([
		"f.yaml:1: deployment: section is missing in all files",
		"f.yaml:1: failureDomains: section is missing in all files",
		"f.yaml:1: pools: section is missing in all files",
		"f.yaml:1: routes: section is missing in all files"
	])
	expect(faultsOf()).toEqual(["-:1: no configuration file was given"])
})

test("JSON files are read alike, with lines in their faults", () => {
	const adapter = {base: "loom-9", name: "x", versions: []}
	const text = JSON.stringify({adapters: [adapter]}, undefined, "\t")
	expect(faultsOf(settingsFile, {path: "x.json", text})).toEqual([
		"x.json:4: adapters[0].base: base model loom-9 is not declared",
		"x.json:6: adapters[0].versions: expected at least one version"
	])
	const broken = faultsOf(settingsFile, {path: "x.json", text: '{\n"a": ['})
	expect(broken[0]).toMatch(/^x\.json:2: /)
	const {adapters} = parseConfiguration([
		settingsFile,
		{
			path: "x.json",
			text: text
				.replace("loom-9", "loom-7b")
				.replace("[]", '[{"version": "v1", "source": "w"}]')
		}
	])
	expect(adapters).toHaveLength(1)
})
