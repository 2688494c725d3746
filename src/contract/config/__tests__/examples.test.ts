import {readFileSync} from "node:fs"
import {expect, test} from "vitest"
import {parseConfiguration} from "../parse.js"
import {encodeCanonical, maxStoredBytes, splitIntoParts} from "../parts.js"
import type {ConfigFile} from "../source.js"

function readExample(name: string): ConfigFile[] {
	return ["settings.yaml", "adapters.yaml"].map(file => {
		const path = `examples/${name}/${file}`
		const url = new URL(`../../../../${path}`, import.meta.url)
		return {path, text: readFileSync(url, "utf8")}
	})
}

test.each(["society", "serindit"])(
	"the example configuration %s is valid",
	name => {
		const configuration = parseConfiguration(readExample(name))
		expect(configuration.adapters).toHaveLength(3000)
		expect(configuration.settings.failureDomains).toHaveLength(4)
		expect(configuration.settings.routes).toHaveLength(4)
		const {root, parts} = splitIntoParts(configuration)
		for (const value of [root, ...parts.values()]) {
			expect(encodeCanonical(value).length).toBeLessThan(maxStoredBytes / 8)
		}
	}
)
