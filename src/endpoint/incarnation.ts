/** Takes the incarnation of this endpoint process, its fencing number. */
import {type Platform, absentVersion, WriteOutcome} from "../link/platform.js"
import type {Log} from "../program/log.js"
import {messageOf} from "../utils/common.js"

export const incarnationKind = "incarnations"

export interface IncarnationOptions {
	platform: Platform
	/** The address that the process binds, which makes it the only holder. */
	address: string
	/** Highest fencing number that any of its endpoints reports. */
	highestSeen: number
	log: Log
}

const maxAttempts = 5

/**
 * Chooses a number above all earlier ones and records it in the platform. In
 * an outage the clock and the endpoints' reports keep it rising.
 */
export async function takeIncarnation({
	platform,
	address,
	highestSeen,
	log
}: IncarnationOptions): Promise<number> {
	let chosen = Math.max(Date.now(), highestSeen + 1)
	for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
		try {
			const stored = await platform.read(incarnationKind, address)
			const last = Number(stored?.value ?? 0)
			chosen = Math.max(chosen, last + 1)
			const version = stored?.version ?? absentVersion
			const result = await platform.write(
				incarnationKind,
				address,
				chosen,
				version
			)
			if (result.outcome === WriteOutcome.Written) return chosen
		} catch (err) {
			log.warn("incarnation is not recorded", {reason: messageOf(err)})
			return chosen
		}
	}
	return chosen
}
