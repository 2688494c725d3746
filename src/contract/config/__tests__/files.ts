/** Configuration files for tests. */
import type {ConfigFile} from "../source.js"

export const settingsText = `deployment: test
failureDomains: [{name: a, region: r}, {name: b, region: r}]
baseModels: [loom-7b]
pools:
  - {name: writers, type: engines, baseModel: loom-7b}
  - {name: desk, type: service, failureDomains: [a]}
routes:
  - {name: drafts, pool: writers}
  - {name: bookings, pool: desk, method: POST, path: /bookings}
  - {name: status, pool: desk, method: GET, path: "/orders/:id", coalesce: true}
serviceLevels:
  - {name: orders, routes: [drafts, bookings], target: 0.99, windowMs: 1000}
weightStore: {loadsPerSecond: 5, inFlight: 8, loadMs: 250}
`

/** Creates a file with adapters `m-0`, `m-1`, …, each with version `v1`. */
export function adaptersFile(count: number): ConfigFile {
	const lines = Array.from(
		{length: count},
		(_, i) =>
			`  - {base: loom-7b, name: m-${i}, versions: [{version: v1, source: weights/m-${i}/v1}]}\n`
	)
	return {path: "adapters.yaml", text: `adapters:\n${lines.join("")}`}
}

export const settingsFile: ConfigFile = {
	path: "settings.yaml",
	text: settingsText
}
