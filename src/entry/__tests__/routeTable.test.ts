import {expect, test} from "vitest"
import {parseConfiguration} from "../../contract/config/index.js"
import {RouteTable} from "../routeTable.js"

function createTable(routes: readonly string[]): RouteTable {
	const text = `
deployment: table
failureDomains: [{name: north, region: r1}]
baseModels: [loom]
pools:
  - {name: writers, type: engines, baseModel: loom, slots: 3, seats: 4, msPerToken: 10, checksOrders: true}
  - {name: desk, type: service, seats: 8, callMs: 20}
routes:
${routes.map(route => `  - {${route}}`).join("\n")}
weightStore: {loadsPerSecond: 20, inFlight: 8, loadMs: 100}
objective: {loadStalls: 0.8, batchEfficiency: 0.2}
retryBudget: {ratio: 0.2, minPerSecond: 5}
adapters: []
`
	const {settings} = parseConfiguration([{path: "table.yaml", text}])
	return new RouteTable(settings)
}

const drafts = "name: drafts, pool: writers, class: interactive"
const summaries = "name: summaries, pool: writers, class: deferrable"
const book =
	"name: book, pool: desk, method: POST, path: /orders, class: booking, idempotent: false, key: required"
const read =
	'name: read, pool: desk, method: GET, path: "/orders/:id", class: status, idempotent: true'
const change =
	'name: change, pool: desk, method: PUT, path: "/orders/:id", class: booking, idempotent: false, key: required'

const table = createTable([drafts, summaries, book, read, change])

test("a generation gets the named route, or the first without a name", () => {
	expect(table.findGeneration("summaries").name).toBe("summaries")
	expect(table.findGeneration("").name).toBe("drafts")
})

test("refuses a generation that names a service route or an unknown one", () => {
	for (const name of ["book", "nothing"]) {
		expect(() => table.findGeneration(name)).toThrow(
			expect.objectContaining({field: "x-route", status: 404})
		)
	}
	expect(() => createTable([book]).findGeneration("")).toThrow(
		"no generation route is configured"
	)
})

test("a service call gets the route of its method and path", () => {
	expect(table.findService("POST", "/orders").name).toBe("book")
	expect(table.findService("POST", "/orders/").name).toBe("book")
	expect(table.findService("GET", "/orders/7").name).toBe("read")
	expect(table.findService("PUT", "/orders/7").name).toBe("change")
})

test.each(["/", "", "/orders/7/slots", "/order", "/Orders", "/:id/7/8"])(
	"refuses the unknown path %j",
	path => {
		expect(() => table.findService("GET", path)).toThrow(
			expect.objectContaining({field: "path", status: 404})
		)
	}
)

test("refuses an unsupported method and names the supported ones", () => {
	expect(() => table.findService("DELETE", "/orders/7")).toThrow(
		expect.objectContaining({
			field: "method",
			status: 405,
			allowed: ["GET", "PUT"]
		})
	)
})
