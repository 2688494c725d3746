import {expect, test} from "vitest"
import {RequestClass} from "../../../policy/types.js"
import {ConfigError} from "../faults.js"
import {parseConfiguration} from "../parse.js"
import type {ConfigFile} from "../source.js"
import {adaptersFile, settingsFile, settingsText} from "./files.js"

/** Lists all faults as text, such as `f.yaml:3: pools[0].name: reason`. */
function listFaults(...files: ConfigFile[]): string[] {
	try {
		parseConfiguration(files)
	} catch (err) {
		if (err instanceof ConfigError) return err.message.split("\n")
		throw err
	}
	return []
}

function faultsAfterReplacing(from: string, to: string): string[] {
	expect(settingsText).toContain(from)
	return listFaults({path: "f.yaml", text: settingsText.replace(from, to)})
}

test("several files are merged into one configuration and defaults are filled in", () => {
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

test("a valid configuration has no faults", () => {
	expect(listFaults(settingsFile)).toEqual([])
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
		"9: routes[1].maxAttempts: a route that is not idempotent must have maxAttempts 1"
	],
	[
		"/bookings",
		"/bookings, key: none",
		"9: routes[1].key: a route that is not idempotent needs key optional or required"
	],
	[
		"/bookings",
		"/bookings, coalesce: true",
		"9: routes[1].coalesce: a route that is not idempotent cannot be coalesced"
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
		"8: routes[0].idempotent: a route to an engine pool must be idempotent"
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
])(
	"replacing %j by %j yields a fault with line and field",
	(from, to, fault) => {
		const faults = faultsAfterReplacing(from, to)
		expect(faults.some(text => text.startsWith(`f.yaml:${fault}`))).toBe(true)
	}
)

test("a YAML syntax error is reported with its line", () => {
	const faults = listFaults(settingsFile, {
		path: "broken.yaml",
		text: "adapters:\n  - {base: loom-7b\n  - x\n"
	})
	expect(faults.length).toBeGreaterThan(0)
	for (const fault of faults) expect(fault).toMatch(/^broken\.yaml:[23]: /)
})

test("a duplicate YAML key is a fault", () => {
	expect(
		faultsAfterReplacing("deployment: test", "deployment: test\ndeployment: x")
	).toEqual(["f.yaml:2: Map keys must be unique"])
})

test("the faults of all files are reported together, by file and line", () => {
	const adapters = adaptersFile(3).text.replace("m-2,", "m-1,")
	const faults = listFaults(
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

test("a duplicate version and an adapter without versions are faults", () => {
	const text = `adapters:
  - base: loom-7b
    name: x
    versions:
      - {version: v1, source: weights/1}
      - {version: v1, source: weights/2}
  - {base: loom-7b, name: y, versions: []}
`
	expect(listFaults(settingsFile, {path: "x.yaml", text})).toEqual([
		"x.yaml:6: adapters[0].versions[1].version: version v1 is listed more than once",
		"x.yaml:7: adapters[1].versions: expected at least one version"
	])
})

test("a required section that no file has is a fault", () => {
	expect(listFaults({path: "f.yaml", text: ""})).toEqual([
		"f.yaml:1: deployment: section is missing in all files",
		"f.yaml:1: failureDomains: section is missing in all files",
		"f.yaml:1: pools: section is missing in all files",
		"f.yaml:1: routes: section is missing in all files"
	])
	expect(listFaults()).toEqual(["-:1: no configuration file was given"])
})

test("JSON files are parsed like YAML, and their faults have line numbers", () => {
	const adapter = {base: "loom-9", name: "x", versions: []}
	const text = JSON.stringify({adapters: [adapter]}, undefined, "\t")
	expect(listFaults(settingsFile, {path: "x.json", text})).toEqual([
		"x.json:4: adapters[0].base: base model loom-9 is not declared",
		"x.json:6: adapters[0].versions: expected at least one version"
	])
	const broken = listFaults(settingsFile, {path: "x.json", text: '{\n"a": ['})
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
