import fc from "fast-check"
import {readFileSync} from "node:fs"
import {expect, test} from "vitest"
import {ConfigError, parseConfiguration} from "../index.js"

const seed = 20_261_203
const numRuns = 300
const path = "examples/society/settings.yaml"
const valid = readFileSync(path, "utf8")

/** Parses, and expects a whole configuration or faults that name their place. */
function parseOrExplain(text: string): void {
	try {
		const {settings} = parseConfiguration([{path, text}])
		expect(settings.deployment).not.toBe("")
	} catch (err) {
		if (!(err instanceof ConfigError)) throw err
		expect(err.faults.length).toBeGreaterThan(0)
		for (const fault of err.faults) expect(fault.reason).not.toBe("")
	}
}

test(`any text is parsed or explained (seed ${seed})`, () => {
	fc.assert(fc.property(fc.string(), parseOrExplain), {seed, numRuns})
})

test(`a valid file with a damaged place is parsed or explained (seed ${seed})`, () => {
	const damage = fc.record({
		at: fc.nat({max: valid.length - 1}),
		removed: fc.nat({max: 40}),
		inserted: fc.string({maxLength: 12})
	})
	const property = fc.property(damage, ({at, removed, inserted}) => {
		parseOrExplain(valid.slice(0, at) + inserted + valid.slice(at + removed))
	})
	fc.assert(property, {seed, numRuns})
})

test(`any value in place of a section is parsed or explained (seed ${seed})`, () => {
	const sections = fc.dictionary(
		fc.constantFrom("pools", "routes", "adapters", "deployment", "objective"),
		fc.jsonValue()
	)
	const property = fc.property(sections, value => {
		parseOrExplain(JSON.stringify(value))
	})
	fc.assert(property, {seed, numRuns})
})
