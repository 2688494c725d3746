import {expect, it} from "vitest"
import {splitIntoParts} from "../../../src/contract/config/index.js"
import {createConfiguration} from "../configuration.js"
import {formatNumber} from "../print.js"

it("creates the given number of adapters over five base models", () => {
	const {adapters, settings} = createConfiguration(1000)
	expect(new Set(adapters.map(({base}) => base)).size).toBe(5)
	expect(settings.baseModels).toHaveLength(5)
	expect(settings.failureDomains).toHaveLength(5)
	const {parts} = splitIntoParts({adapters, settings})
	const stored = [...parts.values()].flatMap(part => part.adapters)
	expect(stored).toHaveLength(1000)
})

it("formats numbers with three significant digits", () => {
	expect(formatNumber(0)).toBe("0")
	expect(formatNumber(0.0123456)).toBe("0.0123")
	expect(formatNumber(12.345)).toBe("12.3")
	expect(formatNumber(1234.5)).toBe("1235")
})
