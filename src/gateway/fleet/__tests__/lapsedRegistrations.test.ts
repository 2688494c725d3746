// Guards against requests to endpoints that left around an outage of the store, and
// against the loss of live endpoints whose registrations lapsed in it.
import {beforeEach, describe, expect, it} from "vitest"
import {createSilentLog} from "../../../program/__tests__/silentLog.js"
import {FleetState} from "../fleetState.js"
import {createEndpoint} from "./endpoints.js"

const era = 1
const graceMs = 2000

let fleet: FleetState

beforeEach(() => {
	fleet = new FleetState(createSilentLog())
	fleet.applyEndpoint(createEndpoint(4), 0)
})

describe.each([
	{
		source: "a watch",
		lapse: (): void => {
			fleet.applyRemoval("i-1", {era, revision: 6}, graceMs, 0)
		}
	},
	{
		source: "a list",
		lapse: (): void => {
			fleet.replaceEndpoints([], {era, revision: 6}, graceMs, 0)
		}
	}
])("a registration that $source shows to be missing", ({lapse}) => {
	it.each([4, 5])(
		"is removed although a gateway publishes the one of revision %i",
		revision => {
			lapse()
			fleet.applyPublished([createEndpoint(revision)], [], 300)
			fleet.settleRegistrations(graceMs)
			expect(fleet.listReady("desk")).toEqual([])
		}
	)

	it("is used on once the endpoint registers again", () => {
		lapse()
		fleet.applyPublished([createEndpoint(7)], [], 300)
		fleet.settleRegistrations(graceMs)
		expect(fleet.listReady("desk")).toHaveLength(1)
	})

	it("is used until the time to register again has passed", () => {
		lapse()
		fleet.settleRegistrations(graceMs - 1)
		expect(fleet.listReady("desk")).toHaveLength(1)
	})
})
