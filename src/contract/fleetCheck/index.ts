/** Checks a configuration of the users' platform before it is written. */
import type {FleetConfig} from "../fleet.js"
import type {Finding} from "./finding.js"
import {checkLimits} from "./limits.js"
import {checkMatches} from "./matches.js"

export * from "./differences.js"
export type {Finding} from "./finding.js"

export function checkFleet(config: FleetConfig): Finding[] {
	return [...checkMatches(config), ...checkLimits(config)]
}

/** Gateways use a configuration only if its version is above all earlier ones. */
export function checkVersion(
	inForce: FleetConfig,
	next: FleetConfig
): Finding[] {
	if (next.version > inForce.version) return []
	const text = `version ${next.version} is not above ${inForce.version}, which is in force, and is ignored`
	return [{entry: "configuration", text}]
}
