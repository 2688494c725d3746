/** Faults that a platform stand-in injects, and the counts that it reports. */
import {z} from "zod"
import {HostRole, HostState} from "../../src/host/host.js"
import {commonFaultSchemas, type Counts} from "../common/index.js"

export const platformFaultsSchema = z.strictObject({
	...commonFaultSchemas,
	/** Number of next writes that take effect and are never answered. */
	loseAnswers: z.number().int().min(0),
	/** Applies `loseAnswers` to objects of this kind only; empty for all. */
	loseAnswersKind: z.string(),
	/** Age of the objects that reads and lists return; watches are current. */
	staleReadMs: z.number().min(0),
	/** Answers every watch with 410, as if its changes had been discarded. */
	watchGap: z.boolean(),
	writesPerSecond: z.number().positive(),
	readsPerSecond: z.number().positive(),
	/** Age of the list of hosts that callers get. */
	hostLagMs: z.number().min(0)
})

export type PlatformFaults = z.infer<typeof platformFaultsSchema>

export interface PlatformTruth {
	revision: number
	reads: number
	writes: number
	readsByKind: Counts
	writesByKind: Counts
	/** Calls rejected with 429 because they exceeded the rate limit. */
	refused: number
	/** Writes rejected with 412 because they expected another version. */
	conflicts: number
	/** Writes that took effect and were never answered. */
	lost: number
}

/** Body of `PUT /control/hosts`. */
export const hostListSchema = z.strictObject({
	hosts: z.array(
		z.strictObject({
			id: z.string(),
			role: z.enum(HostRole),
			address: z.string(),
			failureDomain: z.string(),
			pool: z.string(),
			state: z.enum(HostState)
		})
	)
})
