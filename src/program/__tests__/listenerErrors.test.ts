import {expect, it} from "vitest"
import {createListenerErrorLog} from "../listenerErrors.js"

it("a listener that fails all the time doesn't fill the log", () => {
	let now = 0
	const lines: unknown[] = []
	const onError = createListenerErrorLog({
		address: "127.0.0.1:1",
		purpose: "callers",
		write: (event, {error, omitted}) => {
			lines.push([event, error, omitted])
		},
		now: () => now
	})
	for (; now < 3000; now += 1) onError(new Error(`accept ${now}`))
	expect(lines).toEqual([
		["listen.failed", "accept 0", 0],
		["listen.failed", "accept 1000", 999],
		["listen.failed", "accept 2000", 999]
	])
})
