import fc from "fast-check"
import {readFileSync} from "node:fs"
import {expect, test} from "vitest"
import {ConfigError, parseConfiguration} from "../index.js"

const seed = 20_261_203
const numRuns = 300
const path = "examples/society/settings.yaml"
const valid = readFileSync(path, "utf8")

/** Expects a valid configuration, or a ConfigError whose faults have reasons. */
function expectConfigOrFaults(text: string): void {
	try {
		const {settings} = parseConfiguration([{path, text}])
		expect(settings.deployment).not.toBe("")
	} catch (err) {
		if (!(err instanceof ConfigError)) throw err
		expect(err.faults.length).toBeGreaterThan(0)
		for (const fault of err.faults) expect(fault.reason).not.toBe("")
	}
}

test(`any text either parses or yields faults (seed ${seed})`, () => {
	fc.assert(fc.property(fc.string(), expectConfigOrFaults), {seed, numRuns})
})

test(`a valid file with a random edit either parses or yields faults (seed ${seed})`, () => {
	const randomEdit = fc.record({
		at: fc.nat({max: valid.length - 1}),
		removed: fc.nat({max: 40}),
		inserted: fc.string({maxLength: 12})
	})
	const property = fc.property(randomEdit, ({at, removed, inserted}) => {
		expectConfigOrFaults(
			valid.slice(0, at) + inserted + valid.slice(at + removed)
		)
	})
	fc.assert(property, {seed, numRuns})
})

test(`any JSON value as a section either parses or yields faults (seed ${seed})`, () => {
	const sections = fc.dictionary(
		fc.constantFrom("pools", "routes", "adapters", "deployment", "objective"),
		fc.jsonValue()
	)
	const property = fc.property(sections, value => {
		expectConfigOrFaults(JSON.stringify(value))
	})
	fc.assert(property, {seed, numRuns})
})
