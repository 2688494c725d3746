import {EndpointState, type FleetEndpoint} from "../../../contract/fleet.js"

/** Creates the registration of a ready endpoint in the store's first era. */
export function createEndpoint(revision: number): FleetEndpoint {
	return {
		id: "i-1",
		pool: "desk",
		address: "10.0.0.1:80",
		failureDomain: "a",
		seats: 6,
		state: EndpointState.Ready,
		bornAt: 1,
		build: "v1",
		era: 1,
		revision,
		residents: []
	}
}
